//! Admission and placement.

use crate::support::{SECOND, at, data_centre, model, request, upstream, workspace};
use lagoonlift_policy::{
    AttemptEnd, EntryAction, EntryEvent, EntryLimits, EntryPolicy, LoadReport, PrefixHash, Target,
    Timestamp, UpstreamFacts, UpstreamKey, WorkspaceKey,
};
use lagoonlift_types::{NotRunReason, RequestId, Supply, UpstreamName, UpstreamRole, Urgency};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Something that a test does to a policy.
#[derive(Clone, Copy, Debug)]
enum Step {
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
struct Harness {
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
    log: Vec<EntryAction>,
}

fn facts(index: usize) -> UpstreamFacts {
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
    fn new(splits: bool) -> Self {
        let limits = EntryLimits {
            queue_tokens: 100_000,
            queue_requests: 20,
            streams: 3,
            ..EntryLimits::default()
        };
        let mut policy = EntryPolicy::new()
            .with_limits(limits)
            .with_seed(7)
            .with_data_centre(&data_centre(1))
            .with_split_phases(splits);
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

    fn apply(&mut self, step: Step) {
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
                    self.send(EntryEvent::Withdrawn { request });
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
                self.send(EntryEvent::Loaded {
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
    fn settle(&mut self) {
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

quickcheck! {
    /// Every arrival and retry gets exactly one final decision, in time; work
    /// goes only to upstreams that take it, serve its model and, unless it
    /// survives their loss, can't be reclaimed; the queue stays bounded.
    ///
    /// Seen failing with the supply check of placement removed, with
    /// `accepts_work` not checked for the holder of a prefix, and without
    /// `expire`.
    fn decides_each_request_once_and_places_it_where_it_may_run(
        steps: Vec<Step>,
        splits: bool
    ) -> bool {
        let mut harness = Harness::new(splits);
        for step in steps {
            harness.apply(step);
        }
        harness.settle();
        true
    }

    /// The same events give the same actions.
    fn decides_alike_on_the_same_events(steps: Vec<Step>) -> bool {
        let actions = || {
            let mut harness = Harness::new(true);
            let mut order = BTreeMap::new();
            for step in &steps {
                harness.apply(*step);
            }
            let log = std::mem::take(&mut harness.log);
            let mut number = |request: RequestId| {
                let next = order.len();
                *order.entry(request).or_insert(next)
            };
            log.into_iter()
                .map(|action| match action {
                    EntryAction::Refuse { request, reason, .. } => {
                        (number(request), None, Some(reason))
                    }
                    EntryAction::Prefill { request, upstream, .. }
                    | EntryAction::Dispatch { request, upstream, .. } => {
                        (number(request), Some(upstream), None)
                    }
                })
                .collect::<Vec<_>>()
        };
        actions() == actions()
    }
}

/// Six processes that see the same idle reports don't all choose one engine.
///
/// Seen failing with the least loaded engine taken in place of two choices.
#[test]
fn spreads_the_work_of_several_processes() {
    let mut counts = BTreeMap::new();
    for process in 0..6 {
        let mut policy = EntryPolicy::new()
            .with_seed(process)
            .with_data_centre(&data_centre(0));
        policy.set_peers(6);
        let payer = policy.add_workspace(workspace(0, 1));
        for index in 0..8 {
            let mut facts = upstream(index, UpstreamRole::Mixed);
            facts.data_centre = data_centre(0);
            policy.add_upstream(facts);
        }
        let mut actions = Vec::new();
        for _ in 0..4 {
            let event = EntryEvent::Arrived(request(payer, 500));
            policy.handle(at(1), event, &mut actions);
        }
        for action in actions {
            if let EntryAction::Dispatch { upstream, .. } = action {
                *counts.entry(upstream).or_insert(0) += 1;
            }
        }
    }
    let most = counts.values().copied().max().unwrap_or(0);
    assert_eq!(counts.values().sum::<i32>(), 24);
    assert!(most <= 6, "24 requests, {most} on one of 8 engines");
    assert!(counts.len() >= 7, "only {} engines got work", counts.len());
}

/// A prefix is followed to its engine, but not into overload.
///
/// Seen failing with an affinity slack of -1 and of 10.
#[test]
fn follows_a_prefix_within_bounds() {
    let mut policy = EntryPolicy::new().with_seed(3);
    let payer = policy.add_workspace(workspace(0, 1));
    let keys: Vec<_> = (0..6)
        .map(|index| policy.add_upstream(upstream(index, UpstreamRole::Mixed)))
        .collect();
    let prefix = PrefixHash(9);
    let cached = EntryEvent::Cached {
        upstream: keys[4],
        prefix,
        held: true,
    };
    policy.handle(at(1), cached, &mut Vec::new());
    let mut places = Vec::new();
    for _ in 0..8 {
        let mut facts = request(payer, 1_500);
        facts.prefix = Some(prefix);
        let mut actions = Vec::new();
        policy.handle(at(1), EntryEvent::Arrived(facts), &mut actions);
        for action in actions {
            if let EntryAction::Dispatch { upstream, .. } = action {
                places.push(upstream);
            }
        }
    }
    assert_eq!(
        places[..2],
        [keys[4], keys[4]],
        "first ones follow the prefix"
    );
    assert_ne!(places[2], keys[4], "the third goes elsewhere");
}

/// A plain service is found by its name, and its absence is a true refusal.
#[test]
fn refuses_what_nobody_serves() {
    let mut policy = EntryPolicy::new();
    let payer = policy.add_workspace(workspace(0, 1));
    let name = UpstreamName::new("weather").expect("well formed");
    let mut facts = request(payer, 10);
    facts.target = Target::Service(name.clone());
    let mut actions = Vec::new();
    policy.handle(at(1), EntryEvent::Arrived(facts.clone()), &mut actions);
    assert!(matches!(
        actions[..],
        [EntryAction::Refuse {
            reason: NotRunReason::NoUpstream,
            ..
        }]
    ));
    actions.clear();
    let mut service = upstream(0, UpstreamRole::Mixed);
    service.role = None;
    service.name = name;
    service.models.clear();
    let key = policy.add_upstream(service);
    policy.handle(at(1), EntryEvent::Arrived(facts), &mut actions);
    assert!(matches!(actions[..], [EntryAction::Dispatch { upstream, .. }] if upstream == key));
}

/// A request whose deadline passes in the queue is refused by the next tick.
#[test]
fn refuses_when_the_deadline_can_no_longer_be_met() {
    let mut policy = EntryPolicy::new();
    let payer = policy.add_workspace(workspace(0, 1));
    policy.add_upstream(upstream(0, UpstreamRole::Mixed));
    let mut actions = Vec::new();
    let long = request(payer, 50_000);
    policy.handle(at(1), EntryEvent::Arrived(long), &mut actions);
    actions.clear();
    let mut late = request(payer, 1_000);
    late.deadline = at(20);
    policy.handle(at(1), EntryEvent::Arrived(late.clone()), &mut actions);
    assert_eq!(actions, [], "it waits");
    policy.handle(at(19), EntryEvent::Tick, &mut actions);
    assert!(matches!(
        actions[..],
        [EntryAction::Refuse { request, reason: NotRunReason::Overloaded, .. }]
            if request == late.request
    ));
}
