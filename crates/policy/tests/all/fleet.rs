//! Tests of the fleet policy: roles, models and purchases.

use crate::support::{SECOND, at, data_centre, demand, engine, model};
use lagoonlift_policy::{
    EngineFacts, EngineState, FleetAction, FleetEvent, FleetLimits, FleetPolicy, FleetWeighting,
    OrderEnd, Timestamp, UpstreamKey,
};
use lagoonlift_types::UpstreamRole;
use quickcheck::quickcheck;
use std::collections::BTreeSet;

fn limits() -> FleetLimits {
    FleetLimits::new(FleetWeighting::Goodput)
}

/// Three stewards, one per data centre, and the engines of all data centres.
struct Fleet {
    stewards: Vec<(FleetPolicy, Vec<UpstreamKey>)>,
    engines: Vec<EngineFacts>,
    changing: Vec<(usize, UpstreamRole, u64)>,
    /// Duration of a role change in seconds.
    change_time: u64,
    changes: usize,
    max_changing: usize,
    purchases: u32,
}

impl Fleet {
    fn new(limits: FleetLimits, roles: &[UpstreamRole]) -> Self {
        let engines = roles.iter().enumerate().map(|(n, role)| engine(n, *role));
        let engines: Vec<EngineFacts> = engines.collect();
        let stewards = (0..3).map(|n| {
            let mut policy = FleetPolicy::new(data_centre(n), limits);
            let keys = engines.iter().map(|facts| policy.add_engine(facts.clone()));
            let keys = keys.collect();
            (policy, keys)
        });
        Self {
            stewards: stewards.collect(),
            engines,
            changing: Vec::new(),
            change_time: 4,
            changes: 0,
            max_changing: 0,
            purchases: 0,
        }
    }

    fn count(&self, role: UpstreamRole) -> usize {
        let serving = self
            .engines
            .iter()
            .filter(|engine| engine.state == EngineState::Serving && engine.role == role);
        serving.count()
    }

    /// Advances the time to `second`. All stewards receive `work`, the demand in
    /// engines for prefill and decode, or no demand report if it is `None`.
    fn advance_to(&mut self, second: u64, work: Option<(f64, f64)>) {
        let now = at(second);
        self.finish_changes(second);
        for index in 0..self.stewards.len() {
            let (policy, keys) = &mut self.stewards[index];
            for (key, facts) in keys.iter().zip(&self.engines) {
                policy.update_engine(*key, facts.clone());
            }
            let mut actions = Vec::new();
            if let Some((prefill, decode)) = work {
                let event = FleetEvent::DemandReported {
                    measured_at: now,
                    report: demand("m", prefill, decode),
                };
                policy.handle(now, event, &mut actions);
            }
            policy.handle(now, FleetEvent::Tick, &mut actions);
            self.carry_out(index, second, &actions);
        }
    }

    fn finish_changes(&mut self, second: u64) {
        let (done, open) = self
            .changing
            .drain(..)
            .partition(|(_, _, since)| second >= since + self.change_time);
        self.changing = open;
        for (engine, role, _) in done {
            self.engines[engine].role = role;
            self.engines[engine].state = EngineState::Serving;
            for (policy, keys) in &mut self.stewards {
                let event = FleetEvent::OrderFinished {
                    engine: keys[engine],
                    end: OrderEnd::Done,
                };
                policy.handle(at(second), event, &mut Vec::new());
            }
        }
    }

    fn carry_out(&mut self, steward: usize, second: u64, actions: &[FleetAction]) {
        for action in actions {
            match action {
                FleetAction::ChangeRole { engine, role } => {
                    let keys = &self.stewards[steward].1;
                    let index = keys.iter().position(|key| key == engine);
                    let index = index.expect("orders are sent only to known engines");
                    let facts = &mut self.engines[index];
                    assert_eq!(
                        facts.data_centre,
                        data_centre(steward),
                        "orders are sent only to own engines"
                    );
                    assert_eq!(
                        facts.state,
                        EngineState::Serving,
                        "an engine gets one order at a time"
                    );
                    facts.state = EngineState::Changing;
                    self.changing.push((index, *role, second));
                    self.changes += 1;
                }
                FleetAction::OrderUpstreams { count, .. } => self.purchases += count,
                FleetAction::LoadModel { .. } | FleetAction::ReleaseUpstream { .. } => {
                    panic!("no engine can load a model or be released");
                }
            }
        }
        self.max_changing = self.max_changing.max(self.changing.len());
    }
}

fn balanced_roles() -> Vec<UpstreamRole> {
    let roles = [UpstreamRole::Prefill, UpstreamRole::Decode];
    (0..12).map(|n| roles[n / 3 % 2]).collect()
}

