//! A steward plans engine roles from the engines' load reports.

use crate::support::{publish, settings, start_platform, start_steward, wait_until};
use lagoonlift_settings::{PlanWeighting, Settings};
use lagoonlift_standins::engine::{EngineChange, EngineConfig, EngineStandin};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_types::{
    DataCentreCapacity, FencingSupport, ModelName, Supply, Upstream, UpstreamKind, UpstreamName,
    UpstreamRole,
};
use std::collections::{BTreeMap, BTreeSet};

/// Number of prefill engines; the others are decode engines.
const PREFILL_ENGINES: usize = 2;
const ENGINE_COUNT: usize = 8;
/// More than two prefill engines can process in a minute.
const BACKLOG_TOKENS: u64 = 5_000_000;

fn models() -> BTreeSet<ModelName> {
    BTreeSet::from([ModelName::new("large").expect("a valid name")])
}

fn role_of(index: usize) -> UpstreamRole {
    match index {
        _ if index < PREFILL_ENGINES => UpstreamRole::Prefill,
        _ => UpstreamRole::Decode,
    }
}

fn start_engines(platform: &PlatformStandin) -> Vec<EngineStandin> {
    let mut engines = Vec::new();
    let mut upstreams = BTreeMap::new();
    for index in 0..ENGINE_COUNT {
        let mut config = EngineConfig::new(models());
        config.role = role_of(index);
        let listen = "127.0.0.1:0".parse().expect("an address");
        let engine = EngineStandin::start(listen, config).expect("a free port");
        let upstream = Upstream {
            address: engine.addr(),
            kind: UpstreamKind::Engine {
                models: models(),
                role: role_of(index),
                fencing: FencingSupport::Checked,
            },
            supply: Supply::Reserved,
        };
        let name = UpstreamName::new(&format!("e{index}")).expect("a valid name");
        upstreams.insert(name, upstream);
        engines.push(engine);
    }
    let capacity = DataCentreCapacity {
        upstreams,
        order_limit: 0,
    };
    publish(platform, 1, capacity);
    engines
}

fn planning_settings(platform: &PlatformStandin) -> Settings {
    let mut settings = settings("h1", platform.addr(), &[]);
    let steward = settings.steward.as_mut().expect("a section [steward]");
    steward.plan_weighting = Some(PlanWeighting::Goodput);
    settings
}

fn changes(engines: &[EngineStandin]) -> Vec<EngineChange> {
    let orders = engines.iter().flat_map(EngineStandin::accepted_orders);
    orders.map(|order| order.change).collect()
}

/// The prefill engines have a backlog and the decode engines are idle, so one of
/// the latter is ordered to prefill.
///
/// Fails if the engines' load reports don't reach the policy.
#[tokio::test]
async fn a_backlog_of_prompts_turns_a_generating_engine() {
    let platform = start_platform().await;
    let engines = start_engines(&platform);
    for engine in &engines[..PREFILL_ENGINES] {
        engine.add_reported_backlog(BACKLOG_TOKENS);
    }
    let _steward = start_steward(&planning_settings(&platform)).await;
    wait_until(|| !changes(&engines).is_empty()).await;
    let first = changes(&engines).remove(0);
    assert_eq!(first, EngineChange::ChangeRole(UpstreamRole::Prefill));
}

/// The decode engines don't report their load, so no change is planned.
///
/// Fails if engines without a report count as serving and idle.
#[tokio::test]
async fn without_fresh_reports_nothing_changes() {
    let platform = start_platform().await;
    let mut engines = start_engines(&platform);
    for engine in &engines[..PREFILL_ENGINES] {
        engine.add_reported_backlog(BACKLOG_TOKENS);
    }
    for engine in &mut engines[PREFILL_ENGINES..] {
        engine.crash();
    }
    let steward = start_steward(&planning_settings(&platform)).await;
    wait_until(|| steward.authority().epoch().is_some()).await;
    // The fleet list is read once a second, like the planner runs.
    let initial_lists = platform.calls().fleet_lists;
    wait_until(|| platform.calls().fleet_lists > initial_lists + 6).await;
    assert_eq!(platform.objects("engine-requests/"), []);
}
