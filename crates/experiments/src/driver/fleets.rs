//! Who decides about roles and purchases in a run.

use crate::baselines::{self, PhaseDemand};
use crate::contender::Contender;
use crate::deployment::{DATA_CENTRES, EnginePlace};
use crate::driver::{DELIVERY_DELAY, FLEET_TICK, Run, RunKey};
use crate::engine_slot::{EngineSlot, SlotState};
use crate::schedule::Occurrence;
use crate::series::SeriesPoint;
use crate::traffic::Arrival;
use lagoonlift_policy::{
    DemandReport, EngineFacts, EngineRates, FleetAction, FleetEvent, FleetLimits, FleetPolicy,
    LoadReport, OrderEnd, QueuedWork, Target, Timestamp, UpstreamKey,
};
use lagoonlift_types::{DataCentreName, ModelName, Supply, UpstreamName, UpstreamRole};
use std::collections::VecDeque;
use std::time::Duration;

/// How far the oracle looks ahead for upstreams.
const ORACLE_FLEET_HORIZON: Duration = Duration::from_secs(30);
/// Time over which the follower takes the mix.
const FOLLOW_SPAN: usize = 5;

/// One steward's policy and the keys of all engines in it.
#[derive(Debug)]
pub(super) struct Steward {
    policy: FleetPolicy,
    engines: Vec<UpstreamKey>,
}

/// Who decides.
#[derive(Debug)]
pub(super) enum FleetKind {
    /// Nobody.
    Fixed,
    /// One fleet policy in each data centre.
    Policy(Vec<Steward>),
    /// The mix of the last seconds.
    Follow(VecDeque<PhaseDemand>),
    /// The requests to come.
    Oracle,
}

/// Tokens that arrived since the last report, by pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandSums {
    prompt_tokens: [u64; 2],
    output_tokens: [u64; 2],
}

impl DemandSums {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn add(&mut self, arrival: &Arrival) {
        let pool = usize::from(arrival.kind.small_pool);
        let expected_output = arrival.kind.mean_output() as u64;
        self.prompt_tokens[pool] += arrival.prompt_tokens;
        self.output_tokens[pool] += expected_output;
    }
}

impl FleetKind {
    pub(super) fn new(key: RunKey, data_centres: &[DataCentreName]) -> Self {
        match key.contender {
            Contender::StaticSplit | Contender::RoundRobin | Contender::AllMixed => Self::Fixed,
            Contender::FollowMix => Self::Follow(VecDeque::new()),
            Contender::Oracle => Self::Oracle,
            Contender::Planned => {
                let limits = FleetLimits::new(key.deployment.weighting());
                let stewards = data_centres.iter().map(|name| Steward {
                    policy: FleetPolicy::new(name.clone(), limits),
                    engines: Vec::new(),
                });
                Self::Policy(stewards.collect())
            }
        }
    }

