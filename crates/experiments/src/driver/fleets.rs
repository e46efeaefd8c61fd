//! Fleet control in a run: engine roles and orders of upstreams.

use crate::baselines::{self, PhaseDemand};
use crate::contender::Contender;
use crate::deployment::{DATA_CENTRES, EngineSpec};
use crate::driver::{DELIVERY_DELAY, FLEET_TICK, RunKey, Simulation};
use crate::engine_simulation::{EngineLifecycle, SimulatedEngine};
use crate::schedule::SimulationEvent;
use crate::series::SeriesPoint;
use crate::traffic::Arrival;
use lagoonlift_policy::{
    DemandReport, EngineFacts, EngineRates, FleetAction, FleetEvent, FleetLimits, FleetPolicy,
    LoadReport, OrderEnd, QueuedDemand, Target, Timestamp, UpstreamKey,
};
use lagoonlift_types::{DataCentreName, ModelName, Supply, UpstreamName, UpstreamRole};
use std::collections::VecDeque;
use std::time::Duration;

/// Time span of future arrivals for which the oracle orders upstreams.
const ORACLE_SCALING_LOOKAHEAD: Duration = Duration::from_secs(30);
/// Demand reports, one per second, from which the follow-mix baseline computes
/// the mix.
const FOLLOW_MIX_REPORTS: usize = 5;

/// The fleet policy of one data centre's steward, with the keys of all engines
/// by engine index.
#[derive(Debug)]
pub(super) struct Steward {
    policy: FleetPolicy,
    engine_keys: Vec<UpstreamKey>,
}

/// What assigns roles and orders upstreams.
#[derive(Debug)]
pub(super) enum FleetController {
    /// Roles are fixed and no upstream is ordered.
    Fixed,
    /// The production fleet policy, one instance for each data centre.
    Policy(Vec<Steward>),
    /// Roles follow the mix of these last demand reports.
    FollowMix(VecDeque<PhaseDemand>),
    /// Roles and upstreams follow future demand.
    Oracle,
}

/// Tokens in requests that arrived since the last demand report, by pool: first
/// the large one, then the small one. Output tokens are the mean of the kind,
/// because the real length isn't known on arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivedTokens {
    prompt_tokens: [u64; 2],
    output_tokens: [u64; 2],
}

impl ArrivedTokens {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn add(&mut self, arrival: &Arrival) {
        let pool = usize::from(arrival.kind.uses_small_pool);
        let expected_output = arrival.kind.mean_output_tokens() as u64;
        self.prompt_tokens[pool] += arrival.prompt_tokens;
        self.output_tokens[pool] += expected_output;
    }
}

impl FleetController {
    pub(super) fn new(key: RunKey, data_centres: &[DataCentreName]) -> Self {
        match key.contender {
            Contender::StaticSplit | Contender::RoundRobin | Contender::AllMixed => Self::Fixed,
            Contender::FollowMix => Self::FollowMix(VecDeque::new()),
            Contender::Oracle => Self::Oracle,
            Contender::Planned => {
                let limits = FleetLimits::new(key.deployment.weighting());
                let stewards = data_centres.iter().map(|name| Steward {
                    policy: FleetPolicy::new(name.clone(), limits),
                    engine_keys: Vec::new(),
                });
                Self::Policy(stewards.collect())
            }
        }
    }

    pub(super) fn add_engine(&mut self, facts: EngineFacts) {
        if let Self::Policy(stewards) = self {
            for steward in stewards {
                let key = steward.policy.add_engine(facts.clone());
                steward.engine_keys.push(key);
            }
        }
    }

    fn send(&mut self, now: Timestamp, event: impl Fn(&Steward) -> FleetEvent) {
        if let Self::Policy(stewards) = self {
            for steward in stewards {
                let event = event(steward);
                steward.policy.handle(now, event, &mut Vec::new());
            }
        }
    }

    pub(super) fn report_load(
        &mut self,
        now: Timestamp,
        engine: usize,
        measured_at: Timestamp,
        report: LoadReport,
    ) {
        self.send(now, |steward| FleetEvent::LoadReported {
            engine: steward.engine_keys[engine],
            measured_at,
            report,
        });
    }

    pub(super) fn report_order_finished(&mut self, now: Timestamp, engine: usize) {
        self.send(now, |steward| FleetEvent::OrderFinished {
            engine: steward.engine_keys[engine],
            end: OrderEnd::Done,
        });
    }
}

impl Simulation {
    pub(super) fn plan_fleet(&mut self) {
        self.report_demand();
        match &mut self.fleet {
            FleetController::Fixed => {}
            FleetController::Policy(_) => self.plan_with_stewards(),
            FleetController::FollowMix(_) => self.follow_mix(),
            FleetController::Oracle => self.plan_with_foresight(),
        }
    }

