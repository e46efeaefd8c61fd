//! Weighted fair queueing between workspaces, with urgency.
//!
//! Each workspace has a virtual time: the tokens it was served, divided by its
//! weight. Urgent work goes first, but only among workspaces that are at most a
//! fixed lead ahead of the one served least. A workspace that floods, whatever
//! it calls urgent, runs into that lead and then gets its fair share; one that
//! sends only background work stays behind the others and so is never starved
//! by them. Within a workspace every eighth turn goes to its lowest class.

use crate::{RequestFacts, Timestamp, UpstreamKey, WorkspaceKey};
use lagoonlift_types::{RequestId, Urgency};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Every so many turns of a workspace, its lowest waiting class goes first.
const LOW_CLASS_TURN: u32 = 8;
/// Virtual time is counted in thousandths of a token, so that weights divide it.
const VIRTUAL_PER_TOKEN: u64 = 1_000;

const CLASSES: usize = 3;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// The request.
    pub facts: RequestFacts,
    /// Upstreams that it must not go to.
    pub avoid: Vec<UpstreamKey>,
    /// Tokens that it is expected to cost.
    pub cost: u64,
    /// The time after which starting it is of no use.
    pub latest_start: Timestamp,
}

#[derive(Debug)]
struct Lane {
    weight: u64,
    virtual_time: u64,
    turns: u32,
    waiting: [VecDeque<u64>; CLASSES],
    tokens: u64,
}

impl Lane {
    fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    fn best_class(&self) -> Option<usize> {
        let mut classes = 0..CLASSES;
        match (self.turns + 1).is_multiple_of(LOW_CLASS_TURN) {
            true => classes.rfind(|class| !self.waiting[*class].is_empty()),
            false => classes.find(|class| !self.waiting[*class].is_empty()),
        }
    }
}

