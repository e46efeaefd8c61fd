//! What this host observes of its paths to upstreams, for itself and for other hosts.
//!
//! Where connections to upstreams of a service fail, connections to others are opened at once,
//! and again while the service isn't reached, so that no caller's request has to find out
//! whether the host is cut off, and whether it still is.

use crate::clock;
use crate::connection::{CallError, Endpoint};
use crate::state::GatewayState;
use crate::upstream_health::record_path;
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{PathNotice, PathSign, UpstreamPhase};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between two looks at the paths.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Looks between two connection attempts to upstreams of a service that isn't reached. Attempts
/// that hang have failed by the next one.
const PROBE_TURNS: u64 = 4;

/// The same where only few upstreams aren't reached, which may be down.
const SLOW_PROBE_TURNS: u64 = 10;

/// Time within which upstreams that can't be reached any more have a common cause.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(100);

/// Number of upstreams that failed to which connections are opened at a time.
const PROBES: usize = 3;

/// Returns whether this host is cut off from the upstreams of `service`, which others reach.
pub(crate) fn is_cut_off(state: &GatewayState, service: &str) -> bool {
    let paths = state.host_paths.borrow();
    paths.is_cut_off(clock::now(), service)
}

/// Returns whether so many upstreams of `service` are out of reach at once that this host may be
/// cut off, and what ends early on one of them says nothing yet about the request.
pub(crate) fn have_common_cause(state: &GatewayState, service: &str) -> bool {
    let paths = state.host_paths.borrow();
    let now = clock::now();
    paths.have_failed_together(now, service, COMMON_CAUSE_TIME) || paths.is_cut_off(now, service)
}

/// Returns what this host tells others of its paths. A host that stops takes no requests of
/// others.
pub(crate) fn notice(state: &GatewayState) -> PathNotice {
    match state.is_stopping() {
        true => PathNotice::default(),
        false => {
            let in_flight = state.in_flight() as u32;
            state.host_paths.borrow().notice(clock::now(), in_flight)
        }
    }
}

/// Opens connections to upstreams of services that aren't reached, until the process ends.
pub(crate) async fn maintain(state: Rc<GatewayState>) {
    let mut was_cut_off: HashMap<String, bool> = HashMap::new();
    for turn in 0_u64.. {
        sleep(CHECK_INTERVAL).await;
        state.host_paths.borrow_mut().expire(clock::now());
        let Some(config) = state.config() else {
            continue;
        };
        for service in config.services() {
            let name = &service.name;
            let serving = serving(&state, name);
            state.host_paths.borrow_mut().set_serving(name, serving);
            log_change(&state, name, &mut was_cut_off);
            let turns = {
                let paths = state.host_paths.borrow();
                match paths.is_out_of_reach(name) || paths.is_undecided(name) {
                    true => PROBE_TURNS,
                    false => SLOW_PROBE_TURNS,
                }
            };
            if turn.is_multiple_of(turns) {
                probe(&state, name);
            }
        }
    }
}

fn log_change(state: &GatewayState, service: &str, was_cut_off: &mut HashMap<String, bool>) {
    let is_cut_off = is_cut_off(state, service);
    let previous = was_cut_off.insert(service.to_owned(), is_cut_off);
    match (previous.unwrap_or(false), is_cut_off) {
        (false, true) => tracing::warn!(
            service,
            "this host is cut off from the service, its requests go by way of others"
        ),
        (true, false) => tracing::info!(service, "this host reaches the service again"),
        (false, false) | (true, true) => {}
    }
}

/// Opens connections to a few of the upstreams that aren't reached. While only few failed, a
/// connection to another one shows whether more of them can't be reached.
pub(crate) fn probe(state: &Rc<GatewayState>, service: &str) {
    let (failed, trials, mut serving) = {
        let paths = state.host_paths.borrow();
        let trials = paths.trials(service);
        (paths.failed(service), trials, paths.serving(service))
    };
    if failed == 0 {
        return;
    }
    let failing = serving.split_off(serving.len() - failed.min(serving.len()));
    let mut random = rand::rng();
    let others = serving.sample(&mut random, trials);
    let chosen = failing.sample(&mut random, PROBES).chain(others);
    for key in chosen {
        spawn_local(probe_upstream(Rc::clone(state), *key));
    }
}

async fn probe_upstream(state: Rc<GatewayState>, key: UpstreamKey) {
    let address = {
        let table = state.table.borrow();
        table.get(key).map(|one| one.record.address)
    };
    let Some(address) = address else {
        return;
    };
    let endpoint = Endpoint::Upstream(key);
    let sign = match state.pool.open_idle(endpoint, address).await {
        Ok(()) => PathSign::Opened,
        Err(CallError::NotOpened(_) | CallError::NotSent(_)) => PathSign::Failed,
        Err(CallError::Lost(_)) => return,
    };
    record_path(&state, key, sign);
}

/// Returns the upstreams of `service` that serve by the list, whether they are avoided or not.
fn serving(state: &GatewayState, service: &str) -> Vec<UpstreamKey> {
    let table = state.table.borrow();
    let upstreams = table.iter().filter(|(_, one)| {
        one.record.service == service && one.record.phase == UpstreamPhase::Serving
    });
    upstreams.map(|(key, _)| key).collect()
}
