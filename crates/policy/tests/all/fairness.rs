//! Tests of fair queueing between workspaces and urgency classes.

use crate::support::{at, request, workspace};
use lagoonlift_policy::{EntryPolicy, FairQueue, WaitingRequest, WorkspaceKey};
use lagoonlift_types::Urgency;
use quickcheck::{TestResult, quickcheck};
use std::collections::BTreeMap;

const LEAD_TOKENS: u64 = 20_000;

fn waiting(workspace_key: WorkspaceKey, urgency: Urgency, cost: u64) -> WaitingRequest {
    let mut facts = request(workspace_key, cost);
    facts.urgency = urgency;
    WaitingRequest {
        facts,
        avoid: Vec::new(),
        cost,
        latest_start: at(3_600),
    }
}

/// Starts the best candidate and returns its workspace, urgency and cost.
fn serve(queue: &mut FairQueue) -> Option<(WorkspaceKey, Urgency, u64)> {
    let next = queue.candidates(LEAD_TOKENS).next()?.facts.request;
    let started = queue.start(next)?;
    let facts = started.facts;
    Some((facts.workspace, facts.urgency, started.cost))
}

quickcheck! {
    /// While several workspaces have requests waiting, the tokens served to each,
    /// divided by its weight, differ by at most the lead and one request,
    /// regardless of the urgency of the requests.
    ///
    /// The test fails if `candidates` gets ten times `LEAD_TOKENS`.
    fn serves_waiting_workspaces_by_weight(seeds: Vec<(u8, u8)>) -> TestResult {
        if seeds.is_empty() {
            return TestResult::discard();
        }
        let mut policy = EntryPolicy::new();
        let weights = [1_u32, 2, 4];
        let workspace_keys: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(n, weight)| policy.add_workspace(workspace(n, *weight)))
            .collect();
        let mut queue = FairQueue::new();
        let mut max_cost = 0;
        for round in 0..600 {
            for (n, workspace_key) in workspace_keys.iter().enumerate() {
                let (cost, class) = seeds[(round * 3 + n) % seeds.len()];
                let classes = [Urgency::Urgent, Urgency::Normal, Urgency::Background];
                // All requests of the first workspace are urgent.
                let class = if n == 0 { 0 } else { usize::from(class) % 3 };
                let cost = u64::from(cost) * 40 + 1;
                max_cost = max_cost.max(cost);
                queue.push(waiting(*workspace_key, classes[class], cost), weights[n]);
            }
        }
        let mut served = BTreeMap::new();
        for _ in 0..600 {
            let Some((workspace_key, _, cost)) = serve(&mut queue) else {
                break;
            };
            if workspace_keys.iter().any(|p| queue.workspace_tokens(*p) == 0) {
                break;
            }
            *served.entry(workspace_key).or_insert(0) += cost;
            let shares = workspace_keys.iter().zip(weights).map(|(workspace_key, weight)| {
                served.get(workspace_key).copied().unwrap_or(0) / u64::from(weight)
            });
            let shares: Vec<u64> = shares.collect();
            let spread = shares.iter().max().unwrap_or(&0) - shares.iter().min().unwrap_or(&0);
            if spread > LEAD_TOKENS + max_cost + 3 {
                return TestResult::error(format!("spread {spread} at {shares:?}"));
            }
        }
        TestResult::passed()
    }
}

/// Urgent requests of one workspace go before background requests of the same and
/// of other workspaces, but both kinds of background requests are served within
/// a bounded number of requests.
///
/// The test fails with strict priority by urgency, both within a workspace
/// (without `LOW_CLASS_INTERVAL`) and between workspaces (without a maximum
/// lead).
#[test]
fn urgent_goes_first_and_background_is_not_starved() {
    let mut policy = EntryPolicy::new();
    let urgent = policy.add_workspace(workspace(0, 1));
    let quiet = policy.add_workspace(workspace(1, 1));
    let mut queue = FairQueue::new();
    queue.push(waiting(quiet, Urgency::Background, 1_000), 1);
    queue.push(waiting(urgent, Urgency::Background, 1_000), 1);
    for _ in 0..100 {
        queue.push(waiting(urgent, Urgency::Urgent, 1_000), 1);
    }
    let order: Vec<_> = std::iter::from_fn(|| serve(&mut queue)).collect();
    assert!(
        order[..4]
            .iter()
            .all(|(_, class, _)| *class == Urgency::Urgent)
    );
    let position = |workspace_key| {
        order
            .iter()
            .position(|(p, class, _)| *p == workspace_key && *class == Urgency::Background)
    };
    let own = position(urgent).expect("it is served");
    let other = position(quiet).expect("it is served");
    assert!(
        own <= 8,
        "own background request served only after {own} others"
    );
    assert!(
        other <= 22,
        "other workspace's background request served only after {other} others"
    );
}
