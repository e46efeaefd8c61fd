//! Detects which data centres are unreachable from this host.
//!
//! That an upstream is in a partitioned data centre shows only when a connection doesn't
//! open, for which a caller has to wait. The result of a few upstreams is therefore
//! applied to the whole data centre: if no connection to two of its upstreams opened and
//! none has responded since, the data centre is avoided, and single requests probe at
//! intervals whether it is reachable again.
//!
//! A sound upstream may be silent on an open connection, and its caller may have little
//! time. Silence alone says nothing about the path. It isn't ignored either, since a
//! partition may drop the packets of open connections: unless the data centre has
//! responded lately, a connection to the silent upstream is opened to check the path.

use crate::{Timestamp, UpstreamKey};
use std::collections::HashMap;
use std::time::Duration;

/// Number of upstreams to which no connection opens before their data centre counts as
/// unreachable.
const MIN_UNREACHED_UPSTREAMS: usize = 2;

/// Time after a response during which silent upstreams of the same data centre aren't
/// checked.
const RECENT_RESPONSE_TIME: Duration = Duration::from_millis(300);

/// Shortest time between two checks of an upstream, longer than the connection timeout.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time until the first request that probes an unreachable data centre.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(300);

/// Time between the first probe and the second, longer than the connection timeout.
/// It doubles for each further probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_200);

/// What a request or a connection showed about the path to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactResult {
    /// The upstream responded, or a connection to it opened.
    Reached,
    /// No connection opened within the usual time.
    NotOpened,
    /// No response came in time on an open connection, or the caller's deadline left less
    /// than the usual time to open one.
    Silent,
}

/// What follows from a [`ContactResult`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactEffect {
    /// Nothing changes.
    None,
    /// The data centre of the upstream is reachable again.
    Reachable,
    /// The data centre of the upstream counts as unreachable from now on.
    Unreachable,
    /// Whether a connection to the upstream opens has to be checked, and the result
    /// recorded.
    CheckDue,
}

/// Reachability of the data centres from this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reachability {
    /// Data centres with an upstream to which no connection opened since the last
    /// response.
    suspected: HashMap<String, SuspectedDataCentre>,
    /// Time of the last response from each data centre.
    responded_at: HashMap<String, Timestamp>,
    /// Time of the last check of each silent upstream.
    checked_at: HashMap<UpstreamKey, Timestamp>,
}

/// State of a data centre with upstreams to which no connection opened.
#[derive(Clone, Debug, Default)]
struct SuspectedDataCentre {
    upstreams: Vec<UpstreamKey>,
    /// Probes sent so far.
    probes: u32,
    /// Time of the next probe; set while the data centre counts as unreachable.
    next_probe_at: Option<Timestamp>,
}

impl Reachability {
    /// Records what was observed of the path to an upstream in `data_centre`.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        data_centre: &str,
        upstream: UpstreamKey,
        result: ContactResult,
    ) -> ContactEffect {
        match result {
            ContactResult::Reached if self.record_response(now, data_centre) => {
                ContactEffect::Reachable
            }
            ContactResult::NotOpened if self.record_not_opened(now, data_centre, upstream) => {
                ContactEffect::Unreachable
            }
            ContactResult::Silent if self.record_silence(now, data_centre, upstream) => {
                ContactEffect::CheckDue
            }
            ContactResult::Reached | ContactResult::NotOpened | ContactResult::Silent => {
                ContactEffect::None
            }
        }
    }

    /// Records that no connection to an upstream in `data_centre` opened. Returns whether
    /// the data centre became unreachable by it.
    fn record_not_opened(
        &mut self,
        now: Timestamp,
        data_centre: &str,
        upstream: UpstreamKey,
    ) -> bool {
        let state = self.suspected.entry(data_centre.to_owned()).or_default();
        if !state.upstreams.contains(&upstream) {
            state.upstreams.push(upstream);
        }
        let becomes_unreachable =
            state.upstreams.len() >= MIN_UNREACHED_UPSTREAMS && state.next_probe_at.is_none();
        if becomes_unreachable {
            state.next_probe_at = Some(now + FIRST_PROBE_DELAY);
        }
        becomes_unreachable
    }

    /// Records that an upstream in `data_centre` is silent. Returns whether it has to be
    /// checked whether a connection to it opens.
    fn record_silence(&mut self, now: Timestamp, data_centre: &str, upstream: UpstreamKey) -> bool {
        let is_unreachable = self
            .suspected
            .get(data_centre)
            .is_some_and(|state| state.next_probe_at.is_some());
        let has_responded = self
            .responded_at
            .get(data_centre)
            .is_some_and(|at| now.since(*at) < RECENT_RESPONSE_TIME);
        self.checked_at
            .retain(|_, at| now.since(*at) < MIN_CHECK_INTERVAL);
        let is_due = !is_unreachable && !has_responded && !self.checked_at.contains_key(&upstream);
        if is_due {
            self.checked_at.insert(upstream, now);
        }
        is_due
    }

    /// Records a response from an upstream in `data_centre`. Returns whether the
    /// data centre counted as unreachable before.
    fn record_response(&mut self, now: Timestamp, data_centre: &str) -> bool {
        match self.responded_at.get_mut(data_centre) {
            Some(at) => *at = now,
            None => {
                self.responded_at.insert(data_centre.to_owned(), now);
            }
        }
        let state = self.suspected.remove(data_centre);
        state.is_some_and(|state| state.next_probe_at.is_some())
    }

    /// Records that a request is sent to `data_centre`. If a probe is due, the
    /// request is the probe.
    pub(crate) fn record_send(&mut self, now: Timestamp, data_centre: &str) {
        let Some(state) = self.suspected.get_mut(data_centre) else {
            return;
        };
        if state.next_probe_at.is_some_and(|at| at <= now) {
            let interval = FIRST_PROBE_INTERVAL * 2_u32.pow(state.probes.min(8));
            state.next_probe_at = Some(now + interval.min(MAX_PROBE_INTERVAL));
            state.probes += 1;
        }
    }

    /// Returns whether `data_centre` counts as unreachable and no probe is due. While a
    /// probe is due the result is `false`, although the data centre still counts as
    /// unreachable.
    pub(crate) fn is_avoided(&self, now: Timestamp, data_centre: &str) -> bool {
        let state = self.suspected.get(data_centre);
        state
            .and_then(|state| state.next_probe_at)
            .is_some_and(|at| at > now)
    }

    /// Returns whether there is no upstream to which no connection opened since the last
    /// response from its data centre.
    pub(crate) fn has_no_suspicion(&self) -> bool {
        self.suspected.is_empty()
    }
}
