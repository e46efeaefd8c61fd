//! A policy with random work, checked after each event.

use crate::support::{SECOND, at, data_centre, model, request, upstream, workspace};
use lagoonlift_policy::{
    AttemptEnd, EntryAction, EntryEvent, EntryLimits, EntryPolicy, LoadReport, PrefixHash, Target,
    Timestamp, UpstreamFacts, UpstreamKey, WorkspaceKey,
};
use lagoonlift_types::{RequestId, Supply, UpstreamRole, Urgency};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Something that a test does to a policy.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Arrive {
        workspace: usize,
        kind: u8,
        prompt: u16,
    },
    /// The oldest attempt ends: 0 completed, 1 failed and retried, 2 busy and
    /// retried, 3 cancelled.
    End(u8),
    FirstToken,
    Prefilled,
    Withdraw,
    Report {
        upstream: usize,
        backlog: u16,
        streams: u8,
    },
    Toggle(usize),
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
            12 => Self::Toggle(usize::arbitrary(g) % UPSTREAMS),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

const UPSTREAMS: usize = 6;

/// A policy with a record of what it was told and what it answered.
pub(super) struct Harness {
    policy: EntryPolicy,
    now: Timestamp,
    workspaces: Vec<WorkspaceKey>,
    upstreams: Vec<(UpstreamKey, UpstreamFacts)>,
    requests: BTreeMap<RequestId, lagoonlift_policy::RequestFacts>,
    /// Arrivals and retries that have had no final decision.
    open: BTreeSet<RequestId>,
    retried: BTreeSet<RequestId>,
    reading: Vec<(RequestId, UpstreamKey)>,
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
    pub(super) fn new(splits: bool) -> Self {
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
            .with_disaggregated_prefill(splits);
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
            open: BTreeSet::new(),
            retried: BTreeSet::new(),
            reading: Vec::new(),
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
                assert!(self.open.remove(request), "a refusal answers one arrival");
                self.retried.remove(request);
            }
            EntryAction::Prefill {
                request, upstream, ..
            } => {
                assert!(self.open.contains(request));
                self.check_place(*request, *upstream);
                self.reading.push((*request, *upstream));
            }
            EntryAction::Dispatch {
                request, upstream, ..
            } => {
                assert!(self.open.remove(request), "a dispatch answers one arrival");
                self.retried.remove(request);
                self.check_place(*request, *upstream);
                self.running.push((*request, *upstream));
            }
        }
    }

    fn check_place(&self, request: RequestId, upstream: UpstreamKey) {
        let facts = &self.requests[&request];
        let place = self.upstreams.iter().find(|(key, _)| *key == upstream);
        let (_, place) = place.expect("only known upstreams get work");
        assert!(place.accepts_work);
        assert!(matches!(&facts.target, Target::Model(m) if place.models.contains(m)));
        let may_be_lost = facts.idempotent && facts.urgency != Urgency::Urgent;
        assert!(place.supply == Supply::Reserved || may_be_lost);
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive {
                workspace,
                kind,
                prompt,
            } => self.arrive(workspace, kind, prompt),
            Step::End(how) => self.end(how),
            Step::FirstToken => {
                if let Some((request, _)) = self.running.first().copied() {
                    self.send(EntryEvent::FirstToken { request });
                }
            }
            Step::Prefilled => {
                if let Some((request, upstream)) = self.reading.pop() {
                    self.send(EntryEvent::Prefilled { request, upstream });
                }
            }
            Step::Withdraw => {
                let reading = |request: &RequestId| self.reading.iter().any(|(r, _)| r == request);
                let waiting = self.open.iter().find(|request| !reading(request)).copied();
                if let Some(request) = waiting {
                    self.open.remove(&request);
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
            Step::Toggle(index) => {
                let (key, facts) = &mut self.upstreams[index];
                facts.accepts_work = !facts.accepts_work;
                self.policy.update_upstream(*key, facts.clone());
            }
            Step::Wait(tenths) => {
                self.now = self.now + Duration::from_millis(100) * u32::from(tenths);
                self.send(EntryEvent::Tick);
            }
        }
        // Retries may exceed the bound: they were admitted once already.
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
        self.open.insert(facts.request);
        self.requests.insert(facts.request, facts.clone());
        self.send(EntryEvent::Arrived(facts));
    }

    fn end(&mut self, how: u8) {
        if self.running.is_empty() {
            return;
        }
        let (request, upstream) = self.running.remove(0);
        let end = [
            AttemptEnd::Completed { output_tokens: 90 },
            AttemptEnd::UpstreamFailed,
            AttemptEnd::Busy,
            AttemptEnd::Cancelled,
        ][usize::from(how)];
        self.send(EntryEvent::Ended {
            request,
            upstream,
            end,
        });
        if matches!(end, AttemptEnd::UpstreamFailed | AttemptEnd::Busy) {
            let facts = self.requests[&request].clone();
            self.open.insert(request);
            self.retried.insert(request);
            let avoid = vec![upstream];
            self.send(EntryEvent::Retry { facts, avoid });
        }
    }

    /// Ends everything and lets all deadlines pass: nothing may stay open.
    pub(super) fn settle(&mut self) {
        for index in 0..UPSTREAMS {
            let (key, facts) = &mut self.upstreams[index];
            facts.accepts_work = true;
            self.policy.update_upstream(*key, facts.clone());
        }
        for _ in 0..500 {
            while let Some((request, upstream)) = self.reading.pop() {
                self.send(EntryEvent::Prefilled { request, upstream });
            }
            while !self.running.is_empty() {
                self.end(0);
            }
            self.now = self.now + SECOND;
            self.send(EntryEvent::Tick);
        }
        assert!(
            self.open.is_empty(),
            "each arrival is decided: {:?}",
            self.open
        );
    }
}
