//! Weighted fair queueing between workspaces, with urgency classes.
//!
//! Each workspace has a virtual time: the tokens served to it, divided by its
//! weight. Urgent requests go first, but only among workspaces whose virtual
//! time is at most a fixed lead ahead of the least-served one. A workspace that
//! floods the queue, even with urgent requests, reaches that lead and then gets
//! its fair share. A workspace that sends only background requests has a lower
//! virtual time than the others and is therefore never starved by them. Within
//! a workspace, every eighth request is taken from its least urgent class.

use crate::{RequestFacts, Timestamp, UpstreamKey, WorkspaceKey};
use lagoonlift_types::{RequestId, Urgency};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// One in this many requests of a workspace is taken from its least urgent class
/// that has requests waiting.
const LOW_CLASS_INTERVAL: u32 = 8;
/// Virtual time is measured in thousandths of a token, so that dividing it by a
/// weight keeps enough precision.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

const CLASS_COUNT: usize = 3;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Properties of the request.
    pub facts: RequestFacts,
    /// Upstreams that the request must not be sent to.
    pub avoid: Vec<UpstreamKey>,
    /// Expected cost in prompt and output tokens.
    pub cost: u64,
    /// Time after which the request is refused instead of started: its deadline
    /// less its expected service time. For a request that was already too late
    /// when it was queued, it is the time at which it was queued, so that the
    /// request can still start at once.
    pub latest_start: Timestamp,
}

/// Requests of one workspace that wait for one target.
#[derive(Debug)]
struct WorkspaceQueue {
    weight: u64,
    virtual_time: u64,
    started_count: u32,
    /// Tickets of the waiting requests, by class index. 0 is the most urgent class.
    waiting: [VecDeque<u64>; CLASS_COUNT],
    tokens: u64,
}

impl WorkspaceQueue {
    fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    /// Returns the index of the class that the next request is taken from: the
    /// most urgent one with waiting requests, or the least urgent one for every
    /// [`LOW_CLASS_INTERVAL`]th request of the workspace.
    fn next_class(&self) -> Option<usize> {
        let mut classes = 0..CLASS_COUNT;
        match (self.started_count + 1).is_multiple_of(LOW_CLASS_INTERVAL) {
            true => classes.rfind(|class| !self.waiting[*class].is_empty()),
            false => classes.find(|class| !self.waiting[*class].is_empty()),
        }
    }
}

/// Requests of all workspaces that wait for one target.
///
/// Each request gets a ticket, a number that increases with every insertion.
#[derive(Debug, Default)]
pub struct FairQueue {
    workspaces: BTreeMap<WorkspaceKey, WorkspaceQueue>,
    /// Workspaces with waiting requests, divided into one set for each class of
    /// their next request. Each set is ordered by virtual time.
    by_next_class: [BTreeSet<(u64, WorkspaceKey)>; CLASS_COUNT],
    /// The same workspaces in a single set, ordered by virtual time. Its first
    /// entry is the least-served workspace.
    by_virtual_time: BTreeSet<(u64, WorkspaceKey)>,
    requests: HashMap<u64, WaitingRequest>,
    tickets: HashMap<RequestId, u64>,
    by_latest_start: BTreeSet<(Timestamp, u64)>,
    next_ticket: u64,
    /// Highest virtual time that the least-served workspace has had. A workspace
    /// without waiting requests that gets one starts no lower, so idle time earns
    /// no credit.
    virtual_time_floor: u64,
    tokens: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the expected cost of all waiting requests, in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the expected cost of one workspace's waiting requests, in tokens.
    pub fn workspace_tokens(&self, workspace: WorkspaceKey) -> u64 {
        self.workspaces
            .get(&workspace)
            .map_or(0, |queue| queue.tokens)
    }

    /// Returns the number of workspaces with waiting requests.
    pub fn waiting_workspaces(&self) -> usize {
        self.by_virtual_time.len()
    }

    /// Returns all waiting requests in an unspecified order.
    pub(crate) fn requests(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.requests.values()
    }

    /// Adds a request after the others of its workspace and class.
    pub fn push(&mut self, request: WaitingRequest, weight: u32) {
        let ticket = self.insert_request(request, weight);
        self.enqueue(ticket, false);
    }

    /// Adds a request before the others of its workspace and class.
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
        self.by_virtual_time.remove(&entry);
        if let Some(class) = queue.next_class() {
            self.by_next_class[class].remove(&entry);
        }
    }

    fn add_to_index(&mut self, workspace: WorkspaceKey) {
        let Some(queue) = self.workspaces.get(&workspace) else {
            return;
        };
        if let Some(class) = queue.next_class() {
            let entry = (queue.virtual_time, workspace);
            self.by_virtual_time.insert(entry);
            self.by_next_class[class].insert(entry);
        }
        if let Some((least, _)) = self.by_virtual_time.first() {
            self.virtual_time_floor = self.virtual_time_floor.max(*least);
        }
    }

    /// Returns the requests that may be started next, best first.
    ///
    /// For each class this is at most one request: the next one of the
    /// least-served workspace in that class, provided that the workspace is at
    /// most `max_lead_tokens` ahead of the least-served one overall.
    pub fn candidates(&self, max_lead_tokens: u64) -> impl Iterator<Item = &WaitingRequest> {
        let least = self.by_virtual_time.first().map_or(0, |(time, _)| *time);
        let limit = least.saturating_add(max_lead_tokens * VIRTUAL_TIME_PER_TOKEN);
        let heads = self.by_next_class.iter().filter_map(|set| set.first());
        heads
            .filter(move |(time, _)| *time <= limit)
            .filter_map(|(_, workspace)| self.next_request(*workspace))
    }

    fn next_request(&self, workspace: WorkspaceKey) -> Option<&WaitingRequest> {
        let queue = self.workspaces.get(&workspace)?;
        let ticket = queue.waiting[queue.next_class()?].front()?;
        self.requests.get(ticket)
    }

    /// Removes a request that is being started and charges its cost to the
    /// workspace.
    pub fn start(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.dequeue(request, true)
    }

    /// Removes a request that won't be started. Its workspace isn't charged.
    pub fn discard(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.dequeue(request, false)
    }

    /// Removes and returns one request whose latest start time has passed.
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

    /// Corrects the charge of a workspace for a request from `charged_tokens` to
    /// the actual `cost`.
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

    /// Removes a workspace unless it has requests waiting.
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

/// Returns the index of an urgency class in arrays with one item per class. 0 is
/// the most urgent class, as in `engine_priority`.
fn class_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}
