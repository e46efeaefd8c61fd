//! What is to happen when, in virtual time.

use lagoonlift_policy::Timestamp;
use lagoonlift_types::UpstreamRole;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Occurrence {
    /// A request arrives.
    Arrival(usize),
    /// An engine's step, or role change, ends.
    EngineStep(usize),
    /// The KV cache of a request arrives at the engine that generates.
    KvArrival { request: usize, engine: usize },
    /// Entry hosts learn of an engine's state.
    View(usize),
    /// An engine that was announced as draining gets its order.
    RoleOrder { engine: usize, role: UpstreamRole },
    /// Engines report, and what is visible by now is delivered.
    Reports,
    /// Entry hosts look at their queues.
    EntryTick,
    /// Stewards plan.
    FleetTick,
    /// An ordered upstream is delivered.
    Delivery { data_centre: usize },
    /// All cheap upstreams of the losing data centre vanish.
    CheapLoss,
    /// Reports stop or resume.
    Freeze(bool),
}

/// Occurrences in order of time; of equal times, first come first.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    heap: BinaryHeap<Reverse<(Timestamp, u64, Occurrence)>>,
    sequence: u64,
}

impl Schedule {
    pub(crate) fn add(&mut self, at: Timestamp, occurrence: Occurrence) {
        self.heap.push(Reverse((at, self.sequence, occurrence)));
        self.sequence += 1;
    }

    pub(crate) fn next(&mut self) -> Option<(Timestamp, Occurrence)> {
        let Reverse((at, _, occurrence)) = self.heap.pop()?;
        Some((at, occurrence))
    }
}