    /// Creates a demand report for each model and delivers the reports whose
    /// delay is over.
    fn report_demand(&mut self) {
        let arrived = std::mem::take(&mut self.arrived_tokens);
        for (pool, model) in self.models.iter().enumerate() {
            let target = Target::Model(model.clone());
            let queued = self.hosts.iter().map(|host| host.queued(&target));
            let (mut waiting_prompt, mut waiting_output) = (0, 0);
            for work in queued {
                waiting_prompt += work.prompt_tokens;
                waiting_output += work.output_tokens;
            }
            let report = DemandReport {
                model: model.clone(),
                interval: FLEET_TICK,
                prompt_tokens: arrived.prompt_tokens[pool],
                output_tokens: arrived.output_tokens[pool],
                waiting_prompt_tokens: waiting_prompt,
                waiting_output_tokens: waiting_output,
            };
            self.demand_feed.push(self.now, report);
        }
        let now = self.now;
        while let Some((measured_at, report)) = self.demand_feed.pop(now) {
            if let FleetController::FollowMix(history) = &mut self.fleet
                && report.model == self.models[0]
            {
                history.push_back(PhaseDemand::from_report(&report));
                if history.len() > FOLLOW_MIX_REPORTS {
                    history.pop_front();
                }
            }
            self.fleet.send(now, |_| FleetEvent::DemandReported {
                measured_at,
                report: report.clone(),
            });
        }
    }

    fn plan_with_stewards(&mut self) {
        let facts: Vec<EngineFacts> = self
            .engines
            .iter()
            .map(|engine| engine.engine_facts(&self.data_centres))
            .collect();
        let FleetController::Policy(stewards) = &mut self.fleet else {
            return;
        };
        let mut planned = Vec::new();
        for (data_centre, steward) in stewards.iter_mut().enumerate() {
            for (key, facts) in steward.engine_keys.iter().zip(&facts) {
                steward.policy.update_engine(*key, facts.clone());
            }
            let mut actions = Vec::new();
            steward
                .policy
                .handle(self.now, FleetEvent::Tick, &mut actions);
            let index_of = |key| steward.engine_keys.iter().position(|other| *other == key);
            planned.extend(actions.into_iter().map(|action| match action {
                FleetAction::ChangeRole { engine, role } => {
                    (data_centre, index_of(engine), Some(role), 0)
                }
                FleetAction::ReleaseUpstream { engine } => (data_centre, index_of(engine), None, 0),
                FleetAction::OrderUpstreams { count, .. } => (data_centre, None, None, count),
                FleetAction::LoadModel { .. } => (data_centre, None, None, 0),
            }));
        }
        for (data_centre, engine, role, ordered) in planned {
            match (engine, role) {
                (Some(engine), Some(role)) => self.announce_role_change(engine, role),
                (Some(engine), None) => self.release_engine(engine),
                (None, _) => self.order_upstreams(data_centre, ordered),
            }
        }
    }

    fn order_upstreams(&mut self, data_centre: usize, count: u32) {
        self.counts.ordered += u64::from(count);
        for _ in 0..count {
            self.schedule.add(
                self.now + DELIVERY_DELAY,
                SimulationEvent::UpstreamDelivery { data_centre },
            );
        }
    }

    /// Adds an ordered upstream and notifies the steward that ordered it.
    pub(super) fn deliver_upstream(&mut self, data_centre: usize) {
        let model = self.models[0].clone();
        self.add_ordered_engine(data_centre, model.clone());
        if let FleetController::Policy(stewards) = &mut self.fleet {
            let arrived = FleetEvent::PurchaseArrived { model, count: 1 };
            stewards[data_centre]
                .policy
                .handle(self.now, arrived, &mut Vec::new());
        }
    }

    fn add_ordered_engine(&mut self, data_centre: usize, model: ModelName) {
        let name = format!("ordered-{:02}", self.engines.len());
        let Ok(name) = UpstreamName::new(&name) else {
            return;
        };
        let spec = EngineSpec {
            name,
            data_centre,
            model,
            role: UpstreamRole::Decode,
            supply: Supply::Reclaimable,
        };
        self.add_engine(spec, true);
    }

    fn follow_mix(&mut self) {
        let FleetController::FollowMix(history) = &self.fleet else {
            return;
        };
        let demand = PhaseDemand::sum(history.iter());
        let changes = baselines::follow_mix_changes(&self.engines, &self.models[0], demand);
        for (engine, role) in changes {
            self.announce_role_change(engine, role);
        }
    }

