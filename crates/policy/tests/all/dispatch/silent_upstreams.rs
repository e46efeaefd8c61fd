//! Tests of requests that can't be sent twice while an engine leaves others unanswered.

use crate::dispatch::support::{at_ms, engine, key_of, prompt, table_of, view};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    EngineRole, FleetView, HostReport, PeerLoads, Placement, PlacementLimits, PromptFacts,
    PromptPlan, UpstreamDigest, UpstreamTable,
};
use std::time::Duration;

fn fleet() -> UpstreamTable {
    let engines = (0..3).map(|number| engine(number, EngineRole::Decode));
    table_of(engines.collect())
}

fn short_prompt(session: u64) -> PromptFacts {
    PromptFacts {
        prompt_tokens: 220,
        ..prompt(session, 141)
    }
}

/// Returns how many of 300 short prompts go to an engine.
fn prompts_on(table: &UpstreamTable, peers: &PeerLoads, number: usize, once: bool) -> usize {
    let placement = Placement::new(PlacementLimits::default(), "a");
    let plan = |session| {
        let view = FleetView {
            is_only_attempt: once,
            ..view(table, peers, &[], 500)
        };
        let limit = Duration::from_secs(2);
        placement.plan_prompt(view, &short_prompt(session), limit, limit)
    };
    let engine = Ok(PromptPlan::SingleEngine(key_of(table, number)));
    (0..300).filter(|session| plan(*session) == engine).count()
}

fn digest_of(table: &UpstreamTable, key: UpstreamKey) -> UpstreamDigest {
    table.get(key).expect("upstream is listed").digest
}

/// Makes an engine answer once after 20 ms and leave `requests` unanswered from then on.
fn keep_waiting(table: &mut UpstreamTable, number: usize, requests: usize) {
    let key = key_of(table, number);
    let engine = table.get_mut(key).expect("upstream is listed");
    engine.record_response(Duration::from_millis(20));
    (0..requests).for_each(|_| engine.record_send(at_ms(100)));
}

/// Prompts that could not be sent twice went to a silent engine until their callers left.
#[test]
fn silent_engine_gets_no_prompt_that_cannot_be_sent_twice() {
    let mut table = fleet();
    keep_waiting(&mut table, 1, 2);
    let peers = PeerLoads::new();
    assert_eq!(prompts_on(&table, &peers, 1, true), 0);
    // Others are placed as before, and show when the engine answers again.
    let all = prompts_on(&fleet(), &peers, 1, false);
    assert_eq!(prompts_on(&table, &peers, 1, false), all);
    let key = key_of(&table, 1);
    table
        .get_mut(key)
        .expect("listed")
        .record_answer(at_ms(450));
    assert_eq!(prompts_on(&table, &peers, 1, true), all);
}

/// A host sends too little to each engine to notice its silence alone.
#[test]
fn hosts_notice_a_silent_engine_together() {
    let mut table = fleet();
    keep_waiting(&mut table, 1, 1);
    let mut peers = PeerLoads::new();
    assert!(prompts_on(&table, &peers, 1, true) > 0);
    let digest = digest_of(&table, key_of(&table, 1));
    let report = HostReport {
        silent: vec![digest],
        ..HostReport::default()
    };
    peers.record(at_ms(400), 7, 1, report);
    assert_eq!(prompts_on(&table, &peers, 1, true), 0);
    peers.record(at_ms(450), 7, 2, HostReport::default());
    assert!(prompts_on(&table, &peers, 1, true) > 0);
}

/// The silence of an engine must not be forgotten as soon as the callers have left that
/// waited for it, but it is in the end: nothing else may be sent there.
#[test]
fn silence_outlasts_the_requests_that_were_given_up() {
    let mut table = fleet();
    keep_waiting(&mut table, 1, 2);
    let key = key_of(&table, 1);
    let peers = PeerLoads::new();
    let engine = table.get_mut(key).expect("upstream is listed");
    (0..2).for_each(|_| engine.record_unanswered(at_ms(2_100)));
    assert_eq!(engine.silent_requests(at_ms(3_000)), 1);
    assert_eq!(engine.silent_requests(at_ms(4_200)), 0);
    assert!(!engine.is_silent(at_ms(4_200), &peers));
}

/// If all engines are silent, a prompt is placed as before, and not refused.
#[test]
fn prompts_are_placed_if_all_engines_are_silent() {
    let mut table = fleet();
    (0..3).for_each(|number| keep_waiting(&mut table, number, 2));
    let peers = PeerLoads::new();
    let placed = (0..3).map(|number| prompts_on(&table, &peers, number, true));
    assert_eq!(placed.sum::<usize>(), 300);
}
