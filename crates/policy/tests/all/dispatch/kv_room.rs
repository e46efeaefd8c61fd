//! Tests of the room in the KV caches of engines.

use crate::dispatch::support::{engine, key_of, prompt, table_of, view};
use lagoonlift_policy::dispatch::{
    DecodeChoice, EngineRole, FleetView, PeerLoads, Placement, PlacementLimits, PrefilledRequest,
    PromptFacts, PromptPlan, PromptRefusal, UpstreamTable,
};
use std::time::Duration;

const KV_CACHE_TOKENS: u64 = 317_000;
const LIMIT: Duration = Duration::from_secs(2);

/// Creates two prefill engines and one decode engine with `slots`.
fn fleet(slots: u32) -> UpstreamTable {
    let roles = [EngineRole::Prefill, EngineRole::Prefill, EngineRole::Decode];
    let records = roles.into_iter().enumerate().map(|(number, role)| {
        let mut record = engine(number, role);
        record.slots = slots;
        record
    });
    table_of(records.collect())
}

fn plan(table: &UpstreamTable, prompt: &PromptFacts) -> Result<PromptPlan, PromptRefusal> {
    let peers = PeerLoads::new();
    let view = FleetView {
        kv_cache_tokens: Some(KV_CACHE_TOKENS),
        ..view(table, &peers, &[], 0)
    };
    let placement = Placement::new(PlacementLimits::default(), "a");
    placement.plan_prompt(view, prompt, LIMIT, LIMIT)
}

/// Sends prompts until no engine takes one, and returns the number in flight on `engine`.
fn fill(
    table: &mut UpstreamTable,
    engine: usize,
    mut has_room: impl FnMut(&UpstreamTable) -> bool,
) -> u64 {
    let key = key_of(table, engine);
    let mut sent = 0;
    while sent < 1_000 && has_room(table) {
        table.get_mut(key).expect("upstream is listed").in_flight += 1;
        sent += 1;
    }
    sent
}

/// Engines with many slots crashed because their requests exceeded the KV cache.
#[test]
fn prompts_in_flight_stay_under_the_kv_cache() {
    let long = prompt(7, 2_890);
    let mut table = fleet(64);
    for engine in [0, 1] {
        let key = key_of(&table, engine);
        let sent = fill(&mut table, engine, |table| {
            matches!(plan(table, &long),
                Ok(PromptPlan::Disaggregated { prefill_engine, .. }) if prefill_engine == key)
        });
        assert!(
            sent * long.kv_tokens() <= KV_CACHE_TOKENS,
            "{sent} prefills"
        );
    }
    let decode_engine = key_of(&table, 2);
    let request = PrefilledRequest {
        prefill_engine: key_of(&table, 0),
        waited: Duration::from_secs(1),
        kv_tokens: long.kv_tokens(),
        is_retry: false,
    };
    let mut table = fleet(64);
    let sent = fill(&mut table, 2, |table| {
        let peers = PeerLoads::new();
        let view = FleetView {
            kv_cache_tokens: Some(KV_CACHE_TOKENS),
            ..view(table, &peers, &[], 0)
        };
        let placement = Placement::new(PlacementLimits::default(), "a");
        placement.place_decode(view, request) == DecodeChoice::Engine(decode_engine)
    });
    assert!(
        sent * long.kv_tokens() <= KV_CACHE_TOKENS,
        "{sent} in decode"
    );
    assert!(sent >= 20, "only {sent} in decode");
}

/// If the KV caches of all prefill engines are full, a prompt is refused at once.
#[test]
fn prompt_is_refused_while_all_kv_caches_are_full() {
    let mut table = fleet(64);
    for engine in [0, 1] {
        let key = key_of(&table, engine);
        table.get_mut(key).expect("upstream is listed").in_flight = 30;
    }
    let refusal = plan(&table, &prompt(7, 2_890));
    assert_eq!(refusal, Err(PromptRefusal::KvCachesFull));
}

/// A prompt that fits nowhere is refused at once; the largest one that fits isn't starved.
#[test]
fn only_prompts_longer_than_a_kv_cache_are_refused() {
    let table = fleet(6);
    let prompt_of = |tokens| PromptFacts {
        prompt_tokens: tokens,
        max_output_tokens: 0,
        ..prompt(7, 0)
    };
    assert!(plan(&table, &prompt_of(317_000)).is_ok());
    let refusal = plan(&table, &prompt_of(317_001));
    assert_eq!(refusal, Err(PromptRefusal::TooLong));
}
