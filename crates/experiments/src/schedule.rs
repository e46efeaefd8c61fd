//! The queue of simulation events, in virtual time.

use lagoonlift_policy::Timestamp;
use lagoonlift_types::UpstreamRole;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SimulationEvent {
    /// A request arrives at its entry host.
    Arrival(usize),
    /// A step or a role change of an engine ends.
    EngineStep(usize),
    /// The KV cache of a request arrives at its decode engine.
    KvArrival { request: usize, engine: usize },
    /// Entry hosts receive an engine's new state.
    EngineStateVisible(usize),
    /// An engine whose role change was announced starts it.
    RoleChange { engine: usize, role: UpstreamRole },
    /// Engines send load reports, and reports whose delay is over are
    /// delivered.
    LoadReports,
    /// Entry hosts check their queues.
    EntryTick,
    /// Fleet controllers plan roles and upstream orders.
    FleetTick,
    /// An ordered upstream joins its data centre.
    UpstreamDelivery { data_centre: usize },
    /// All reclaimable upstreams of one data centre disappear.
    ReclaimableLoss,
    /// Reports stop (`true`) or resume (`false`).
    ReportsFrozen(bool),
}

/// A queue of events, ordered by time; events of equal time keep their order of
/// insertion.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    heap: BinaryHeap<Reverse<(Timestamp, u64, SimulationEvent)>>,
    sequence: u64,
}

impl Schedule {
    pub(crate) fn add(&mut self, at: Timestamp, event: SimulationEvent) {
        self.heap.push(Reverse((at, self.sequence, event)));
        self.sequence += 1;
    }

    pub(crate) fn next(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        let Reverse((at, _, event)) = self.heap.pop()?;
        Some((at, event))
    }
}
