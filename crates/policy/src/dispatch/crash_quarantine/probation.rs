//! Decides when a quarantined suspect may reach an upstream once more.
//!
//! A quarantine may be wrong, since ordinary crashes interrupt sound requests, too, and as
//! long as it lasts nothing can show so. A few requests are therefore sent as probes. A
//! probe that succeeds lifts the quarantine. Hosts claim probes in the store, so that their
//! number holds for all hosts together.

use super::SuspectKind;
use std::time::Duration;

/// Time from the decision on a block to the first probe. Prompts with the block come all
/// the time, so that successes would have shown before the decision that it is sound.
const BLOCK_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Time from the decision on a request to the first probe. Requests that were in flight may
/// show earlier that it is sound.
const REQUEST_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Time between probes of different suspects that crashed a service. A suspect that is on the upstream
/// which another one crashes would be blamed for it.
const OTHER_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of probes, and of crashes after the decision, of one quarantine. Requests
/// may have been on their way to upstreams when the decision was made.
const MAX_PROBES: u32 = 2;

/// The probes of one quarantine so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeHistory {
    /// Number of probes.
    pub count: u32,
    /// Time since the latest one.
    pub latest_age: Option<Duration>,
    /// Time since the latest probe of another suspect that crashed one of the same services, as
    /// far as known.
    pub other_age: Option<Duration>,
}

impl ProbeHistory {
    /// Returns the time until the next probe of a suspect that was quarantined `age` ago
    /// and has caused a number of crashes since; `None` if there is none.
    pub(super) fn time_until_next(
        self,
        kind: SuspectKind,
        crashes_since: u32,
        age: Duration,
    ) -> Option<Duration> {
        let first_delay = first_probe_delay(kind);
        let has_more = self.count.max(crashes_since) < MAX_PROBES;
        let own_time = match self.latest_age {
            Some(latest_age) => PROBE_INTERVAL.saturating_sub(latest_age),
            None => first_delay.saturating_sub(age),
        };
        let other_time = self
            .other_age
            .map(|age| OTHER_PROBE_INTERVAL.saturating_sub(age));
        has_more.then(|| own_time.max(other_time.unwrap_or_default()))
    }
}

/// Returns the time from the decision on a suspect to its first probe.
pub(super) fn first_probe_delay(kind: SuspectKind) -> Duration {
    match kind {
        SuspectKind::Block => BLOCK_PROBE_DELAY,
        SuspectKind::Request => REQUEST_PROBE_DELAY,
    }
}
