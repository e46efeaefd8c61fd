//! Which data centres can't be reached from this host.
//!
//! When a data centre is cut off, each of its upstreams shows that only by its
//! silence, and finding out costs a caller the time-out of a connection. What is
//! learnt from a few of them therefore holds for all: when two have been silent
//! and none has answered since, the data centre is left alone, and one request
//! after the other finds out whether it is back.

use crate::{Timestamp, UpstreamKey};
use std::collections::HashMap;
use std::time::Duration;

/// Upstreams that have to be silent before their data centre counts as cut off.
const LEAST_SILENT: usize = 2;

/// Time until the first request that tries a data centre again.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Time between the first such request and the second, longer than a connection
/// may take to open.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two such requests.
const LONGEST_INTERVAL: Duration = Duration::from_millis(1_200);

/// What this host knows of the way to each data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reachability {
    /// Data centres with upstreams that have been silent since the last answer.
    silent: HashMap<String, SilentLink>,
}

/// The way to a data centre from which nothing came lately.
#[derive(Clone, Debug, Default)]
struct SilentLink {
    upstreams: Vec<UpstreamKey>,
    /// Requests that have tried it again.
    probes: u32,
    /// When the next one may; set while the data centre counts as cut off.
    next_probe_at: Option<Timestamp>,
}

impl Reachability {
    /// Notes that an upstream of `data_centre` let a connection or a request
    /// time out. Returns whether the data centre counts as cut off from now on.
    pub(crate) fn note_silence(
        &mut self,
        now: Timestamp,
        data_centre: &str,
        upstream: UpstreamKey,
    ) -> bool {
        let link = self.silent.entry(data_centre.to_owned()).or_default();
        if !link.upstreams.contains(&upstream) {
            link.upstreams.push(upstream);
        }
        let is_cut_off = link.upstreams.len() >= LEAST_SILENT && link.next_probe_at.is_none();
        if is_cut_off {
            link.next_probe_at = Some(now + FIRST_PAUSE);
        }
        is_cut_off
    }

    /// Notes that an upstream of `data_centre` answered. Returns whether the data
    /// centre counted as cut off.
    pub(crate) fn note_answer(&mut self, data_centre: &str) -> bool {
        let link = self.silent.remove(data_centre);
        link.is_some_and(|link| link.next_probe_at.is_some())
    }

    /// Notes that a request is sent to `data_centre`.
    pub(crate) fn note_send(&mut self, now: Timestamp, data_centre: &str) {
        let Some(link) = self.silent.get_mut(data_centre) else {
            return;
        };
        if link.next_probe_at.is_some_and(|at| at <= now) {
            let interval = PROBE_INTERVAL * 2_u32.pow(link.probes.min(8));
            link.next_probe_at = Some(now + interval.min(LONGEST_INTERVAL));
            link.probes += 1;
        }
    }

    /// Returns whether `data_centre` counts as cut off and is left alone.
    pub(crate) fn is_cut_off(&self, now: Timestamp, data_centre: &str) -> bool {
        let link = self.silent.get(data_centre);
        link.and_then(|link| link.next_probe_at)
            .is_some_and(|at| at > now)
    }

    /// Returns whether nothing has been silent lately.
    pub(crate) fn is_sound(&self) -> bool {
        self.silent.is_empty()
    }
}
