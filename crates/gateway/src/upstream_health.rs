//! Records what requests show about the health of their upstreams and about the paths to
//! their data centres.

use crate::clock;
use crate::connection::{CallError, Endpoint};
use crate::send::SendOutcome;
use crate::state::GatewayState;
use lagoonlift_policy::dispatch::{ContactEffect, ContactResult, PathSign};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::rc::Rc;
use std::time::Duration;

/// Records the outcome of a request that was sent at `started`.
pub(crate) fn record_health(
    state: &Rc<GatewayState>,
    key: UpstreamKey,
    started: Timestamp,
    outcome: &SendOutcome,
) {
    let now = clock::now();
    {
        let mut table = state.table.borrow_mut();
        let Some(upstream) = table.get_mut(key) else {
            return;
        };
        match outcome {
            SendOutcome::Withheld(_) => return,
            SendOutcome::Responded(response) if response.head.status.is_server_error() => {
                upstream.record_failure(now, false);
            }
            SendOutcome::Responded(_) => upstream.record_response(now.since(started)),
            SendOutcome::NotSent(_) | SendOutcome::NotOpened(..) => {
                upstream.record_failure(now, true);
            }
            SendOutcome::NotRun => upstream.record_refusal(now, &state.peer_loads.borrow()),
            SendOutcome::Lost(_) | SendOutcome::TimedOut => upstream.record_failure(now, false),
        }
    }
    if matches!(outcome, SendOutcome::Lost(_)) {
        record_break(state, key);
    }
    if matches!(outcome, SendOutcome::Responded(_)) {
        record_plain_work(state, key, now.since(started));
    }
    match outcome {
        SendOutcome::Responded(_) | SendOutcome::NotRun => {
            record_path(state, key, PathSign::Reached);
            record_contact(state, key, ContactResult::Reached);
        }
        SendOutcome::NotOpened(_, result) => record_contact(state, key, *result),
        SendOutcome::TimedOut => record_contact(state, key, ContactResult::Silent),
        // A broken connection shows neither that the upstream's data centre is
        // reachable nor that it is unreachable.
        SendOutcome::Withheld(_) | SendOutcome::NotSent(_) | SendOutcome::Lost(_) => {}
    }
}

/// Records the time of a response of an upstream that isn't an engine. Engines are measured by
/// their prefills and first events.
fn record_plain_work(state: &Rc<GatewayState>, key: UpstreamKey, latency: Duration) {
    let turns = {
        let table = state.table.borrow();
        let plain = table.get(key).filter(|one| one.record.role.is_none());
        plain.map(|one| {
            let requests = one.requests_in_flight(&state.peer_loads.borrow());
            f64::from(requests) / f64::from(one.record.slots.max(1))
        })
    };
    if let Some(turns) = turns {
        state.record_work(key, turns.max(1.0), latency);
    }
}

/// Records that a request is silent for longer than expected. It may still succeed.
pub(crate) fn record_silence(state: &Rc<GatewayState>, key: UpstreamKey) {
    if let Some(upstream) = state.table.borrow_mut().get_mut(key) {
        upstream.record_failure(clock::now(), false);
    }
    record_contact(state, key, ContactResult::Silent);
}

/// Records whether an upstream could be reached, which tells whether this host is cut off. One
/// that is reached again isn't avoided for its failures any more.
pub(crate) fn record_path(state: &GatewayState, key: UpstreamKey, sign: PathSign) {
    let mut table = state.table.borrow_mut();
    let Some(service) = table.get(key).map(|one| one.record.service.clone()) else {
        return;
    };
    let now = clock::now();
    let mut paths = state.host_paths.borrow_mut();
    if sign == PathSign::Failed {
        table.record_break(now, key);
    }
    if paths.record(now, &service, key, sign) {
        table.record_contact(now, key, ContactResult::Reached);
        if let Some(upstream) = table.get_mut(key) {
            upstream.forget_failures();
        }
    }
}

/// Records that a connection to an upstream broke, so that another incarnation may listen
/// there by now.
pub(crate) fn record_break(state: &GatewayState, key: UpstreamKey) {
    state.table.borrow_mut().record_break(clock::now(), key);
}

/// Records what was observed of the path to an upstream.
fn record_contact(state: &Rc<GatewayState>, key: UpstreamKey, result: ContactResult) {
    let mut table = state.table.borrow_mut();
    let effect = table.record_contact(clock::now(), key, result);
    let Some(upstream) = table.get(key) else {
        return;
    };
    let data_centre = &upstream.record.data_centre;
    match effect {
        ContactEffect::None => {}
        ContactEffect::Reachable => tracing::info!(data_centre, "a data centre answers again"),
        ContactEffect::Unreachable => {
            tracing::warn!(data_centre, "a data centre is cut off from this host");
        }
        ContactEffect::CheckDue => {
            let check = check_path(Rc::clone(state), key);
            tokio::task::spawn_local(check);
        }
    }
}

/// Finds out whether a connection to a silent upstream opens.
async fn check_path(state: Rc<GatewayState>, key: UpstreamKey) {
    let record = {
        let table = state.table.borrow();
        table.get(key).map(|upstream| upstream.record.clone())
    };
    let Some(record) = record else {
        return;
    };
    let endpoint = Endpoint::Upstream(key);
    let opened = state.pool.open_idle(endpoint, record.address).await;
    tracing::info!(
        upstream = record.id.0,
        data_centre = record.data_centre,
        has_opened = opened.is_ok(),
        "checked the path to a silent upstream"
    );
    match opened {
        Ok(()) => {
            record_path(&state, key, PathSign::Opened);
            record_contact(&state, key, ContactResult::Reached);
        }
        Err(CallError::NotOpened(_)) => {
            record_path(&state, key, PathSign::Failed);
            record_contact(&state, key, ContactResult::NotOpened);
        }
        // An upstream that refuses connections may have ended.
        Err(CallError::NotSent(_)) => record_path(&state, key, PathSign::Failed),
        Err(CallError::Lost(_)) => {}
    }
}
