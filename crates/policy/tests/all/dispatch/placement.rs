//! Tests of prompt placement under normal load, bursts and overload. The loads are
//! those of the project's two deployments.

use crate::dispatch::support::{at_ms, engine, key_of, prompt, table_of, view};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    EngineRole, FleetView, HostReport, InFlightLoad, ListChange, PeerLoads, Placement,
    PlacementLimits, PromptFacts, PromptPlan, PromptRefusal, UpstreamDigest, UpstreamId,
    UpstreamTable,
};
use std::time::Duration;

const GOAL: Duration = Duration::from_millis(150);
const TIME_LEFT: Duration = Duration::from_millis(2_000);

/// Creates a fleet of six prefill engines and three decode engines.
fn fleet() -> UpstreamTable {
    let roles = (0..9).map(|number| match number < 6 {
        true => engine(number, EngineRole::Prefill),
        false => engine(number, EngineRole::Decode),
    });
    table_of(roles.collect())
}

/// Creates a placement with an estimated prefill rate of 310 tokens per millisecond.
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
    let plan = placement().plan_prompt(view(table, peers, &[], 0), facts, GOAL, TIME_LEFT)?;
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
    let upstream = table.get_mut(key).expect("upstream is listed");
    upstream.prefill_tokens = tokens;
}

#[test]
fn session_stays_on_its_preferred_engine() {
    let table = fleet();
    let peers = PeerLoads::new();
    for session in 0..50 {
        let first = choose(&table, &peers, &prompt(session, 2_890));
        let again = choose(&table, &peers, &prompt(session, 11_000));
        assert_eq!(first, again);
    }
}

/// After the loss of an engine, only the sessions of that engine move.
#[test]
fn lost_engine_moves_only_its_own_sessions() {
    let all = fleet();
    let mut fewer = fleet();
    fewer.apply(at_ms(0), ListChange::Removed(UpstreamId("i-03".into())));
    let peers = PeerLoads::new();
    let id = |table: &UpstreamTable, session| {
        let key = choose(table, &peers, &prompt(session, 2_890)).expect("prompt has an engine");
        table
            .get(key)
            .expect("upstream is listed")
            .record
            .id
            .clone()
    };
    for session in 0..200 {
        let before = id(&all, session);
        let after = id(&fewer, session);
        assert!(before == after || before.0 == "i-03");
    }
}

/// In a burst of one session, prompts go to other engines before the backlog of the
/// preferred engine makes them late.
#[test]
fn preferred_engine_in_a_burst_is_skipped() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let facts = prompt(7, 2_890);
    let preferred = choose(&table, &peers, &facts).expect("prompt has an engine");
    table
        .get_mut(preferred)
        .expect("upstream is listed")
        .prefill_tokens = 60_000;
    assert_ne!(choose(&table, &peers, &facts), Ok(preferred));
}

/// The in-flight load of other hosts counts like the host's own.
#[test]
fn preferred_engine_that_other_hosts_keep_busy_is_skipped() {
    let table = fleet();
    let mut peers = PeerLoads::new();
    let facts = prompt(7, 2_890);
    let preferred = choose(&table, &peers, &facts).expect("prompt has an engine");
    let digest = UpstreamDigest::new(&table.get(preferred).expect("upstream is listed").record.id);
    let busy = InFlightLoad {
        requests: 6,
        prefill_tokens: 60_000,
    };
    let report = HostReport {
        loads: vec![(digest, busy)],
        ..HostReport::default()
    };
    peers.record(at_ms(0), 1, 1, report);
    assert_ne!(choose(&table, &peers, &facts), Ok(preferred));
    // The report of a silent host expires, and with it the load.
    peers.expire(at_ms(400));
    assert_eq!(choose(&table, &peers, &facts), Ok(preferred));
}

/// Twice as many prompts arrive as the fleet can prefill. Prompts that would be late
/// are refused at once, with the time that the least loaded engine needs for its
/// backlog.
#[test]
fn flood_of_long_prompts_is_refused_before_it_is_late() {
    let mut table = fleet();
    for number in 0..9 {
        load(&mut table, number, 62_000);
    }
    let refusal = choose(&table, &PeerLoads::new(), &prompt(7, 2_890));
    let Err(PromptRefusal::Overload(wait)) = refusal else {
        panic!("{refusal:?}");
    };
    assert!((190..=210).contains(&wait.as_millis()), "{wait:?}");
}

/// All prefill engines are overloaded. Long prompts must not be sent to the decode
/// engines, which have to take over the prompts whose prefill is complete.
#[test]
fn flood_of_long_prompts_does_not_reach_decode_engines() {
    let mut table = fleet();
    for number in 0..6 {
        load(&mut table, number, 62_000);
    }
    let refusal = choose(&table, &PeerLoads::new(), &prompt(7, 2_890));
    assert!(matches!(refusal, Err(PromptRefusal::Overload(_))));
}

