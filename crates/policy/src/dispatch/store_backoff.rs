//! When a host calls the store again after calls to it have failed.
//!
//! Several tasks of a host depend on the store, and all hosts notice an outage at the
//! same time. If each task of each host retried at short intervals, the calls would grow
//! with the number of hosts, while one answered call shows the same to all. Therefore
//!
//! * one call of a host, the probe, is made at a time while the store is unavailable to
//!   the host; its other tasks wait for the result;
//! * the delay between two probes grows up to a limit, with jitter; the limit is short
//!   for the hosts that read the store for others, and long for the others;
//! * a host that waits for long probes earlier when a peer, which reads the store for
//!   others, reports that it responds again. The hosts do so at random times within
//!   [`RETURN_SPREAD`].
//!
//! A host that is refused while peers are served relies on its own probes. A host that
//! gets no messages from peers does so too.

use crate::Timestamp;
use std::time::Duration;

/// Delay before the first probe.
const FIRST_DELAY: Duration = Duration::from_millis(250);

/// Longest delay between two probes of a host that reads the store for others, or of any
/// host in a small deployment.
const MAX_READER_DELAY: Duration = Duration::from_millis(250);

/// Longest delay between two probes of another host. With the time that a connection
/// takes to fail, it stays below the time after which a host that was cut off has to
/// know again which upstreams drain.
const MAX_DELAY: Duration = Duration::from_millis(2_000);

/// Factor by which the delay between two probes of such a host grows.
const FOLLOWER_GROWTH: u32 = 8;

/// Number of times that a delay grows; the longest delay is reached before.
const MAX_GROWTHS: u32 = 4;

/// Time within which the hosts probe a store of which a peer reports that it responds
/// again.
const RETURN_SPREAD: Duration = Duration::from_millis(600);

/// Smallest share of a delay that jitter leaves.
const MIN_JITTER_SHARE: f64 = 0.6;

/// How often a host probes an unavailable store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeRole {
    /// Often: it reads the store for others, or the deployment is small.
    Reader,
    /// Rarely: it learns from a reader that the store responds again.
    Follower,
}

/// What a task that wants to call the store has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePermit {
    /// Make the call.
    Call,
    /// Make the call, on whose result the other tasks wait.
    Probe,
    /// Ask again later.
    Wait,
}

/// The state of a host's calls to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreBackoff {
    outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    failures: u32,
    probe_at: Timestamp,
    is_probing: bool,
    /// Whether a reader has reported that the store responds since the last failure, or
    /// at the time of it. Only a change to `true` brings the probe forward.
    has_reader: bool,
}

impl StoreBackoff {
    /// Creates the state of a host whose calls succeed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the latest call failed.
    pub fn is_unavailable(&self) -> bool {
        self.outage.is_some()
    }

    /// Returns whether a call may be made now. After [`StorePermit::Probe`], the result
    /// of the call has to be recorded.
    pub fn permit(&mut self, now: Timestamp) -> StorePermit {
        match &mut self.outage {
            None => StorePermit::Call,
            Some(outage) if outage.is_probing || outage.probe_at > now => StorePermit::Wait,
            Some(outage) => {
                outage.is_probing = true;
                StorePermit::Probe
            }
        }
    }

    /// Records that the store responded to a call.
    pub fn record_success(&mut self) {
        self.outage = None;
    }

    /// Records that a call failed; `permit` is what it was made with. Failures of calls
    /// that were in flight when the outage began count once. `jitter` is a random number
    /// from 0 to 1.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        permit: StorePermit,
        role: ProbeRole,
        has_reader: bool,
        jitter: f64,
    ) {
        let failures = match self.outage {
            None => 1,
            Some(outage) if permit == StorePermit::Probe => outage.failures + 1,
            Some(_) => return,
        };
        let (factor, longest) = match role {
            ProbeRole::Reader => (2_u32, MAX_READER_DELAY),
            ProbeRole::Follower => (FOLLOWER_GROWTH, MAX_DELAY),
        };
        let delay = (FIRST_DELAY * factor.pow((failures - 1).min(MAX_GROWTHS))).min(longest);
        let share = MIN_JITTER_SHARE + (1.0 - MIN_JITTER_SHARE) * jitter;
        self.outage = Some(Outage {
            failures,
            probe_at: now + delay.mul_f64(share),
            is_probing: false,
            has_reader,
        });
    }

    /// Records whether a peer that reads the store for others reports that it responds.
    /// If it does again, the next probe is brought forward to a random time within
    /// [`RETURN_SPREAD`]; `jitter` is a random number from 0 to 1.
    pub fn record_readers(&mut self, now: Timestamp, has_reader: bool, jitter: f64) {
        let Some(outage) = &mut self.outage else {
            return;
        };
        if has_reader && !outage.has_reader {
            outage.probe_at = outage.probe_at.min(now + RETURN_SPREAD.mul_f64(jitter));
        }
        outage.has_reader = has_reader;
    }
}
