//! Fair queueing between workspaces and classes.

use crate::support::{at, request, workspace};
use lagoonlift_policy::{EntryPolicy, FairQueue, WaitingRequest, WorkspaceKey};
use lagoonlift_types::Urgency;
use quickcheck::{TestResult, quickcheck};
use std::collections::BTreeMap;

const LEAD_TOKENS: u64 = 20_000;

fn waiting(payer: WorkspaceKey, urgency: Urgency, cost: u64) -> WaitingRequest {
    let mut facts = request(payer, cost);
    facts.urgency = urgency;
    WaitingRequest {
        facts,
        avoid: Vec::new(),
        cost,
        latest_start: at(3_600),
    }
}

/// Starts the best candidate and returns its workspace and urgency.
fn serve(queue: &mut FairQueue) -> Option<(WorkspaceKey, Urgency, u64)> {
    let next = queue.candidates(LEAD_TOKENS).next()?.facts.request;
    let started = queue.start(next)?;
    let facts = started.facts;
    Some((facts.workspace, facts.urgency, started.cost))
}

quickcheck! {
    /// While several workspaces wait, what they were served, divided by their
    /// weights, differs by no more than the lead and one request, whatever
    /// urgency they claim.
    ///
    /// Seen failing with a lead of ten times `LEAD_TOKENS` in `candidates`.
    fn serves_waiting_workspaces_by_weight(seeds: Vec<(u8, u8)>) -> TestResult {
        if seeds.is_empty() {
            return TestResult::discard();
        }
        let mut policy = EntryPolicy::new();
        let weights = [1_u32, 2, 4];
        let payers: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(n, weight)| policy.add_workspace(workspace(n, *weight)))
            .collect();
        let mut queue = FairQueue::new();
        let mut most = 0;
        for round in 0..600 {
            for (n, payer) in payers.iter().enumerate() {
                let (cost, class) = seeds[(round * 3 + n) % seeds.len()];
                let classes = [Urgency::Urgent, Urgency::Normal, Urgency::Background];
                // The first workspace calls everything urgent.
                let class = if n == 0 { 0 } else { usize::from(class) % 3 };
                let cost = u64::from(cost) * 40 + 1;
                most = most.max(cost);
                queue.push(waiting(*payer, classes[class], cost), weights[n]);
            }
        }
        let mut served = BTreeMap::new();
        for _ in 0..600 {
            let Some((payer, _, cost)) = serve(&mut queue) else {
                break;
            };
            if payers.iter().any(|p| queue.workspace_tokens(*p) == 0) {
                break;
            }
            *served.entry(payer).or_insert(0) += cost;
            let shares = payers.iter().zip(weights).map(|(payer, weight)| {
                served.get(payer).copied().unwrap_or(0) / u64::from(weight)
            });
            let shares: Vec<u64> = shares.collect();
            let spread = shares.iter().max().unwrap_or(&0) - shares.iter().min().unwrap_or(&0);
            if spread > LEAD_TOKENS + most + 3 {
                return TestResult::error(format!("spread {spread} at {shares:?}"));
            }
        }
        TestResult::passed()
    }
}

/// Urgent work of one workspace goes before its own and others' background
/// work, yet within bounded turns both kinds of background work are served.
///
/// Seen failing with strict urgency, both within a workspace (no low-class
/// turn) and between them (no lead).
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
    let position = |payer| {
        order
            .iter()
            .position(|(p, class, _)| *p == payer && *class == Urgency::Background)
    };
    let own = position(urgent).expect("it is served");
    let other = position(quiet).expect("it is served");
    assert!(own <= 8, "own background work after {own} turns");
    assert!(other <= 22, "others' background work after {other} turns");
}