quickcheck! {
    /// For any demand, with any reports missing, each role keeps a serving engine,
    /// no more engines are changing than permitted, and only own engines get
    /// orders, one at a time.
    ///
    /// The test fails without the check of the number of changing engines.
    fn keeps_an_engine_in_each_role(demands: Vec<Option<(u8, u8)>>) -> bool {
        let mut fleet = Fleet::new(limits(), &balanced_roles());
        for (second, work) in demands.iter().cycle().take(300).enumerate() {
            let work = work.map(|(p, d)| (f64::from(p) / 12.0, f64::from(d) / 12.0));
            fleet.advance_to(second as u64 + 1, work);
            assert!(fleet.count(UpstreamRole::Prefill) >= 1);
            assert!(fleet.count(UpstreamRole::Decode) >= 1);
            assert!(fleet.max_changing <= 2, "{} engines changing", fleet.max_changing);
        }
        true
    }
}

/// Demand for prefill alone still leaves one decode engine.
///
/// The test fails with `counts.decode > 0` instead of `> 1` in
/// `best_role_change`.
#[test]
fn keeps_the_last_engine_of_a_role() {
    let mut fleet = Fleet::new(limits(), &balanced_roles());
    for second in 1..=400 {
        fleet.advance_to(second, Some((30.0, 0.0)));
    }
    assert_eq!(fleet.count(UpstreamRole::Decode), 1);
}

/// After a lasting shift in demand, roles change to match it and then stay.
#[test]
fn follows_a_lasting_shift_and_then_stays() {
    let mut fleet = Fleet::new(limits(), &balanced_roles());
    for second in 1..=60 {
        fleet.advance_to(second, Some((1.5, 8.5)));
    }
    assert!(fleet.count(UpstreamRole::Decode) >= 9);
    let changes = fleet.changes;
    for second in 61..=300 {
        fleet.advance_to(second, Some((1.5, 8.5)));
    }
    assert!(fleet.changes <= changes + 1, "{} changes", fleet.changes);
}

/// Changing engines count in their new role, so that the policy doesn't respond
/// to the same need twice while a slow change is carried out.
///
/// The test fails if only serving engines are counted.
#[test]
fn counts_changing_engines_in_their_new_role() {
    let limits = FleetLimits {
        engines_per_concurrent_change: 3,
        ..limits()
    };
    let mut fleet = Fleet::new(limits, &balanced_roles());
    fleet.change_time = 30;
    for second in 1..=300 {
        fleet.advance_to(second, Some((1.0, 6.4)));
    }
    assert!(fleet.changes > 0);
    assert!(fleet.changes <= 2, "{} changes", fleet.changes);
}

/// A mix that oscillates causes no more role changes than the budget permits.
///
/// The test fails without the budget.
#[test]
fn spends_changes_from_a_budget() {
    let limits = FleetLimits::new(FleetWeighting::WorstServed);
    let mut fleet = Fleet::new(limits, &balanced_roles());
    for second in 1..=600 {
        let work = [(1.5, 8.5), (8.5, 1.5)][second as usize / 50 % 2];
        fleet.advance_to(second, Some(work));
    }
    // The budget permits a burst of 4 changes, and 600 s at one refill per 60 s
    // add 10.
    assert!(fleet.changes >= 4);
    assert!(fleet.changes <= 4 + 10, "{} changes", fleet.changes);
}

/// Small oscillations of the mix don't use up the budget, so that a following
/// large shift still finds changes left.
///
/// The test fails with a `spent_change_surcharge` of 0.
#[test]
fn small_swings_leave_changes_for_a_large_shift() {
    let limits = FleetLimits::new(FleetWeighting::WorstServed);
    let mut fleet = Fleet::new(limits, &balanced_roles());
    for second in 1..=150 {
        let work = [(6.6, 3.2), (3.2, 6.6)][second as usize / 25 % 2];
        fleet.advance_to(second, Some(work));
    }
    let decode_engines = fleet.count(UpstreamRole::Decode);
    for second in 151..=190 {
        fleet.advance_to(second, Some((1.5, 9.5)));
    }
    let moved = fleet.count(UpstreamRole::Decode) - decode_engines;
    assert!(moved >= 2, "{moved} engines changed to decode");
}

/// Without recent reports the policy changes and orders nothing.
///
/// The test fails if the age of the demand report isn't checked.
#[test]
fn holds_on_stale_reports() {
    let mut fleet = Fleet::new(limits(), &balanced_roles());
    // The demand needs far more changes than are permitted before it is stale.
    for second in 1..=3 {
        fleet.advance_to(second, Some((0.5, 11.5)));
    }
    for second in 4..=14 {
        fleet.advance_to(second, None);
    }
    let changes = fleet.changes;
    assert!(changes > 0);
    for second in 15..=120 {
        fleet.advance_to(second, None);
    }
    assert_eq!(fleet.changes, changes);
    assert_eq!(fleet.purchases, 0);
}

