//! Test harness that drives an entry policy with random steps.
//!
//! It checks every action and the bound of the queue after each step.

use crate::support::{SECOND, at, data_centre, model, request, upstream, workspace};
use lagoonlift_policy::{
    AttemptEnd, EntryAction, EntryEvent, EntryLimits, EntryPolicy, LoadReport, PrefixHash, Target,
    Timestamp, UpstreamFacts, UpstreamKey, WorkspaceKey,
};
use lagoonlift_types::{RequestId, Supply, UpstreamRole, Urgency};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One step of a test.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Arrive {
        workspace: usize,
        kind: u8,
        prompt: u16,
    },
    /// The oldest attempt ends. 0: completed; 1: failed and retried; 2: busy and
    /// retried; 3: cancelled.
    End(u8),
    FirstToken,
    Prefilled,
    Withdraw,
    Report {
        upstream: usize,
        backlog: u16,
        streams: u8,
    },
    ToggleAcceptsRequests(usize),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 14 {
            0..=5 => Self::Arrive {
                workspace: usize::arbitrary(g) % 3,
                kind: u8::arbitrary(g),
                prompt: u16::arbitrary(g),
            },
            6..=7 => Self::End(u8::arbitrary(g) % 4),
            8 => Self::FirstToken,
            9 => Self::Prefilled,
            10 => Self::Withdraw,
            11 => Self::Report {
                upstream: usize::arbitrary(g) % UPSTREAMS,
                backlog: u16::arbitrary(g),
                streams: u8::arbitrary(g),
            },
            12 => Self::ToggleAcceptsRequests(usize::arbitrary(g) % UPSTREAMS),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

const UPSTREAMS: usize = 6;

/// An entry policy together with the events sent to it and its actions.
pub(super) struct Harness {
    policy: EntryPolicy,
    now: Timestamp,
    workspaces: Vec<WorkspaceKey>,
    upstreams: Vec<(UpstreamKey, UpstreamFacts)>,
    requests: BTreeMap<RequestId, lagoonlift_policy::RequestFacts>,
    /// Arrivals and retries without a final decision.
    undecided: BTreeSet<RequestId>,
    retried: BTreeSet<RequestId>,
    prefilling: Vec<(RequestId, UpstreamKey)>,
    running: Vec<(RequestId, UpstreamKey)>,
    pub(super) log: Vec<EntryAction>,
}

pub(super) fn facts(index: usize) -> UpstreamFacts {
    let role = [
        UpstreamRole::Prefill,
        UpstreamRole::Decode,
        UpstreamRole::Mixed,
    ][index % 3];
    let mut facts = upstream(index, role);
    facts.supply = [Supply::Reserved, Supply::Reclaimable][index / 3];
    if index == 5 {
        facts.models = BTreeSet::from([model("other")]);
    }
    facts
}

impl Harness {
    pub(super) fn new(is_disaggregated: bool) -> Self {
        let limits = EntryLimits {
            max_queue_tokens: 100_000,
            max_queue_requests: 20,
            max_streams: 3,
            ..EntryLimits::default()
        };
        let mut policy = EntryPolicy::new()
            .with_limits(limits)
            .with_seed(7)
            .with_data_centre(&data_centre(1))
            .with_disaggregated_prefill(is_disaggregated);
        let workspaces = (0..3).map(|n| policy.add_workspace(workspace(n, n as u32 + 1)));
        let workspaces = workspaces.collect();
        let upstreams = (0..UPSTREAMS).map(|n| (policy.add_upstream(facts(n)), facts(n)));
        let upstreams = upstreams.collect();
        Self {
            policy,
            now: at(1),
            workspaces,
            upstreams,
            requests: BTreeMap::new(),
            undecided: BTreeSet::new(),
            retried: BTreeSet::new(),
            prefilling: Vec::new(),
            running: Vec::new(),
            log: Vec::new(),
        }
    }

    fn send(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(&action);
            self.log.push(action);
        }
    }

    fn check(&mut self, action: &EntryAction) {
        match action {
            EntryAction::Refuse { request, .. } => {
                assert!(
                    self.undecided.remove(request),
                    "a refused request must be undecided"
                );
                self.retried.remove(request);
            }
            EntryAction::Prefill {
                request, upstream, ..
            } => {
                assert!(self.undecided.contains(request));
                self.check_upstream(*request, *upstream);
                self.prefilling.push((*request, *upstream));
            }
            EntryAction::Dispatch {
                request, upstream, ..
            } => {
                assert!(
                    self.undecided.remove(request),
                    "a dispatched request must be undecided"
                );
                self.retried.remove(request);
                self.check_upstream(*request, *upstream);
                self.running.push((*request, *upstream));
            }
        }
    }

    fn check_upstream(&self, request: RequestId, upstream: UpstreamKey) {
        let facts = &self.requests[&request];
        let chosen = self.upstreams.iter().find(|(key, _)| *key == upstream);
        let (_, chosen) = chosen.expect("requests are sent only to known upstreams");
        assert!(chosen.accepts_requests);
        assert!(matches!(&facts.target, Target::Model(m) if chosen.models.contains(m)));
        let is_loss_tolerant = facts.idempotent && facts.urgency != Urgency::Urgent;
        assert!(chosen.supply == Supply::Reserved || is_loss_tolerant);
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive {
                workspace,
                kind,
                prompt,
            } => self.arrive(workspace, kind, prompt),
            Step::End(outcome) => self.end(outcome),
            Step::FirstToken => {
                if let Some((request, _)) = self.running.first().copied() {
                    self.send(EntryEvent::FirstToken { request });
                }
            }
            Step::Prefilled => {
                if let Some((request, upstream)) = self.prefilling.pop() {
                    self.send(EntryEvent::Prefilled { request, upstream });
                }
            }
            Step::Withdraw => {
                let is_prefilling =
                    |request: &RequestId| self.prefilling.iter().any(|(r, _)| r == request);
                let waiting = self
                    .undecided
                    .iter()
                    .find(|request| !is_prefilling(request))
                    .copied();
                if let Some(request) = waiting {
                    self.undecided.remove(&request);
                    self.retried.remove(&request);
                    self.send(EntryEvent::Cancelled { request });
                }
            }
            Step::Report {
                upstream,
                backlog,
                streams,
            } => {
                let report = LoadReport {
                    prefill_backlog_tokens: u64::from(backlog),
                    active_streams: u32::from(streams) % 4,
                    kv_used: 0.1,
                };
                let upstream = self.upstreams[upstream].0;
                let measured_at = self.now - SECOND;
                self.send(EntryEvent::LoadReported {
                    upstream,
                    measured_at,
                    report,
                });
            }
            Step::ToggleAcceptsRequests(index) => {
                let (key, facts) = &mut self.upstreams[index];
                facts.accepts_requests = !facts.accepts_requests;
                self.policy.update_upstream(*key, facts.clone());
            }
            Step::Wait(tenths) => {
                self.now = self.now + Duration::from_millis(100) * u32::from(tenths);
                self.send(EntryEvent::Tick);
            }
        }
        // Retries were already admitted once and may therefore exceed the bound of
        // the queue.
        let queued: u64 = self.policy.queued().map(|(_, work)| work.requests).sum();
        let targets = 2;
        assert!(queued <= targets * 20 + self.retried.len() as u64);
    }

    fn arrive(&mut self, workspace: usize, kind: u8, prompt: u16) {
        let mut facts = request(self.workspaces[workspace], u64::from(prompt) + 1);
        facts.urgency =
            [Urgency::Urgent, Urgency::Normal, Urgency::Background][usize::from(kind) % 3];
        facts.idempotent = kind & 8 == 0;
        facts.deadline = self.now + SECOND * (u32::from(kind) + 1);
        facts.prefix = (kind & 16 == 0).then_some(PrefixHash(u64::from(kind)));
        if kind & 64 != 0 {
            facts.target = Target::Model(model("other"));
        }
        self.undecided.insert(facts.request);
        self.requests.insert(facts.request, facts.clone());
        self.send(EntryEvent::Arrived(facts));
    }

    fn end(&mut self, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (request, upstream) = self.running.remove(0);
        let end = [
            AttemptEnd::Completed { output_tokens: 90 },
            AttemptEnd::UpstreamFailed,
            AttemptEnd::Busy,
            AttemptEnd::Cancelled,
        ][usize::from(outcome)];
        self.send(EntryEvent::Ended {
            request,
            upstream,
            end,
        });
        if matches!(end, AttemptEnd::UpstreamFailed | AttemptEnd::Busy) {
            let facts = self.requests[&request].clone();
            self.undecided.insert(request);
            self.retried.insert(request);
            let avoid = vec![upstream];
            self.send(EntryEvent::Retry { facts, avoid });
        }
    }

    /// Completes all attempts, lets all deadlines pass and checks that every
    /// request has been decided.
    pub(super) fn finish(&mut self) {
        for index in 0..UPSTREAMS {
            let (key, facts) = &mut self.upstreams[index];
            facts.accepts_requests = true;
            self.policy.update_upstream(*key, facts.clone());
        }
        for _ in 0..500 {
            while let Some((request, upstream)) = self.prefilling.pop() {
                self.send(EntryEvent::Prefilled { request, upstream });
            }
            while !self.running.is_empty() {
                self.end(0);
            }
            self.now = self.now + SECOND;
            self.send(EntryEvent::Tick);
        }
        assert!(
            self.undecided.is_empty(),
            "requests without a decision: {:?}",
            self.undecided
        );
    }
}
