//! The policy of one data centre's steward.
//!
//! Roles, models and purchases change how much of the fleet reads prompts and
//! how much generates tokens. Each change costs seconds of an engine, so the
//! policy weighs the work that a change would save over a horizon against the
//! seconds away, and holds still whenever it can't see.
//!
//! Every steward knows the engines of all data centres but orders only its
//! own. All of them rank the same engines in the same way and only the owner of
//! the first one acts, so that data centres don't change roles in step.

mod models;
mod roles;

use crate::budget::ChangeBudget;
use crate::forecast::WorkForecast;
use crate::purchase::{PurchaseChoice, PurchasePlanner};
use crate::role_split;
use crate::{
    EngineFacts, EngineState, FleetAction, FleetEvent, FleetLimits, LoadReport, PhaseWork,
    Timestamp, UpstreamKey,
};
use lagoonlift_types::{DataCentreName, ModelName, Supply, UpstreamRole};
use slotmap::SlotMap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time over which work that waits at the entry is to be caught up with.
const CATCH_UP_TIME: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub(crate) struct EngineRecord {
    pub(crate) facts: EngineFacts,
    load: Option<(Timestamp, LoadReport)>,
    changed_at: Option<Timestamp>,
    /// An order of ours that hasn't ended.
    has_open_order: bool,
    /// Its role was seen to change since the last plan.
    has_changed_role: bool,
}

#[derive(Debug, Default)]
struct ModelRecord {
    forecast: WorkForecast,
    purchases: PurchasePlanner,
    budget: ChangeBudget,
    /// Changes seen since the last plan.
    changes_seen: u32,
    /// The other data centre's engine whose turn it is, and since when.
    awaited_engine: Option<(UpstreamKey, Timestamp)>,
}

/// Plans roles, models and purchases of one data centre.
#[derive(Debug)]
pub struct FleetPolicy {
    data_centre: DataCentreName,
    limits: FleetLimits,
    engines: SlotMap<UpstreamKey, EngineRecord>,
    models: BTreeMap<ModelName, ModelRecord>,
    recent_loads: VecDeque<Timestamp>,
}

impl FleetPolicy {
    /// Creates a policy for the engines of `data_centre`.
    pub fn new(data_centre: DataCentreName, limits: FleetLimits) -> Self {
        Self {
            data_centre,
            limits,
            engines: SlotMap::with_key(),
            models: BTreeMap::new(),
            recent_loads: VecDeque::new(),
        }
    }

    /// Adds an engine, of this or another data centre.
    pub fn add_engine(&mut self, facts: EngineFacts) -> UpstreamKey {
        self.models.entry(facts.model.clone()).or_default();
        self.engines.insert(EngineRecord {
            facts,
            load: None,
            changed_at: None,
            has_open_order: false,
            has_changed_role: false,
        })
    }

    /// Replaces what is known of an engine.
    pub fn update_engine(&mut self, key: UpstreamKey, facts: EngineFacts) {
        let record = self.models.entry(facts.model.clone()).or_default();
        if let Some(engine) = self.engines.get_mut(key) {
            let changed = engine.facts.role != facts.role;
            record.changes_seen += u32::from(changed);
            engine.has_changed_role |= changed;
            engine.facts = facts;
        }
    }

    /// Forgets an engine.
    pub fn remove_engine(&mut self, key: UpstreamKey) {
        self.engines.remove(key);
    }