/// When the steward whose turn it is doesn't act, another one acts after the
/// timeout.
///
/// The test fails with an infinite timeout.
#[test]
fn another_data_centre_acts_when_one_does_not() {
    let mut policy = FleetPolicy::new(data_centre(1), limits());
    for (n, role) in balanced_roles().into_iter().enumerate() {
        let mut facts = engine(n, role);
        // The first data centre has the most engines of the role, so its engine is
        // ranked first.
        if n == 1 {
            facts.data_centre = data_centre(0);
        }
        policy.add_engine(facts);
    }
    let mut first_action = None;
    for second in 1..=30 {
        let mut actions = Vec::new();
        let event = FleetEvent::DemandReported {
            measured_at: at(second),
            report: demand("m", 1.5, 9.5),
        };
        policy.handle(at(second), event, &mut actions);
        policy.handle(at(second), FleetEvent::Tick, &mut actions);
        let changes_role = |action: &FleetAction| matches!(action, FleetAction::ChangeRole { .. });
        if actions.iter().any(changes_role) {
            first_action.get_or_insert(second);
        }
    }
    let second = first_action.expect("the steward acts after the timeout");
    assert!(second > 6, "the steward already acted in second {second}");
}

/// The timeout starts when a need arises. An earlier need that has passed must not
/// make a steward act at once, at the same time as the one whose turn it is.
///
/// The test fails if `awaited_engine` is kept when no change is needed.
#[test]
fn turn_timeout_restarts_with_each_need() {
    let mut policy = FleetPolicy::new(data_centre(1), limits());
    for (n, role) in balanced_roles().into_iter().enumerate() {
        let mut facts = engine(n, role);
        if n == 1 {
            facts.data_centre = data_centre(0);
        }
        policy.add_engine(facts);
    }
    let mut acted = Vec::new();
    for second in 1..=105 {
        let (prefill, decode) = match second {
            1..=2 | 100.. => (0.5, 9.0),
            _ => (1.0, 1.0),
        };
        let now = at(second);
        let mut actions = Vec::new();
        let event = FleetEvent::DemandReported {
            measured_at: now,
            report: demand("m", prefill, decode),
        };
        policy.handle(now, event, &mut actions);
        policy.handle(now, FleetEvent::Tick, &mut actions);
        let changes_role = |action: &FleetAction| matches!(action, FleetAction::ChangeRole { .. });
        acted.extend(actions.iter().any(changes_role).then_some(second));
    }
    assert_eq!(acted, [0_u64; 0], "the steward acted before its timeout");
}

/// A model that lacks engines gets one that can load it, within the rate limit of
/// the weight store, but never the last engine of another model.
///
/// The test fails with a limit of 100 model loads per minute, and with
/// `can_spare_engine` always true.
#[test]
fn loads_models_within_the_rate_limit() {
    let mut policy = FleetPolicy::new(data_centre(0), limits());
    let mut idle = Vec::new();
    for n in 0..6 {
        let mut facts = engine(n * 3, UpstreamRole::Mixed);
        facts.model = model("idle");
        facts.loadable_models = BTreeSet::from([model("m")]);
        idle.push((policy.add_engine(facts.clone()), facts));
    }
    policy.add_engine(engine(30, UpstreamRole::Mixed));
    let mut loads = Vec::new();
    for second in 1..=400 {
        let now: Timestamp = at(second);
        let mut actions = Vec::new();
        for report in [demand("m", 20.0, 20.0), demand("idle", 0.0, 0.0)] {
            let event = FleetEvent::DemandReported {
                measured_at: now,
                report,
            };
            policy.handle(now, event, &mut actions);
        }
        policy.handle(now, FleetEvent::Tick, &mut actions);
        for action in actions {
            if let FleetAction::LoadModel { engine, .. } = action {
                loads.push(second);
                let loaded = idle.iter_mut().find(|(key, _)| *key == engine);
                let (key, facts) = loaded.expect("the model is loaded by an idle engine");
                facts.model = model("m");
                policy.update_engine(*key, facts.clone());
                let end = OrderEnd::Done;
                let event = FleetEvent::OrderFinished { engine, end };
                policy.handle(now, event, &mut Vec::new());
            }
        }
    }
    let engines_left = idle
        .iter()
        .filter(|(_, facts)| facts.model == model("idle"));
    assert_eq!(engines_left.count(), 1, "{loads:?}");
    let in_first_minute = loads.iter().filter(|second| **second <= 60).count();
    assert_eq!(in_first_minute, 2, "{loads:?}");
    assert!(
        loads.len() <= 5,
        "the last engine must not load another model: {loads:?}"
    );
}

/// A lasting need is ordered for once, up to the limit.
///
/// The test fails if upstreams on order aren't counted as expected capacity.
#[test]
fn orders_for_a_lasting_need_once() {
    let mut fleet = Fleet::new(limits(), &balanced_roles());
    for second in 1..=15 {
        fleet.advance_to(second, Some((8.0, 8.0)));
    }
    assert_eq!(fleet.purchases, 0, "a short need must not cause an order");
    for second in 16..=200 {
        fleet.advance_to(second, Some((8.0, 8.0)));
    }
    // The work of 16 engines is spread over 3 data centres, each of which has 4
    // of the 12 engines and orders the difference.
    let needed = (16.0_f64 / 3.0 / limits().order_utilisation - 4.0).ceil() as u32;
    assert_eq!(fleet.purchases, 3 * needed);
    assert!(SECOND < limits().change_downtime);
}