    fn plan_with_foresight(&mut self) {
        self.scale_with_foresight();
        let demand = self.upcoming_demand(self.key.oracle.lookahead);
        let target = Target::Model(self.models[0].clone());
        let mut queued = QueuedDemand::default();
        for host in &self.hosts {
            let work = host.queued(&target);
            queued.prompt_tokens += work.prompt_tokens;
            queued.output_tokens += work.output_tokens;
        }
        let changes = baselines::oracle_changes(
            &self.engines,
            &self.models[0],
            demand,
            queued,
            self.key.oracle,
        );
        for (engine, role) in &changes {
            self.engines[*engine].next_role = *role;
            self.engines[*engine].model.set_role(*role);
            self.publish_engine_state(*engine);
        }
        for (engine, _) in changes {
            self.move_work(engine);
        }
    }

    /// Migrates all jobs of an engine whose role changed to the least loaded
    /// engines with another role, at no cost. The jobs stay if there is no such
    /// engine.
    fn move_work(&mut self, engine: usize) {
        let role = self.engines[engine].model.role();
        let jobs = self.engines[engine].model.take_jobs();
        for progress in jobs {
            let is_target = |candidate: &SimulatedEngine| {
                candidate.state == EngineLifecycle::Serving
                    && candidate.spec.model == self.models[0]
                    && candidate.model.role() != role
            };
            let load = |index: &usize| {
                let load = self.engines[*index].model.load();
                (load.active_streams, load.prefill_backlog_tokens)
            };
            let target = (0..self.engines.len())
                .filter(|index| is_target(&self.engines[*index]))
                .min_by_key(load)
                .unwrap_or(engine);
            self.engines[target].model.resume_job(self.now, progress);
            self.schedule_engine(target);
            self.record_migration(progress.job.id as usize, target);
        }
    }

    /// Returns the mean demand on the large pool over the next `lookahead`.
    fn upcoming_demand(&self, lookahead: Duration) -> PhaseDemand {
        let until = self.now + lookahead;
        let first = self.arrivals.partition_point(|a| a.at < self.now);
        let upcoming_arrivals = self.arrivals[first..].iter().take_while(|a| a.at < until);
        let mut demand = PhaseDemand::default();
        for arrival in upcoming_arrivals.filter(|arrival| !arrival.kind.uses_small_pool) {
            let (prefill, decode) = arrival.work(EngineRates::default());
            demand.prefill += prefill / lookahead.as_secs_f64();
            demand.decode += decode / lookahead.as_secs_f64();
        }
        demand
    }

    /// Adds or releases upstreams at once, so that the large pool has the size
    /// that future demand needs.
    fn scale_with_foresight(&mut self) {
        let demand = self.upcoming_demand(ORACLE_SCALING_LOOKAHEAD);
        let serving = |engine: &SimulatedEngine| {
            engine.state == EngineLifecycle::Serving && engine.spec.model == self.models[0]
        };
        let count = self.engines.iter().filter(|engine| serving(engine)).count();
        let needed = baselines::engines_needed(demand);
        match needed.cmp(&count) {
            std::cmp::Ordering::Greater => {
                for index in 0..needed - count {
                    self.counts.ordered += 1;
                    self.add_ordered_engine(index % DATA_CENTRES, self.models[0].clone());
                }
            }
            std::cmp::Ordering::Less => {
                let spare = (0..self.engines.len())
                    .filter(|i| self.engines[*i].is_ordered && serving(&self.engines[*i]))
                    .take(count - needed)
                    .collect::<Vec<_>>();
                for engine in spare {
                    self.release_engine(engine);
                    self.finish_draining(engine);
                }
            }
            std::cmp::Ordering::Equal => {}
        }
    }

    /// Returns the current state of the large pool; the pieces of the interval
    /// are added at the end of the run.
    pub(super) fn series_point(&self, seconds: u64) -> SeriesPoint {
        let mut point = SeriesPoint {
            seconds,
            ..SeriesPoint::default()
        };
        let pool = self
            .engines
            .iter()
            .filter(|engine| engine.spec.model == self.models[0] && !engine.is_removed());
        for engine in pool {
            let load = engine.model.load();
            point.streams += load.active_streams;
            point.waiting_prompt_tokens += load.prefill_backlog_tokens;
            match (engine.state, engine.model.role()) {
                (EngineLifecycle::Serving, UpstreamRole::Prefill) => point.prefill_engines += 1,
                (EngineLifecycle::Serving, _) => point.decode_engines += 1,
                _ => point.unavailable_engines += 1,
            }
        }
        let target = Target::Model(self.models[0].clone());
        for host in &self.hosts {
            point.waiting_prompt_tokens += host.queued(&target).prompt_tokens;
        }
        point
    }
}
