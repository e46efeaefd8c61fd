//! The fleet policy, which runs in the steward of each data centre, the process
//! that controls the data centre's upstreams.
//!
//! Engine roles, loaded models and purchases determine how much of the fleet
//! is available for prefill and how much for decode. Each role change makes an
//! engine unavailable for seconds. The policy therefore compares the work that
//! a change would save over the payback horizon with that downtime.
//!
//! The work for a model is known from the last demand report. If that report is
//! stale, the work is estimated from the load reports of the engines instead, and
//! if one of the model's serving engines has no recent load report, the policy
//! plans no role changes and no purchases for the model. Purchases use the
//! long-term average of the demand reports in either case, so with a stale demand
//! report and recent load reports they depend on old demand. Model loads are
//! planned only between models with recent demand reports.
//!
//! An order concerns one engine, which is to change its role, load a model or be
//! released. Ordering additional upstreams is called a purchase.
//!
//! Every steward knows the engines of all data centres but sends orders only to
//! those of its own. All stewards rank the engines in the same order, and only
//! the steward whose data centre has the first engine acts, so that the data
//! centres don't change roles all at the same time.

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

/// Time within which the requests queued in the entry processes should be
/// served; it converts the backlog into a rate of work.
const CATCH_UP_TIME: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub(crate) struct EngineRecord {
    pub(crate) facts: EngineFacts,
    /// The last report of how busy the engine is, and when it was measured.
    load_report: Option<(Timestamp, LoadReport)>,
    changed_at: Option<Timestamp>,
    /// Whether a role change, a model load or a release that this policy ordered
    /// for the engine hasn't ended yet.
    has_open_order: bool,
    /// Whether the engine's role has changed since the last tick.
    has_changed_role: bool,
}

#[derive(Debug, Default)]
struct ModelRecord {
    forecast: WorkForecast,
    purchases: PurchasePlanner,
    budget: ChangeBudget,
    /// Role changes observed since the last tick, in any data centre.
    observed_changes: u32,
    /// The engine of another data centre that is expected to change its role
    /// next, and since when.
    awaited_engine: Option<(UpstreamKey, Timestamp)>,
}

/// Plans the roles, models and purchases of one data centre.
#[derive(Debug)]
pub struct FleetPolicy {
    data_centre: DataCentreName,
    limits: FleetLimits,
    engines: SlotMap<UpstreamKey, EngineRecord>,
    models: BTreeMap<ModelName, ModelRecord>,
    /// Times at which this policy recently ordered engines to load a model, oldest
    /// first.
    recent_model_loads: VecDeque<Timestamp>,
}

impl FleetPolicy {
    /// Creates a policy that sends orders to the engines of `data_centre`.
    pub fn new(data_centre: DataCentreName, limits: FleetLimits) -> Self {
        Self {
            data_centre,
            limits,
            engines: SlotMap::with_key(),
            models: BTreeMap::new(),
            recent_model_loads: VecDeque::new(),
        }
    }

    /// Adds an engine of this or another data centre.
    pub fn add_engine(&mut self, facts: EngineFacts) -> UpstreamKey {
        self.models.entry(facts.model.clone()).or_default();
        self.engines.insert(EngineRecord {
            facts,
            load_report: None,
            changed_at: None,
            has_open_order: false,
            has_changed_role: false,
        })
    }

    /// Replaces the properties of an engine.
    pub fn update_engine(&mut self, key: UpstreamKey, facts: EngineFacts) {
        let record = self.models.entry(facts.model.clone()).or_default();
        if let Some(engine) = self.engines.get_mut(key) {
            let changed = engine.facts.role != facts.role;
            record.observed_changes += u32::from(changed);
            engine.has_changed_role |= changed;
            engine.facts = facts;
        }
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, key: UpstreamKey) {
        self.engines.remove(key);
    }

    /// Handles one event at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        match event {
            FleetEvent::LoadReported {
                engine,
                measured_at,
                report,
            } => self.record_load_report(engine, measured_at, report),
            FleetEvent::DemandReported {
                measured_at,
                report,
            } => {
                let work = PhaseWork::from_demand_report(&report, self.limits.rates, CATCH_UP_TIME);
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
                record.purchases.close_purchases(count);
            }
            FleetEvent::Tick => self.plan(now, actions),
        }
    }

    fn record_load_report(&mut self, key: UpstreamKey, measured_at: Timestamp, report: LoadReport) {
        match self.engines.get_mut(key) {
            Some(engine) if engine.load_report.is_none_or(|(at, _)| at < measured_at) => {
                engine.load_report = Some((measured_at, report));
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
                let changes = std::mem::take(&mut record.observed_changes);
                record.budget.update(now, changes, &self.limits);
            }
            let Some(work) = self.expected_work(now, &model) else {
                continue;
            };
            self.plan_role(now, &model, work, actions);
            self.plan_purchases(now, &model, actions);
        }
        self.plan_models(now, actions);
    }

    /// Returns the work that a role change should be planned for.
    ///
    /// With a recent demand report, this is the forecast for the time when the
    /// change would take effect, and otherwise the present work according to the
    /// load reports. Returns `None` if these aren't recent either.
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

    /// Estimates the present work from load reports alone. Returns `None` unless
    /// every serving engine has reported recently.
    fn work_from_load_reports(&self, now: Timestamp, model: &ModelName) -> Option<PhaseWork> {
        let mut work = PhaseWork::default();
        for engine in self.serving_engines(model) {
            let (measured_at, report) = engine.load_report?;
            if now.since(measured_at) > self.limits.stale_after {
                return None;
            }
            let engine_work =
                role_split::engine_work_from_load_report(&report, self.limits.rates, CATCH_UP_TIME);
            work.prefill += engine_work.prefill;
            work.decode += engine_work.decode;
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

    /// Returns the engines of `model` that have an open order of this policy, or
    /// that drain for an order of any steward or carry it out. An engine that loads
    /// another model belongs to its former model until its facts are updated.
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

    /// Returns whether at least one serving engine of `model` keeps the role
    /// after one more leaves it.
    fn can_spare_engine(&self, model: &ModelName, role: UpstreamRole) -> bool {
        let has_role = |engine: &&EngineRecord| engine.facts.role == role;
        self.serving_engines(model).filter(has_role).count() > 1
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

    /// Returns the share of a model's configured engines that this data centre
    /// has, 0 to 1.
    fn own_share(&self, model: &ModelName) -> f64 {
        let is_configured = |engine: &&EngineRecord| {
            engine.facts.model == *model
                && !engine.facts.is_purchased
                && !matches!(
                    engine.facts.state,
                    EngineState::Leaving | EngineState::Unreachable
                )
        };
        let all = self.engines.values().filter(is_configured).count().max(1);
        let is_own = |engine: &&EngineRecord| engine.facts.data_centre == self.data_centre;
        let own = self.engines.values().filter(is_configured).filter(is_own);
        own.count() as f64 / all as f64
    }
}