/// All prefill engines are lost. Decode engines run the prefills themselves.
#[test]
fn without_prefill_engines_decode_engines_run_prefills() {
    let mut table = fleet();
    for number in 0..6 {
        let id = UpstreamId(format!("i-{number:02}"));
        table.apply(at_ms(0), ListChange::Removed(id));
    }
    let key = choose(&table, &PeerLoads::new(), &prompt(7, 2_890)).expect("prompt has an engine");
    let role = table.get(key).expect("upstream is listed").record.role;
    assert_eq!(role, Some(EngineRole::Decode));
}

/// A prompt whose own prefill takes longer than the latency goal may still wait for
/// a short time. Otherwise the largest prompts would never be served.
#[test]
fn largest_prompts_are_not_starved() {
    let mut table = fleet();
    for number in 0..6 {
        load(&mut table, number, 12_000);
    }
    let largest = prompt(7, 39_600);
    assert!(choose(&table, &PeerLoads::new(), &largest).is_ok());
}

/// Short urgent prompts do not queue behind long ones.
#[test]
fn short_prompt_goes_to_a_decode_engine() {
    let mut table = fleet();
    for number in 0..6 {
        load(&mut table, number, 200_000);
    }
    let short = PromptFacts {
        prompt_tokens: 220,
        max_output_tokens: 90,
        blocks: Vec::new(),
    };
    let key = choose(&table, &PeerLoads::new(), &short).expect("prompt has an engine");
    let role = table.get(key).expect("upstream is listed").record.role;
    assert_eq!(role, Some(EngineRole::Decode));
}

/// The KV cache is transferred within a data centre while a decode engine there has
/// capacity.
#[test]
fn decode_engine_is_near_the_prefill_engine() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let prefill_engine = key_of(&table, 1);
    let same_data_centre =
        placement().choose_decode_engine(view(&table, &peers, &[], 0), prefill_engine);
    assert_eq!(same_data_centre, Some(key_of(&table, 7)));
    let loaded = table
        .get_mut(key_of(&table, 7))
        .expect("upstream is listed");
    loaded.in_flight = 40;
    let other = placement().choose_decode_engine(view(&table, &peers, &[], 0), prefill_engine);
    assert_ne!(other, same_data_centre);
}

/// An engine that was ordered to change its role refuses prompts until the change is
/// complete. It is never chosen for prefill, and for decode only if no other engine is
/// usable.
#[test]
fn engines_that_change_their_role_are_skipped() {
    let table = fleet();
    let mut peers = PeerLoads::new();
    let digest_of = |number| {
        let key = key_of(&table, number);
        table.get(key).expect("upstream is listed").digest
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
        let plan = placement().plan_prompt(view, &prompt(session, 2_890), GOAL, TIME_LEFT);
        let Ok(PromptPlan::Disaggregated { prefill_engine, .. }) = plan else {
            panic!("{plan:?}");
        };
        assert!(!changing.contains(&prefill_engine));
        let decode_engine = placement()
            .choose_decode_engine(view, prefill_engine)
            .expect("there is a decode engine");
        assert!(!changing.contains(&decode_engine));
    }
}

/// When the preferred engine of a session is skipped in a burst, the engine that runs
/// the prefill copies the session's prefix blocks from it.
#[test]
fn prefix_blocks_of_a_busy_preferred_engine_are_copied() {
    let mut table = fleet();
    let peers = PeerLoads::new();
    let facts = prompt(7, 2_890);
    let preferred = choose(&table, &peers, &facts).expect("prompt has an engine");
    let plan = |table: &UpstreamTable| {
        placement().plan_prompt(view(table, &peers, &[], 0), &facts, GOAL, TIME_LEFT)
    };
    let on_preferred = PromptPlan::Disaggregated {
        prefill_engine: preferred,
        copy_blocks_from: None,
    };
    assert_eq!(plan(&table), Ok(on_preferred));
    table
        .get_mut(preferred)
        .expect("upstream is listed")
        .prefill_tokens = 60_000;
    let Ok(PromptPlan::Disaggregated {
        prefill_engine,
        copy_blocks_from,
    }) = plan(&table)
    else {
        panic!("the prompt has no prefill engine");
    };
    assert_ne!(prefill_engine, preferred);
    assert_eq!(copy_blocks_from, Some(preferred));
}

/// Traffic starts with a burst of prompts of 17,000 tokens on engines that have nothing
/// of them in their KV caches and read 50 tokens in a millisecond. A prompt that is third
/// in the queue of its engine is done after a second. No host knows the prefill rate yet,
/// and none may give up on a prefill before that.
#[test]
fn cold_burst_of_long_prompts_is_awaited() {
    let mut placement = Placement::new(PlacementLimits::default(), "a");
    let time_left = Duration::from_secs(8);
    let third_in_queue = Duration::from_millis(3 * 17_000 / 50);
    assert!(placement.prefill_limit(3 * 17_000, time_left) > third_in_queue);
    for _ in 0..40 {
        placement.record_prefill(17_000, Duration::from_millis(17_000 / 50));
    }
    let limit = placement.prefill_limit(17_000, time_left);
    assert!(limit > Duration::from_millis(17_000 / 50));
    assert!(limit < Duration::from_millis(1_500), "{limit:?}");
}
