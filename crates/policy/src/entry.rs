//! The entry policy, which runs in each entry process.
//!
//! An entry process knows its own requests, but the load reports of engines are
//! already out of date when they arrive. The policy queues requests that the
//! engines have no room for: a request that waits here can still be sent to any
//! engine, be overtaken by urgent requests of another workspace, or be refused
//! early enough. A request queued inside an engine can't.

mod admission;
mod attempts;
mod drain;
mod limits;
mod load;
mod placement;
mod pools;
mod prefixes;
mod queue;
mod rng;

pub use limits::EntryLimits;
pub use queue::{FairQueue, WaitingRequest};

use crate::entry::drain::DrainRate;
use crate::entry::load::UpstreamRecord;
use crate::entry::pools::{Phase, PoolIndex};
use crate::entry::prefixes::PrefixIndex;
use crate::entry::rng::SplitMix64;
use crate::{
    EntryAction, EntryEvent, QueuedDemand, RequestFacts, Target, Timestamp, UpstreamFacts,
    UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{DataCentreName, RequestId, Urgency};
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Initial estimate of the share of its maximum output tokens that a request
/// uses, before any response of its workspace has completed.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;

#[derive(Debug)]
struct WorkspaceRecord {
    facts: WorkspaceFacts,
    /// Smoothed share of the maximum output tokens that the workspace's responses
    /// have used, 0 to 1.
    output_share: f64,
}

#[derive(Debug, Default)]
struct TargetQueue {
    pending: FairQueue,
    drain_rate: DrainRate,
    /// Number of requests in prefill, or prefilled, that still need a decode
    /// engine.
    awaiting_decode: u32,
    /// Prefilled requests that wait for a decode engine, oldest first.
    prefilled: VecDeque<RequestId>,
}

/// A request that was sent to an upstream and hasn't ended.
#[derive(Debug)]
struct Attempt {
    facts: RequestFacts,
    upstream: UpstreamKey,
    phase: Phase,
    /// Estimated cost that the workspace was charged when the request started.
    charged_tokens: u64,
    is_prefilled: bool,
}

/// Admits, queues and places the requests of one entry process.
#[derive(Debug)]
pub struct EntryPolicy {
    limits: EntryLimits,
    is_disaggregated: bool,
    /// Index of the own data centre in `pools`.
    own_data_centre: Option<usize>,
    rng: SplitMix64,
    upstreams: SlotMap<UpstreamKey, UpstreamRecord>,
    workspaces: SlotMap<WorkspaceKey, WorkspaceRecord>,
    pools: PoolIndex,
    queues: BTreeMap<Target, TargetQueue>,
    attempts: HashMap<RequestId, Attempt>,
    prefixes: PrefixIndex,
    /// In-flight requests on reclaimable upstreams, indexed by data centre.
    reclaimable_requests: Vec<u32>,
}

impl Default for EntryPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryPolicy {
    /// Creates a policy without workspaces and upstreams.
    pub fn new() -> Self {
        let limits = EntryLimits::default();
        Self {
            limits,
            is_disaggregated: false,
            own_data_centre: None,
            rng: SplitMix64::new(0),
            upstreams: SlotMap::with_key(),
            workspaces: SlotMap::with_key(),
            pools: PoolIndex::default(),
            queues: BTreeMap::new(),
            attempts: HashMap::new(),
            prefixes: PrefixIndex::new(limits.max_prefixes),
            reclaimable_requests: Vec::new(),
        }
    }

    /// Sets the limits. Any recorded prefix holders are dropped.
    #[must_use]
    pub fn with_limits(mut self, limits: EntryLimits) -> Self {
        self.prefixes = PrefixIndex::new(limits.max_prefixes);
        self.limits = limits;
        self
    }

    /// Sets the seed of the random choices. Each process needs its own seed, so
    /// that processes with the same state don't choose the same upstream.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = SplitMix64::new(seed);
        self
    }

    /// Sets the data centre whose upstreams are preferred.
    #[must_use]
    pub fn with_data_centre(mut self, name: &DataCentreName) -> Self {
        self.own_data_centre = Some(self.pools.index_of(name));
        self
    }

    /// Sets whether prompts are sent to prefill engines with
    /// [`EntryAction::Prefill`]. The default is `false`, in which case prefill
    /// engines receive no requests.
    #[must_use]
    pub fn with_disaggregated_prefill(mut self, is_disaggregated: bool) -> Self {
        self.is_disaggregated = is_disaggregated;
        self
    }

    /// Sets the number of entry processes that send requests to the same engines,
    /// including this one. At least 1 is assumed.
    pub fn set_entry_processes(&mut self, count: u32) {
        self.limits.entry_processes = count.max(1);
    }

    /// Adds a workspace.
    pub fn add_workspace(&mut self, facts: WorkspaceFacts) -> WorkspaceKey {
        self.workspaces.insert(WorkspaceRecord {
            facts,
            output_share: INITIAL_OUTPUT_SHARE,
        })
    }

    /// Replaces the properties of a workspace.
    pub fn update_workspace(&mut self, key: WorkspaceKey, facts: WorkspaceFacts) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            workspace.facts = facts;
        }
    }

    /// Removes a workspace. Its queued requests are still dispatched or refused.
    pub fn remove_workspace(&mut self, key: WorkspaceKey) {
        self.workspaces.remove(key);
        for queue in self.queues.values_mut() {
            queue.pending.remove_workspace(key);
        }
    }

    /// Adds an upstream.
    pub fn add_upstream(&mut self, facts: UpstreamFacts) -> UpstreamKey {
        let data_centre_index = self.pools.index_of(&facts.data_centre);
        let record = UpstreamRecord::new(facts.clone(), data_centre_index);
        let key = self.upstreams.insert(record);
        self.pools.add(key, &facts);
        key
    }

    /// Replaces the properties of an upstream and keeps its in-flight requests.
    ///
    /// Queued requests that can now be sent to it are placed at the next event.
    pub fn update_upstream(&mut self, key: UpstreamKey, facts: UpstreamFacts) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            self.pools.remove(key, &upstream.facts);
            self.pools.add(key, &facts);
            upstream.data_centre_index = self.pools.index_of(&facts.data_centre);
            upstream.facts = facts;
        }
    }

    /// Removes an upstream.
    pub fn remove_upstream(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.remove(key) {
            self.pools.remove(key, &upstream.facts);
        }
    }

    /// Returns the demand queued for each target, for metrics and demand reports.
    pub fn queued(&self) -> impl Iterator<Item = (&Target, QueuedDemand)> {
        self.queues.iter().map(|(target, queue)| {
            let mut demand = QueuedDemand::default();
            for request in queue.pending.requests() {
                demand.requests += 1;
                demand.prompt_tokens += request.facts.prompt_tokens;
                demand.output_tokens += self.expected_output_tokens(&request.facts);
            }
            (target, demand)
        })
    }

    /// Returns the expected number of output tokens of a request.
    pub fn expected_output_tokens(&self, facts: &RequestFacts) -> u64 {
        let share = self
            .workspaces
            .get(facts.workspace)
            .map_or(INITIAL_OUTPUT_SHARE, |workspace| workspace.output_share);
        (facts.max_output_tokens as f64 * share).ceil() as u64
    }

    /// Handles one event at `now` and appends the resulting actions to `actions`.
    ///
    /// Each arrival and each retry results in exactly one
    /// [`EntryAction::Dispatch`] or [`EntryAction::Refuse`], at this event or a
    /// later one, unless it is cancelled before.
    pub fn handle(&mut self, now: Timestamp, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Arrived(facts) => self.admit(now, facts, actions),
            EntryEvent::Retry { facts, avoid } => self.requeue(now, facts, avoid, actions),
            EntryEvent::FirstToken { request } => self.record_first_token(request),
            EntryEvent::Prefilled { request, upstream } => {
                self.finish_prefill(now, request, upstream, actions);
            }
            EntryEvent::Migrated { request, upstream } => self.move_attempt(now, request, upstream),
            EntryEvent::Ended {
                request,
                upstream,
                end,
            } => self.finish_attempt(now, request, upstream, end, actions),
            EntryEvent::Cancelled { request } => self.cancel_waiting(now, request),
            EntryEvent::LoadReported {
                upstream,
                measured_at,
                report,
            } => {
                if let Some(upstream) = self.upstreams.get_mut(upstream) {
                    upstream.record_report(measured_at, report);
                }
                self.process_upstream_queues(now, upstream, actions);
            }
            EntryEvent::PrefixCacheChanged {
                upstream,
                prefix,
                held: true,
            } => self.prefixes.add(prefix, upstream),
            EntryEvent::PrefixCacheChanged {
                upstream, prefix, ..
            } => self.prefixes.remove(prefix, upstream),
            EntryEvent::Tick => self.process_all_queues(now, actions),
        }
    }
}

/// Returns the priority of a request in an engine's own queue. Lower values go
/// first. The values are those of the class index in [`FairQueue`].
fn engine_priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}