    pub(super) fn add_engine(&mut self, facts: EngineFacts) {
        if let Self::Policy(stewards) = self {
            for steward in stewards {
                let key = steward.policy.add_engine(facts.clone());
                steward.engines.push(key);
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

    pub(super) fn loaded(
        &mut self,
        now: Timestamp,
        engine: usize,
        measured_at: Timestamp,
        report: LoadReport,
    ) {
        self.send(now, |steward| FleetEvent::LoadReported {
            engine: steward.engines[engine],
            measured_at,
            report,
        });
    }

    pub(super) fn order_finished(&mut self, now: Timestamp, engine: usize) {
        self.send(now, |steward| FleetEvent::OrderFinished {
            engine: steward.engines[engine],
            end: OrderEnd::Done,
        });
    }
}

impl Run {
    pub(super) fn plan_fleet(&mut self) {
        self.report_demand();
        match &mut self.fleet {
            FleetKind::Fixed => {}
            FleetKind::Policy(_) => self.plan_with_stewards(),
            FleetKind::Follow(_) => self.follow_mix(),
            FleetKind::Oracle => self.plan_with_foresight(),
        }
    }

    /// Sums what entry hosts saw and delivers what is visible by now.
    fn report_demand(&mut self) {
        let sums = std::mem::take(&mut self.demand);
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
                prompt_tokens: sums.prompt_tokens[pool],
                output_tokens: sums.output_tokens[pool],
                waiting_prompt_tokens: waiting_prompt,
                waiting_output_tokens: waiting_output,
            };
            self.demand_feed.push(self.now, report);
        }
        let now = self.now;
        while let Some((measured_at, report)) = self.demand_feed.pop(now) {
            if let FleetKind::Follow(history) = &mut self.fleet
                && report.model == self.models[0]
            {
                history.push_back(PhaseDemand::of(&report));
                if history.len() > FOLLOW_SPAN {
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
        let FleetKind::Policy(stewards) = &mut self.fleet else {
            return;
        };
        let mut planned = Vec::new();
        for (data_centre, steward) in stewards.iter_mut().enumerate() {
            for (key, facts) in steward.engines.iter().zip(&facts) {
                steward.policy.update_engine(*key, facts.clone());
            }
            let mut actions = Vec::new();
            steward
                .policy
                .handle(self.now, FleetEvent::Tick, &mut actions);
            let index_of = |key| steward.engines.iter().position(|other| *other == key);
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
                (Some(engine), Some(role)) => self.announce_role(engine, role),
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
                Occurrence::Delivery { data_centre },
            );
        }
    }

    /// Adds an ordered upstream, and tells the steward that ordered it.
    pub(super) fn deliver_upstream(&mut self, data_centre: usize) {
        let model = self.models[0].clone();
        self.add_ordered(data_centre, model.clone());
        if let FleetKind::Policy(stewards) = &mut self.fleet {
            let arrived = FleetEvent::PurchaseArrived { model, count: 1 };
            stewards[data_centre]
                .policy
                .handle(self.now, arrived, &mut Vec::new());
        }
    }

    fn add_ordered(&mut self, data_centre: usize, model: ModelName) {
        let name = format!("ordered-{:02}", self.engines.len());
        let Ok(name) = UpstreamName::new(&name) else {
            return;
        };
        let place = EnginePlace {
            name,
            data_centre,
            model,
            role: UpstreamRole::Decode,
            supply: Supply::Reclaimable,
        };
        self.add_engine(place, true);
    }

    fn follow_mix(&mut self) {
        let FleetKind::Follow(history) = &self.fleet else {
            return;
        };
        let demand = PhaseDemand::sum(history.iter());
        let changes = baselines::follow(&self.engines, &self.models[0], demand);
        for (engine, role) in changes {
            self.announce_role(engine, role);
        }
    }

    fn plan_with_foresight(&mut self) {
        self.buy_with_foresight();
        let demand = self.coming(self.key.oracle.horizon);
        let target = Target::Model(self.models[0].clone());
        let mut queued = QueuedWork::default();
        for host in &self.hosts {
            let work = host.queued(&target);
            queued.prompt_tokens += work.prompt_tokens;
            queued.output_tokens += work.output_tokens;
        }
        let changes = baselines::oracle(
            &self.engines,
            &self.models[0],
            demand,
            queued,
            self.key.oracle,
        );
        for (engine, role) in &changes {
            self.engines[*engine].next_role = *role;
            self.engines[*engine].model.set_role(*role);
            self.show_engine(*engine);
        }
        for (engine, _) in changes {
            self.move_work(engine);
        }
    }

    /// Moves all work of an engine that changed its role to those that still
    /// have the old one, at no cost.
    fn move_work(&mut self, engine: usize) {
        let role = self.engines[engine].model.role();
        let jobs = self.engines[engine].model.take_jobs();
        for progress in jobs {
            let takes_over = |slot: &EngineSlot| {
                slot.state == SlotState::Serving
                    && slot.place.model == self.models[0]
                    && slot.model.role() != role
            };
            let load = |index: &usize| {
                let load = self.engines[*index].model.load();
                (load.active_streams, load.prefill_backlog_tokens)
            };
            let target = (0..self.engines.len())
                .filter(|index| takes_over(&self.engines[*index]))
                .min_by_key(load)
                .unwrap_or(engine);
            self.engines[target].model.resume_job(self.now, progress);
            self.schedule_engine(target);
            self.note_move(progress.job.id as usize, target);
        }
    }

    /// Returns the large pool's demand a second over the next `horizon`.
    fn coming(&self, horizon: Duration) -> PhaseDemand {
        let until = self.now + horizon;
        let first = self.arrivals.partition_point(|a| a.at < self.now);
        let coming = self.arrivals[first..].iter().take_while(|a| a.at < until);
        let mut demand = PhaseDemand::default();
        for arrival in coming.filter(|arrival| !arrival.kind.small_pool) {
            let (prefill, decode) = arrival.work(EngineRates::default());
            demand.prefill += prefill / horizon.as_secs_f64();
            demand.decode += decode / horizon.as_secs_f64();
        }
        demand
    }

    /// Has as many upstreams as the coming work needs, from now on.
    fn buy_with_foresight(&mut self) {
        let demand = self.coming(ORACLE_FLEET_HORIZON);
        let serving = |engine: &EngineSlot| {
            engine.state == SlotState::Serving && engine.place.model == self.models[0]
        };
        let count = self.engines.iter().filter(|engine| serving(engine)).count();
        let needed = baselines::engines_needed(demand);
        match needed.cmp(&count) {
            std::cmp::Ordering::Greater => {
                for index in 0..needed - count {
                    self.counts.ordered += 1;
                    self.add_ordered(index % DATA_CENTRES, self.models[0].clone());
                }
            }
            std::cmp::Ordering::Less => {
                let spare = (0..self.engines.len())
                    .filter(|index| self.engines[*index].ordered && serving(&self.engines[*index]))
                    .take(count - needed)
                    .collect::<Vec<_>>();
                for engine in spare {
                    self.release_engine(engine);
                    self.finish_leaving(engine);
                }
            }
            std::cmp::Ordering::Equal => {}
        }
    }

    pub(super) fn series_point(&self, seconds: u64) -> SeriesPoint {
        let mut point = SeriesPoint {
            seconds,
            ..SeriesPoint::default()
        };
        let pool = self
            .engines
            .iter()
            .filter(|engine| engine.place.model == self.models[0] && !engine.is_gone());
        for engine in pool {
            let load = engine.model.load();
            point.streams += load.active_streams;
            point.waiting_prompt_tokens += load.prefill_backlog_tokens;
            match (engine.state, engine.model.role()) {
                (SlotState::Serving, UpstreamRole::Prefill) => point.prefill_engines += 1,
                (SlotState::Serving, _) => point.decode_engines += 1,
                _ => point.away_engines += 1,
            }
        }
        let target = Target::Model(self.models[0].clone());
        for host in &self.hosts {
            point.waiting_prompt_tokens += host.queued(&target).prompt_tokens;
        }
        point
    }
}
