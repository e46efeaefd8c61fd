//! The policy of one entry process.
//!
//! An entry process sees its own requests and reports that are old when they
//! come. The policy holds back what the engines can't take yet, because a
//! request that waits here can still go to any engine, be overtaken by urgent
//! work of another workspace, or be refused in time; one that waits in an
//! engine can't.

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
    EntryAction, EntryEvent, QueuedWork, RequestFacts, Target, Timestamp, UpstreamFacts,
    UpstreamKey, WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{DataCentreName, RequestId, Urgency};
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Share of the permitted output that is expected before anything is known.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;

#[derive(Debug)]
struct WorkspaceRecord {
    facts: WorkspaceFacts,
    /// Share of the permitted output that its answers have used.
    output_share: f64,
}

#[derive(Debug, Default)]
struct TargetQueue {
    pending: FairQueue,
    drain_rate: DrainRate,
    /// Requests whose prompt is being read, or was, and that need an engine for
    /// the answer next.
    prefilling: u32,
    prefilled: VecDeque<RequestId>,
}

/// A request that was sent to an upstream.
#[derive(Debug)]
struct Attempt {
    facts: RequestFacts,
    upstream: UpstreamKey,
    phase: Phase,
    charged_tokens: u64,
    is_prefilled: bool,
}

/// Admits, queues and places the requests of one entry process.
#[derive(Debug)]
pub struct EntryPolicy {
    limits: EntryLimits,
    is_disaggregated: bool,
    own_data_centre: Option<usize>,
    rng: SplitMix64,
    upstreams: SlotMap<UpstreamKey, UpstreamRecord>,
    workspaces: SlotMap<WorkspaceKey, WorkspaceRecord>,
    pools: PoolIndex,
    queues: BTreeMap<Target, TargetQueue>,
    attempts: HashMap<RequestId, Attempt>,
    prefixes: PrefixIndex,
    reclaimable_requests: Vec<u32>,
}

impl Default for EntryPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryPolicy {
    /// Creates a policy that knows no workspace and no upstream.
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

    /// Replaces the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: EntryLimits) -> Self {
        self.prefixes = PrefixIndex::new(limits.max_prefixes);
        self.limits = limits;
        self
    }

    /// Sets the seed of the random choices. Give each process its own, so that
    /// equal processes don't choose alike.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = SplitMix64::new(seed);
        self
    }

    /// Sets the data centre whose upstreams are taken first.
    #[must_use]
    pub fn with_data_centre(mut self, name: &DataCentreName) -> Self {
        self.own_data_centre = Some(self.pools.index_of(name));
        self
    }

    /// Sets whether prompts are read by engines of the prefill role, through
    /// [`EntryAction::Prefill`]. Off at first: engines of that role then get
    /// nothing.
    #[must_use]
    pub fn with_disaggregated_prefill(mut self, is_disaggregated: bool) -> Self {
        self.is_disaggregated = is_disaggregated;
        self
    }

    /// Sets how many entry processes place work on the same engines.
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

    /// Replaces what is known of a workspace.
    pub fn update_workspace(&mut self, key: WorkspaceKey, facts: WorkspaceFacts) {
        if let Some(workspace) = self.workspaces.get_mut(key) {
            workspace.facts = facts;
        }
    }

    /// Forgets a workspace; its queued requests are still answered.
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

    /// Replaces what is known of an upstream; its in-flight work is kept.
    ///
    /// Requests that wait for it are placed at the next event.
    pub fn update_upstream(&mut self, key: UpstreamKey, facts: UpstreamFacts) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            self.pools.remove(key, &upstream.facts);
            self.pools.add(key, &facts);
            upstream.data_centre_index = self.pools.index_of(&facts.data_centre);
            upstream.facts = facts;
        }
    }

    /// Forgets an upstream.
    pub fn remove_upstream(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.remove(key) {
            self.pools.remove(key, &upstream.facts);
        }
    }

    /// Returns what waits for each target, for metrics and demand reports.
    pub fn queued(&self) -> impl Iterator<Item = (&Target, QueuedWork)> {
        self.queues.iter().map(|(target, queue)| {
            let mut work = QueuedWork::default();
            for request in queue.pending.requests() {
                work.requests += 1;
                work.prompt_tokens += request.facts.prompt_tokens;
                work.output_tokens += self.expected_output_tokens(&request.facts);
            }
            (target, work)
        })
    }

    /// Returns the output tokens that a request is expected to need.
    pub fn expected_output_tokens(&self, facts: &RequestFacts) -> u64 {
        let share = self
            .workspaces
            .get(facts.workspace)
            .map_or(INITIAL_OUTPUT_SHARE, |workspace| workspace.output_share);
        (facts.max_output_tokens as f64 * share).ceil() as u64
    }

    /// Takes in one event at `now` and appends what is to be done.
    ///
    /// Each arrival and each retry gets exactly one [`EntryAction::Dispatch`]
    /// or [`EntryAction::Refuse`], now or at a later event, unless it is
    /// withdrawn before.
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
                self.process_queues_of(now, upstream, actions);
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

fn priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}
