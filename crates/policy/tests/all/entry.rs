//! Tests of admission and placement in the entry policy.

mod harness;

use crate::support::{at, data_centre, request, upstream, workspace};
use harness::{Harness, Step};
use lagoonlift_policy::{EntryAction, EntryEvent, EntryPolicy, PrefixHash, Target};
use lagoonlift_types::{NotRunReason, RequestId, UpstreamName, UpstreamRole};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

quickcheck! {
    /// Every arrival and retry gets exactly one final decision in time. Requests
    /// are sent only to upstreams that accept requests and serve the model, and
    /// to reclaimable ones only if the request tolerates their loss. The queue
    /// stays bounded.
    ///
    /// The test fails if placement doesn't check the supply, if it doesn't check
    /// `accepts_requests` for the holder of a prefix, or without `expire`.
    fn decides_each_request_once_and_places_it_where_it_may_run(
        steps: Vec<Step>,
        is_disaggregated: bool
    ) -> bool {
        let mut harness = Harness::new(is_disaggregated);
        for step in steps {
            harness.apply(step);
        }
        harness.finish();
        true
    }

    /// The same events result in the same actions.
    fn returns_the_same_actions_for_the_same_events(steps: Vec<Step>) -> bool {
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

/// Six processes that see the same idle engines don't all choose the same one.
///
/// The test fails if placement takes the least loaded engine instead of using
/// the power of two choices.
#[test]
fn spreads_the_work_of_several_processes() {
    let mut counts = BTreeMap::new();
    for process in 0..6 {
        let mut policy = EntryPolicy::new()
            .with_seed(process)
            .with_data_centre(&data_centre(0));
        policy.set_entry_processes(6);
        let workspace_key = policy.add_workspace(workspace(0, 1));
        for index in 0..8 {
            let mut facts = upstream(index, UpstreamRole::Mixed);
            facts.data_centre = data_centre(0);
            policy.add_upstream(facts);
        }
        let mut actions = Vec::new();
        for _ in 0..4 {
            let event = EntryEvent::Arrived(request(workspace_key, 500));
            policy.handle(at(1), event, &mut actions);
        }
        for action in actions {
            if let EntryAction::Dispatch { upstream, .. } = action {
                *counts.entry(upstream).or_insert(0) += 1;
            }
        }
    }
    let max_requests = counts.values().copied().max().unwrap_or(0);
    assert_eq!(counts.values().sum::<i32>(), 24);
    assert!(
        max_requests <= 6,
        "24 requests, {max_requests} on one of 8 engines"
    );
    assert!(counts.len() >= 7, "only {} engines got work", counts.len());
}

/// Requests with a prefix go to the engine that holds it, unless that engine has
/// much more load than others.
///
/// The test fails with an affinity slack of -1 and with one of 10.
#[test]
fn follows_a_prefix_within_bounds() {
    let mut policy = EntryPolicy::new().with_seed(3);
    let workspace_key = policy.add_workspace(workspace(0, 1));
    let keys: Vec<_> = (0..6)
        .map(|index| policy.add_upstream(upstream(index, UpstreamRole::Mixed)))
        .collect();
    let prefix = PrefixHash(9);
    let cached = EntryEvent::PrefixCacheChanged {
        upstream: keys[4],
        prefix,
        held: true,
    };
    policy.handle(at(1), cached, &mut Vec::new());
    let mut chosen_upstreams = Vec::new();
    for _ in 0..8 {
        let mut facts = request(workspace_key, 1_500);
        facts.prefix = Some(prefix);
        let mut actions = Vec::new();
        policy.handle(at(1), EntryEvent::Arrived(facts), &mut actions);
        for action in actions {
            if let EntryAction::Dispatch { upstream, .. } = action {
                chosen_upstreams.push(upstream);
            }
        }
    }
    assert_eq!(
        chosen_upstreams[..2],
        [keys[4], keys[4]],
        "the first two requests must go to the holder of the prefix"
    );
    assert_ne!(
        chosen_upstreams[2], keys[4],
        "the third request must go to another engine"
    );
}

/// A request to a plain service is dispatched to the service of that name, and
/// is refused with `NoUpstream` if there is none.
#[test]
fn refuses_requests_that_no_upstream_serves() {
    let mut policy = EntryPolicy::new();
    let workspace_key = policy.add_workspace(workspace(0, 1));
    let name = UpstreamName::new("weather").expect("well formed");
    let mut facts = request(workspace_key, 10);
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

/// A queued request that can no longer meet its deadline is refused at the next
/// tick.
#[test]
fn refuses_when_the_deadline_can_no_longer_be_met() {
    let mut policy = EntryPolicy::new();
    let workspace_key = policy.add_workspace(workspace(0, 1));
    policy.add_upstream(upstream(0, UpstreamRole::Mixed));
    let mut actions = Vec::new();
    let long = request(workspace_key, 50_000);
    policy.handle(at(1), EntryEvent::Arrived(long), &mut actions);
    actions.clear();
    let mut late = request(workspace_key, 1_000);
    late.deadline = at(20);
    policy.handle(at(1), EntryEvent::Arrived(late.clone()), &mut actions);
    assert_eq!(actions, [], "the request must wait");
    policy.handle(at(19), EntryEvent::Tick, &mut actions);
    assert!(matches!(
        actions[..],
        [EntryAction::Refuse { request, reason: NotRunReason::Overloaded, .. }]
            if request == late.request
    ));
}
