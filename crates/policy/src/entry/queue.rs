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
const LOW_CLASS_INTERVAL: u32 = 8;
/// Virtual time is counted in thousandths of a token, so that weights divide it.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

const CLASS_COUNT: usize = 3;

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
struct WorkspaceQueue {
    weight: u64,
    virtual_time: u64,
    started_count: u32,
    waiting: [VecDeque<u64>; CLASS_COUNT],
    tokens: u64,
}

impl WorkspaceQueue {
    fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    fn next_class(&self) -> Option<usize> {
        let mut classes = 0..CLASS_COUNT;
        match (self.started_count + 1).is_multiple_of(LOW_CLASS_INTERVAL) {
            true => classes.rfind(|class| !self.waiting[*class].is_empty()),
            false => classes.find(|class| !self.waiting[*class].is_empty()),
        }
    }
}

/// Requests of all workspaces that wait for one target.
#[derive(Debug, Default)]
pub struct FairQueue {
    workspaces: BTreeMap<WorkspaceKey, WorkspaceQueue>,
    /// Lanes with work, by the class of their next request and virtual time.
    ready: [BTreeSet<(u64, WorkspaceKey)>; CLASS_COUNT],
    /// Lanes with work by virtual time.
    active: BTreeSet<(u64, WorkspaceKey)>,
    requests: HashMap<u64, WaitingRequest>,
    tickets: HashMap<RequestId, u64>,
    by_latest_start: BTreeSet<(Timestamp, u64)>,
    next_ticket: u64,
    virtual_time_floor: u64,
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
        self.workspaces
            .get(&workspace)
            .map_or(0, |queue| queue.tokens)
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
        let ticket = self.insert_request(request, weight);
        self.enqueue(ticket, false);
    }

    /// Adds a request before those of its workspace and class.
    pub fn push_front(&mut self, request: WaitingRequest, weight: u32) {
        let ticket = self.insert_request(request, weight);
        self.enqueue(ticket, true);
    }

    fn insert_request(&mut self, request: WaitingRequest, weight: u32) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let workspace = request.facts.workspace;
        let virtual_time_floor = self.virtual_time_floor;
        let queue = self
            .workspaces
            .entry(workspace)
            .or_insert_with(|| WorkspaceQueue {
                weight: 1,
                virtual_time: virtual_time_floor,
                started_count: 0,
                waiting: Default::default(),
                tokens: 0,
            });
        queue.weight = u64::from(weight.max(1));
        queue.tokens += request.cost;
        if queue.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time_floor);
        }
        self.tokens += request.cost;
        self.tickets.insert(request.facts.request, ticket);
        self.by_latest_start.insert((request.latest_start, ticket));
        self.requests.insert(ticket, request);
        ticket
    }

    fn enqueue(&mut self, ticket: u64, at_front: bool) {
        let facts = &self.requests[&ticket].facts;
        let (workspace, class) = (facts.workspace, class_index(facts.urgency));
        self.remove_from_index(workspace);
        if let Some(queue) = self.workspaces.get_mut(&workspace) {
            match at_front {
                true => queue.waiting[class].push_front(ticket),
                false => queue.waiting[class].push_back(ticket),
            }
        }
        self.add_to_index(workspace);
    }

    fn remove_from_index(&mut self, workspace: WorkspaceKey) {
        let Some(queue) = self.workspaces.get(&workspace) else {
            return;
        };
        let entry = (queue.virtual_time, workspace);
        self.active.remove(&entry);
        if let Some(class) = queue.next_class() {
            self.ready[class].remove(&entry);
        }
    }

    fn add_to_index(&mut self, workspace: WorkspaceKey) {
        let Some(queue) = self.workspaces.get(&workspace) else {
            return;
        };
        if let Some(class) = queue.next_class() {
            let entry = (queue.virtual_time, workspace);
            self.active.insert(entry);
            self.ready[class].insert(entry);
        }
        if let Some((least, _)) = self.active.first() {
            self.virtual_time_floor = self.virtual_time_floor.max(*least);
        }
    }

    /// Returns the workspaces whose next request may be started now, best
    /// first; at most one for each class.
    pub fn candidates(&self, max_lead_tokens: u64) -> impl Iterator<Item = &WaitingRequest> {
        let least = self.active.first().map_or(0, |(time, _)| *time);
        let limit = least.saturating_add(max_lead_tokens * VIRTUAL_TIME_PER_TOKEN);
        let heads = self.ready.iter().filter_map(|ready| ready.first());
        heads
            .filter(move |(time, _)| *time <= limit)
            .filter_map(|(_, workspace)| self.next_request(*workspace))
    }

    fn next_request(&self, workspace: WorkspaceKey) -> Option<&WaitingRequest> {
        let queue = self.workspaces.get(&workspace)?;
        let ticket = queue.waiting[queue.next_class()?].front()?;
        self.requests.get(ticket)
    }

    /// Removes a request that is being started and charges its workspace.
    pub fn start(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.dequeue(request, true)
    }

    /// Removes a request that won't be started.
    pub fn discard(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.dequeue(request, false)
    }

    /// Removes one request whose latest start has passed.
    pub fn expire(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let (latest_start, ticket) = *self.by_latest_start.first()?;
        if latest_start >= now {
            return None;
        }
        let request = self.requests.get(&ticket)?.facts.request;
        self.discard(request)
    }

    fn dequeue(&mut self, request: RequestId, is_started: bool) -> Option<WaitingRequest> {
        let ticket = self.tickets.remove(&request)?;
        let waiting = self.requests.remove(&ticket)?;
        let workspace = waiting.facts.workspace;
        let class = class_index(waiting.facts.urgency);
        self.by_latest_start.remove(&(waiting.latest_start, ticket));
        self.remove_from_index(workspace);
        if let Some(queue) = self.workspaces.get_mut(&workspace) {
            match queue.waiting[class].front() == Some(&ticket) {
                true => drop(queue.waiting[class].pop_front()),
                false => queue.waiting[class].retain(|other| *other != ticket),
            }
            queue.tokens -= waiting.cost;
            if is_started {
                queue.started_count += 1;
                queue.virtual_time += waiting.cost * VIRTUAL_TIME_PER_TOKEN / queue.weight;
            }
        }
        self.tokens -= waiting.cost;
        self.add_to_index(workspace);
        Some(waiting)
    }

    /// Corrects what a workspace was charged for a request, once it is known.
    pub fn correct_charge(&mut self, workspace: WorkspaceKey, charged_tokens: u64, cost: u64) {
        self.remove_from_index(workspace);
        if let Some(queue) = self.workspaces.get_mut(&workspace) {
            let increase =
                cost.saturating_sub(charged_tokens) * VIRTUAL_TIME_PER_TOKEN / queue.weight;
            let decrease =
                charged_tokens.saturating_sub(cost) * VIRTUAL_TIME_PER_TOKEN / queue.weight;
            queue.virtual_time = (queue.virtual_time + increase).saturating_sub(decrease);
        }
        self.add_to_index(workspace);
    }

    /// Forgets a workspace that has nothing waiting.
    pub fn remove_workspace(&mut self, workspace: WorkspaceKey) {
        if self
            .workspaces
            .get(&workspace)
            .is_some_and(WorkspaceQueue::is_empty)
        {
            self.workspaces.remove(&workspace);
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