    /// Takes in one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::LoadReported {
                engine,
                measured_at,
                report,
            } => self.record_load(engine, measured_at, report),
            FleetEvent::DemandReported {
                measured_at,
                report,
            } => {
                let work = PhaseWork::from_report(&report, self.limits.rates, CATCH_UP_TIME);
                let record = self.models.entry(report.model).or_default();
                record.forecast.observe(measured_at, work);
            }
            FleetEvent::OrderFinished { engine, .. } => {
                if let Some(engine) = self.engines.get_mut(engine) {
                    engine.has_open_order = false;
                    engine.changed_at = Some(now);
                }
            }
            FleetEvent::PurchaseArrived { model, count }
            | FleetEvent::PurchaseFailed { model, count } => {
                let record = self.models.entry(model).or_default();
                record.purchases.close_orders(count);
            }
            FleetEvent::Tick => self.plan(now, actions),
        }
    }

    fn record_load(&mut self, key: UpstreamKey, measured_at: Timestamp, report: LoadReport) {
        match self.engines.get_mut(key) {
            Some(engine) if engine.load.is_none_or(|(at, _)| at < measured_at) => {
                engine.load = Some((measured_at, report));
            }
            _ => {}
        }
    }

    fn plan(&mut self, now: Timestamp, actions: &mut Vec<FleetAction>) {
        for engine in self.engines.values_mut() {
            if std::mem::take(&mut engine.has_changed_role) {
                engine.changed_at = Some(now);
            }
        }
        let models: Vec<ModelName> = self.models.keys().cloned().collect();
        for model in models {
            if let Some(record) = self.models.get_mut(&model) {
                let seen = std::mem::take(&mut record.changes_seen);
                record.budget.update(now, seen, &self.limits);
            }
            let Some(work) = self.expected_work(now, &model) else {
                continue;
            };
            self.plan_role(now, &model, work, actions);
            self.plan_purchases(now, &model, actions);
        }
        self.plan_models(now, actions);
    }

    /// Returns the work expected when a change would take effect, or `None`
    /// when nothing recent enough is known.
    fn expected_work(&self, now: Timestamp, model: &ModelName) -> Option<PhaseWork> {
        let forecast = &self.models[model].forecast;
        let is_demand_fresh = forecast
            .updated_at()
            .is_some_and(|at| now.since(at) <= self.limits.stale_after);
        if is_demand_fresh {
            return Some(forecast.predict(self.limits.change_downtime));
        }
        self.work_from_load_reports(now, model)
    }

    /// Estimates the work from load reports alone; every serving engine must
    /// have reported recently.
    fn work_from_load_reports(&self, now: Timestamp, model: &ModelName) -> Option<PhaseWork> {
        let mut work = PhaseWork::default();
        for engine in self.serving_engines(model) {
            let (measured_at, report) = engine.load?;
            if now.since(measured_at) > self.limits.stale_after {
                return None;
            }
            let load = role_split::work_from_report(&report, self.limits.rates, CATCH_UP_TIME);
            work.prefill += load.prefill;
            work.decode += load.decode;
        }
        Some(work)
    }

    fn serving_engines(&self, model: &ModelName) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values().filter(move |engine| {
            engine.facts.model == *model
                && engine.facts.state == EngineState::Serving
                && !engine.has_open_order
        })
    }

    /// Returns the engines that drain for an order or carry one out.
    fn changing_engines(&self, model: &ModelName) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values().filter(move |engine| {
            engine.facts.model == *model
                && (engine.has_open_order || engine.facts.state == EngineState::Changing)
        })
    }

    fn changing_count(&self, model: &ModelName) -> usize {
        self.changing_engines(model).count()
    }

    fn plan_purchases(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        actions: &mut Vec<FleetAction>,
    ) {
        let own_engines = self.own_engines(model);
        let share = self.own_share(model);
        let Some(record) = self.models.get_mut(model) else {
            return;
        };
        let work = record.forecast.long_term().total() * share;
        let choice = record
            .purchases
            .choose(now, work, own_engines.len(), &self.limits);
        match choice {
            PurchaseChoice::Hold => {}
            PurchaseChoice::Order(count) => actions.push(FleetAction::OrderUpstreams {
                model: model.clone(),
                supply: Supply::Reclaimable,
                count,
            }),
            PurchaseChoice::Release => {
                let releasable = own_engines.into_iter().find(|key| {
                    let engine = &self.engines[*key];
                    engine.facts.is_purchased && self.can_spare_engine(model, engine.facts.role)
                });
                if let Some(engine) = releasable {
                    self.engines[engine].has_open_order = true;
                    actions.push(FleetAction::ReleaseUpstream { engine });
                }
            }
        }
    }

    /// Returns whether the role keeps an engine when one more leaves it.
    fn can_spare_engine(&self, model: &ModelName, role: UpstreamRole) -> bool {
        let in_role = |engine: &&EngineRecord| engine.facts.role == role;
        self.serving_engines(model).filter(in_role).count() > 1
    }

    fn own_engines(&self, model: &ModelName) -> Vec<UpstreamKey> {
        let own = self.engines.iter().filter(|(_, engine)| {
            engine.facts.data_centre == self.data_centre
                && engine.facts.model == *model
                && !matches!(
                    engine.facts.state,
                    EngineState::Leaving | EngineState::Unreachable
                )
        });
        own.map(|(key, _)| key).collect()
    }

    /// Returns the share of a model's configured engines that stand here.
    fn own_share(&self, model: &ModelName) -> f64 {
        let configured = |engine: &&EngineRecord| {
            engine.facts.model == *model
                && !engine.facts.is_purchased
                && !matches!(
                    engine.facts.state,
                    EngineState::Leaving | EngineState::Unreachable
                )
        };
        let all = self.engines.values().filter(configured).count().max(1);
        let is_own = |engine: &&EngineRecord| engine.facts.data_centre == self.data_centre;
        let own = self.engines.values().filter(configured).filter(is_own);
        own.count() as f64 / all as f64
    }
}
