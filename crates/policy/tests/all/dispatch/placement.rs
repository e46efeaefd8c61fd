//! Where prompts go under the loads of the two deployments.

use crate::dispatch::support::{at_ms, engine, key_of, prompt, table_of, view};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    EngineRole, FleetView, HostReport, InFlightLoad, ListChange, PeerLoads, Placement,
    PlacementLimits, PromptFacts, PromptPlan, PromptRefusal, UpstreamDigest, UpstreamId,
    UpstreamTable,
};
use std::time::Duration;

const GOAL: Duration = Duration::from_millis(150);
const LEFT: Duration = Duration::from_millis(2_000);

/// Six engines that only read and three that generate.
fn fleet() -> UpstreamTable {
    let roles = (0..9).map(|number| match number < 6 {
        true => engine(number, EngineRole::Prefill),
        false => engine(number, EngineRole::Decode),
    });
    table_of(roles.collect())
}

/// A placement that knows that an engine reads 310 tokens in a millisecond.
fn placement() -> Placement {
    let mut placement = Placement::new(PlacementLimits::default(), "a");
    for _ in 0..100 {
        placement.record_prefill(9_300, Duration::from_millis(30));
    }
    placement
}

fn choose(
    table: &UpstreamTable,
    peers: &PeerLoads,
    facts: &PromptFacts,
) -> Result<UpstreamKey, PromptRefusal> {
    let plan = placement().plan_prompt(view(table, peers, &[], 0), facts, GOAL, LEFT)?;
    match plan {
        PromptPlan::Disaggregated {
            prefill_engine: key,
            ..
        }
        | PromptPlan::SingleEngine(key) => Ok(key),
    }
}

fn load(table: &mut UpstreamTable, number: usize, tokens: u64) {
    let key = key_of(table, number);
    let upstream = table.get_mut(key).expect("the upstream is listed");
    upstream.prefill_tokens = tokens;
}

#[test]
fn session_returns_to_its_home() {
    let table = fleet();
    let peers = PeerLoads::new();
    for session in 0..50 {
        let first = choose(&table, &peers, &prompt(session, 2_890));
        let again = choose(&table, &peers, &prompt(session, 11_000));
        assert_eq!(first, again);
    }
}

/// Only sessions of the engine that went move.
#[test]
fn lost_engine_moves_only_its_own_sessions() {
    let all = fleet();
    let mut fewer = fleet();
    fewer.apply(at_ms(0), ListChange::Removed(UpstreamId("i-03".into())));
    let peers = PeerLoads::new();
    let id = |table: &UpstreamTable, session| {
        let key = choose(table, &peers, &prompt(session, 2_890)).expect("a home");
        table.get(key).expect("listed").record.id.clone()
    };
    for session in 0..200 {
        let before = id(&all, session);
        let after = id(&fewer, session);
        assert!(before == after || before.0 == "i-03");
    }
}

/// A burst on one session goes to other engines before its home is late.
#[test]
fn home_in_a_burst_is_passed_over() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let facts = prompt(7, 2_890);
    let home = choose(&table, &peers, &facts).expect("a home");
    table.get_mut(home).expect("listed").prefill_tokens = 60_000;
    assert_ne!(choose(&table, &peers, &facts), Ok(home));
}

/// What other hosts have in flight counts like the host's own.
#[test]
fn home_that_other_hosts_keep_busy_is_passed_over() {
    let table = fleet();
    let mut peers = PeerLoads::new();
    let facts = prompt(7, 2_890);
    let home = choose(&table, &peers, &facts).expect("a home");
    let digest = UpstreamDigest::new(&table.get(home).expect("listed").record.id);
    let busy = InFlightLoad {
        requests: 6,
        prefill_tokens: 60_000,
    };
    let report = HostReport {
        loads: vec![(digest, busy)],
        ..HostReport::default()
    };
    peers.record(at_ms(0), 1, 1, report);
    assert_ne!(choose(&table, &peers, &facts), Ok(home));
    // A host that has vanished has nothing in flight.
    peers.expire(at_ms(400));
    assert_eq!(choose(&table, &peers, &facts), Ok(home));
}

/// Twice the prompts that the fleet can read: what would be late is refused at
/// once, and the caller hears when the least busy engine is done.
#[test]
fn flood_of_long_prompts_is_refused_before_it_is_late() {
    let mut table = fleet();
    for number in 0..9 {
        load(&mut table, number, 62_000);
    }
    let refusal = choose(&table, &PeerLoads::new(), &prompt(7, 2_890));
    let Err(PromptRefusal::Busy(wait)) = refusal else {
        panic!("{refusal:?}");
    };
    assert!((190..=210).contains(&wait.as_millis()), "{wait:?}");
}

