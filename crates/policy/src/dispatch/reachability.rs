//! Detects which data centres are unreachable from this host.
//!
//! That an upstream is in a partitioned data centre shows only when a connection or a
//! request times out, for which a caller has to wait. The result of a few upstreams is
//! therefore applied to the whole data centre: after two of its upstreams have
//! timed out and none has responded since, the data centre is avoided, and single
//! requests probe at intervals whether it is reachable again.

use crate::{Timestamp, UpstreamKey};
use std::collections::HashMap;
use std::time::Duration;

/// Number of upstreams that have to time out before their data centre counts as
/// unreachable.
const MIN_TIMED_OUT_UPSTREAMS: usize = 2;

/// Time until the first request that probes an unreachable data centre.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(300);

/// Time between the first probe and the second, longer than the connection timeout.
/// It doubles for each further probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Reachability of the data centres from this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reachability {
    /// Data centres in which an upstream has timed out since the last response.
    timed_out: HashMap<String, TimedOutDataCentre>,
}

/// State of a data centre in which upstreams have timed out.
#[derive(Clone, Debug, Default)]
struct TimedOutDataCentre {
    upstreams: Vec<UpstreamKey>,
    /// Probes sent so far.
    probes: u32,
    /// Time of the next probe; set while the data centre counts as unreachable.
    next_probe_at: Option<Timestamp>,
}

impl Reachability {
    /// Records that a connection or a request to an upstream in `data_centre`
    /// timed out. Returns whether the data centre became unreachable by it.
    pub(crate) fn record_timeout(
        &mut self,
        now: Timestamp,
        data_centre: &str,
        upstream: UpstreamKey,
    ) -> bool {
        let state = self.timed_out.entry(data_centre.to_owned()).or_default();
        if !state.upstreams.contains(&upstream) {
            state.upstreams.push(upstream);
        }
        let becomes_unreachable =
            state.upstreams.len() >= MIN_TIMED_OUT_UPSTREAMS && state.next_probe_at.is_none();
        if becomes_unreachable {
            state.next_probe_at = Some(now + FIRST_PROBE_DELAY);
        }
        becomes_unreachable
    }

    /// Records a response from an upstream in `data_centre`. Returns whether the
    /// data centre counted as unreachable before.
    pub(crate) fn record_response(&mut self, data_centre: &str) -> bool {
        let state = self.timed_out.remove(data_centre);
        state.is_some_and(|state| state.next_probe_at.is_some())
    }

    /// Records that a request is sent to `data_centre`. If a probe is due, the
    /// request is the probe.
    pub(crate) fn record_send(&mut self, now: Timestamp, data_centre: &str) {
        let Some(state) = self.timed_out.get_mut(data_centre) else {
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
        let state = self.timed_out.get(data_centre);
        state
            .and_then(|state| state.next_probe_at)
            .is_some_and(|at| at > now)
    }

    /// Returns whether no upstream has timed out since the last response from its
    /// data centre.
    pub(crate) fn has_no_timeouts(&self) -> bool {
        self.timed_out.is_empty()
    }
}
