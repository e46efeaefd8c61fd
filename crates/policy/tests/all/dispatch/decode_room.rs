//! Tests of the choice of a decode engine while the decode engines are nearly full.

use crate::dispatch::support::{at_ms, engine, key_of, prompt, table_of, view};
use lagoonlift_policy::dispatch::{
    DecodeChoice, EngineRole, FleetView, PeerLoads, Placement, PlacementLimits, PrefilledRequest,
    PromptPlan, PromptRefusal, UpstreamTable,
};
use std::time::Duration;

const GOAL: Duration = Duration::from_millis(150);
const TIME_LEFT: Duration = Duration::from_secs(2);
const SLOTS: u32 = 6;

/// Half of the wait of 30 requests for 18 slots, by the estimate of [`placement`].
const WAITED: Duration = Duration::from_micros(14_444);

/// Creates three prefill and three decode engines, each of which has 6 slots.
fn fleet() -> UpstreamTable {
    let records = (0..6).map(|number| {
        let role = match number < 3 {
            true => EngineRole::Prefill,
            false => EngineRole::Decode,
        };
        let mut record = engine(number, role);
        record.slots = SLOTS;
        record
    });
    table_of(records.collect())
}

/// Creates a placement with an estimated time of 40 ms to the first event.
fn placement() -> Placement {
    let mut placement = Placement::new(PlacementLimits::default(), "a");
    for _ in 0..100 {
        placement.record_decode(2 * SLOTS, SLOTS, Duration::from_millis(80));
    }
    placement
}

fn set_in_flight(table: &mut UpstreamTable, number: usize, requests: u32) {
    let key = key_of(table, number);
    table.get_mut(key).expect("upstream is listed").in_flight = requests;
}

fn place(table: &UpstreamTable, ms: u64, tie_breaker: f64, is_retry: bool) -> DecodeChoice {
    let peers = PeerLoads::new();
    let view = FleetView {
        tie_breaker,
        ..view(table, &peers, &[], ms)
    };
    let request = PrefilledRequest {
        prefill_engine: key_of(table, 0),
        waited: WAITED,
        kv_tokens: 9_192,
        is_retry,
    };
    placement().place_decode(view, request)
}

/// A decode engine that refuses because it is full must not be avoided: if all were, hosts
/// would refuse requests while slots become free.
#[test]
fn full_decode_engine_is_not_avoided() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    for number in 3..6 {
        set_in_flight(&mut table, number, SLOTS);
        let key = key_of(&table, number);
        let engine = table.get_mut(key).expect("upstream is listed");
        (0..5).for_each(|_| engine.record_refusal(at_ms(0), &peers));
        assert!(engine.is_usable(at_ms(0)));
    }
    assert_eq!(place(&table, 10, 0.0, false), DecodeChoice::Full);
    assert_ne!(place(&table, 100, 0.0, false), DecodeChoice::Full);
}

/// An engine that refuses requests while it appears idle may be changing its role. It is
/// avoided as before.
#[test]
fn idle_decode_engine_that_refuses_is_avoided() {
    let mut table = fleet();
    let key = key_of(&table, 3);
    let engine = table.get_mut(key).expect("upstream is listed");
    let peers = PeerLoads::new();
    (0..2).for_each(|_| engine.record_refusal(at_ms(0), &peers));
    assert!(!engine.is_usable(at_ms(0)));
}

/// While the decode engines are full, the request waits and isn't told that there is none.
#[test]
fn request_waits_for_full_decode_engines() {
    let mut table = fleet();
    (3..6).for_each(|number| set_in_flight(&mut table, number, 2 * SLOTS));
    assert_eq!(place(&table, 0, 0.0, false), DecodeChoice::Full);
    set_in_flight(&mut table, 4, SLOTS);
    let free = DecodeChoice::Engine(key_of(&table, 4));
    assert_eq!(place(&table, 0, 0.0, false), free);
    // A send that would cost a retry needs a free slot.
    assert_eq!(place(&table, 0, 0.0, true), DecodeChoice::Full);
}

/// Many requests wait for few places. If all were sent, most would be refused.
#[test]
fn few_places_are_shared_by_the_waiting_requests() {
    let mut table = fleet();
    (3..6).for_each(|number| set_in_flight(&mut table, number, 2 * SLOTS - 1));
    set_in_flight(&mut table, 0, 30);
    let draws = (0..1_000).map(|draw| place(&table, 0, f64::from(draw) / 1_000.0, false));
    let sent = draws
        .filter(|choice| matches!(choice, DecodeChoice::Engine(_)))
        .count();
    assert!((95..=105).contains(&sent), "{sent} of 1000 were sent");
}

/// A prompt that no decode engine can take in time must not be prefilled: the KV cache
/// would be dropped.
#[test]
fn prompt_without_decode_room_is_not_prefilled() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let plan = |table: &UpstreamTable| {
        let view = view(table, &peers, &[], 0);
        placement().plan_prompt(view, &prompt(7, 2_890), GOAL, TIME_LEFT)
    };
    let is_prefilled = |plan| matches!(plan, Ok(PromptPlan::Disaggregated { .. }));
    (3..6).for_each(|number| set_in_flight(&mut table, number, 2 * SLOTS));
    set_in_flight(&mut table, 0, 10);
    assert!(is_prefilled(plan(&table)));
    // 40 requests wait beside the 36 at the decode engines: 59 turns of 40 ms on 18 slots.
    set_in_flight(&mut table, 0, 40);
    let refusal = plan(&table);
    let Err(PromptRefusal::Overload(wait)) = refusal else {
        panic!("{refusal:?}");
    };
    assert_eq!(wait.as_millis(), 131);
    // A refusal while there are places for all is a fault.
    (3..6).for_each(|number| set_in_flight(&mut table, number, 0));
    set_in_flight(&mut table, 0, 36);
    assert!(is_prefilled(plan(&table)));
}

/// Prompts that are still in prefill take no place yet: a prefilled request must not wait for
/// them beside an idle decode engine.
#[test]
fn prefilled_request_does_not_wait_for_prefills() {
    let mut table = fleet();
    set_in_flight(&mut table, 0, 100);
    let key = key_of(&table, 0);
    let engine = table.get_mut(key).expect("upstream is listed");
    engine.prefill_tokens = 99 * 9_192;
    let choice = place(&table, 0, 0.99, false);
    assert!(matches!(choice, DecodeChoice::Engine(_)), "{choice:?}");
}