/// Readers are full: long prompts must not keep the engines that generate from
/// taking over the prompts that were read.
#[test]
fn flood_of_long_prompts_leaves_generators_alone() {
    let mut table = fleet();
    for number in 0..6 {
        load(&mut table, number, 62_000);
    }
    let refusal = choose(&table, &PeerLoads::new(), &prompt(7, 2_890));
    assert!(matches!(refusal, Err(PromptRefusal::Busy(_))));
}

/// All readers are gone: engines that generate read themselves.
#[test]
fn without_readers_prompts_are_read_by_generators() {
    let mut table = fleet();
    for number in 0..6 {
        let id = UpstreamId(format!("i-{number:02}"));
        table.apply(at_ms(0), ListChange::Removed(id));
    }
    let key = choose(&table, &PeerLoads::new(), &prompt(7, 2_890)).expect("a place");
    let role = table.get(key).expect("listed").record.role;
    assert_eq!(role, Some(EngineRole::Decode));
}

/// A prompt whose own reading takes longer than the goal may still wait a
/// little, or large ones would never be served.
#[test]
fn largest_prompts_are_not_starved() {
    let mut table = fleet();
    for number in 0..6 {
        load(&mut table, number, 12_000);
    }
    let largest = prompt(7, 39_600);
    assert!(choose(&table, &PeerLoads::new(), &largest).is_ok());
}

/// Short urgent prompts don't queue behind long ones.
#[test]
fn short_prompt_goes_to_an_engine_that_generates() {
    let mut table = fleet();
    for number in 0..6 {
        load(&mut table, number, 200_000);
    }
    let short = PromptFacts {
        prompt_tokens: 220,
        max_output_tokens: 90,
        blocks: Vec::new(),
    };
    let key = choose(&table, &PeerLoads::new(), &short).expect("a place");
    let role = table.get(key).expect("listed").record.role;
    assert_eq!(role, Some(EngineRole::Decode));
}

/// Memory moves within a data centre while that has room.
#[test]
fn generator_is_near_the_reader() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let reader = key_of(&table, 1);
    let near = placement().choose_decode_engine(view(&table, &peers, &[], 0), reader);
    assert_eq!(near, Some(key_of(&table, 7)));
    let full = table.get_mut(key_of(&table, 7)).expect("listed");
    full.in_flight = 40;
    let other = placement().choose_decode_engine(view(&table, &peers, &[], 0), reader);
    assert_ne!(other, near);
}

/// An engine that was ordered to change its role refuses prompts until it has:
/// neither is it read at nor is memory taken over there, while others can.
#[test]
fn engines_under_an_order_are_passed_over() {
    let table = fleet();
    let mut peers = PeerLoads::new();
    let digest_of = |number| {
        let key = key_of(&table, number);
        table.get(key).expect("listed").digest
    };
    let report = HostReport {
        changing_role: vec![digest_of(0), digest_of(8)],
        ..HostReport::default()
    };
    peers.record(at_ms(0), 1, 1, report);
    let changing: Vec<UpstreamKey> = table
        .iter()
        .filter(|(_, one)| peers.is_changing(one.digest))
        .map(|(key, _)| key)
        .collect();
    assert_eq!(changing.len(), 2);
    let view = FleetView {
        changing_role: &changing,
        ..view(&table, &peers, &[], 0)
    };
    for session in 0..200 {
        let plan = placement().plan_prompt(view, &prompt(session, 2_890), GOAL, LEFT);
        let Ok(PromptPlan::Disaggregated { prefill_engine, .. }) = plan else {
            panic!("{plan:?}");
        };
        assert!(!changing.contains(&prefill_engine));
        let generator = placement()
            .choose_decode_engine(view, prefill_engine)
            .expect("a generator");
        assert!(!changing.contains(&generator));
    }
}

/// A home in a burst is passed over, and the engine that reads in its place
/// copies the session's parts from it.
#[test]
fn parts_of_a_busy_home_are_copied() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let facts = prompt(7, 2_890);
    let home = choose(&table, &peers, &facts).expect("a home");
    let plan = |table: &UpstreamTable| {
        placement().plan_prompt(view(table, &peers, &[], 0), &facts, GOAL, LEFT)
    };
    let at_home = PromptPlan::Disaggregated {
        prefill_engine: home,
        copy_blocks_from: None,
    };
    assert_eq!(plan(&table), Ok(at_home));
    table.get_mut(home).expect("listed").prefill_tokens = 60_000;
    let Ok(PromptPlan::Disaggregated {
        prefill_engine,
        copy_blocks_from,
    }) = plan(&table)
    else {
        panic!("the prompt has no prefill engine");
    };
    assert_ne!(prefill_engine, home);
    assert_eq!(copy_blocks_from, Some(home));
}