/// Requests of all workspaces that wait for one target.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<WorkspaceKey, Lane>,
    /// Lanes with work, by the class of their next request and virtual time.
    ready: [BTreeSet<(u64, WorkspaceKey)>; CLASSES],
    /// Lanes with work by virtual time.
    active: BTreeSet<(u64, WorkspaceKey)>,
    requests: HashMap<u64, WaitingRequest>,
    tickets: HashMap<RequestId, u64>,
    by_latest_start: BTreeSet<(Timestamp, u64)>,
    next_ticket: u64,
    floor: u64,
    tokens: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the tokens that wait.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the tokens that wait for one workspace.
    pub fn workspace_tokens(&self, workspace: WorkspaceKey) -> u64 {
        self.lanes.get(&workspace).map_or(0, |lane| lane.tokens)
    }

    /// Returns the workspaces that wait.
    pub fn waiting_workspaces(&self) -> usize {
        self.active.len()
    }

    /// Returns all requests that wait, in no useful order.
    pub(crate) fn requests(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.requests.values()
    }

    /// Adds a request behind those of its workspace and class.
    pub fn push(&mut self, request: WaitingRequest, weight: u32) {
        let ticket = self.enter(request, weight);
        self.link(ticket, false);
    }

    /// Adds a request before those of its workspace and class.
    pub fn push_front(&mut self, request: WaitingRequest, weight: u32) {
        let ticket = self.enter(request, weight);
        self.link(ticket, true);
    }

    fn enter(&mut self, request: WaitingRequest, weight: u32) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let workspace = request.facts.workspace;
        let floor = self.floor;
        let lane = self.lanes.entry(workspace).or_insert_with(|| Lane {
            weight: 1,
            virtual_time: floor,
            turns: 0,
            waiting: Default::default(),
            tokens: 0,
        });
        lane.weight = u64::from(weight.max(1));
        lane.tokens += request.cost;
        if lane.is_empty() {
            lane.virtual_time = lane.virtual_time.max(floor);
        }
        self.tokens += request.cost;
        self.tickets.insert(request.facts.request, ticket);
        self.by_latest_start.insert((request.latest_start, ticket));
        self.requests.insert(ticket, request);
        ticket
    }

    fn link(&mut self, ticket: u64, front: bool) {
        let facts = &self.requests[&ticket].facts;
        let (workspace, class) = (facts.workspace, class_index(facts.urgency));
        self.unlist(workspace);
        if let Some(lane) = self.lanes.get_mut(&workspace) {
            match front {
                true => lane.waiting[class].push_front(ticket),
                false => lane.waiting[class].push_back(ticket),
            }
        }
        self.list(workspace);
    }

    fn unlist(&mut self, workspace: WorkspaceKey) {
        let Some(lane) = self.lanes.get(&workspace) else {
            return;
        };
        let entry = (lane.virtual_time, workspace);
        self.active.remove(&entry);
        if let Some(class) = lane.best_class() {
            self.ready[class].remove(&entry);
        }
    }

    fn list(&mut self, workspace: WorkspaceKey) {
        let Some(lane) = self.lanes.get(&workspace) else {
            return;
        };
        if let Some(class) = lane.best_class() {
            let entry = (lane.virtual_time, workspace);
            self.active.insert(entry);
            self.ready[class].insert(entry);
        }
        if let Some((least, _)) = self.active.first() {
            self.floor = self.floor.max(*least);
        }
    }

    /// Returns the workspaces whose next request may be started now, best
    /// first; at most one for each class.
    pub fn candidates(&self, lead_tokens: u64) -> impl Iterator<Item = &WaitingRequest> {
        let least = self.active.first().map_or(0, |(time, _)| *time);
        let limit = least.saturating_add(lead_tokens * VIRTUAL_PER_TOKEN);
        let heads = self.ready.iter().filter_map(|ready| ready.first());
        heads
            .filter(move |(time, _)| *time <= limit)
            .filter_map(|(_, workspace)| self.head(*workspace))
    }

    fn head(&self, workspace: WorkspaceKey) -> Option<&WaitingRequest> {
        let lane = self.lanes.get(&workspace)?;
        let ticket = lane.waiting[lane.best_class()?].front()?;
        self.requests.get(ticket)
    }

    /// Removes a request that is being started and charges its workspace.
    pub fn start(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.take(request, true)
    }

    /// Removes a request that won't be started.
    pub fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.take(request, false)
    }

    /// Removes one request whose latest start has passed.
    pub fn expire(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let (latest_start, ticket) = *self.by_latest_start.first()?;
        if latest_start >= now {
            return None;
        }
        let request = self.requests.get(&ticket)?.facts.request;
        self.remove(request)
    }

    fn take(&mut self, request: RequestId, served: bool) -> Option<WaitingRequest> {
        let ticket = self.tickets.remove(&request)?;
        let waiting = self.requests.remove(&ticket)?;
        let workspace = waiting.facts.workspace;
        let class = class_index(waiting.facts.urgency);
        self.by_latest_start.remove(&(waiting.latest_start, ticket));
        self.unlist(workspace);
        if let Some(lane) = self.lanes.get_mut(&workspace) {
            match lane.waiting[class].front() == Some(&ticket) {
                true => drop(lane.waiting[class].pop_front()),
                false => lane.waiting[class].retain(|other| *other != ticket),
            }
            lane.tokens -= waiting.cost;
            if served {
                lane.turns += 1;
                lane.virtual_time += waiting.cost * VIRTUAL_PER_TOKEN / lane.weight;
            }
        }
        self.tokens -= waiting.cost;
        self.list(workspace);
        Some(waiting)
    }

    /// Corrects what a workspace was charged for a request, once it is known.
    pub fn correct_charge(&mut self, workspace: WorkspaceKey, charged: u64, cost: u64) {
        self.unlist(workspace);
        if let Some(lane) = self.lanes.get_mut(&workspace) {
            let more = cost.saturating_sub(charged) * VIRTUAL_PER_TOKEN / lane.weight;
            let less = charged.saturating_sub(cost) * VIRTUAL_PER_TOKEN / lane.weight;
            lane.virtual_time = (lane.virtual_time + more).saturating_sub(less);
        }
        self.list(workspace);
    }

    /// Forgets a workspace that has nothing waiting.
    pub fn remove_workspace(&mut self, workspace: WorkspaceKey) {
        if self.lanes.get(&workspace).is_some_and(Lane::is_empty) {
            self.lanes.remove(&workspace);
        }
    }
}

fn class_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}
