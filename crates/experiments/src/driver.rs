//! Simulates one contender on the traffic of one seed, in virtual time.
//!
//! The policies are pure state machines, so the driver connects them to engine
//! models: it executes their actions on engines, returns events with the delays
//! of a real deployment, and counts outcomes. It takes no scheduling decision
//! itself; all of them belong to the contender.

mod engines;
mod fleets;
mod requests;

use crate::baselines::{ORACLE_VARIANTS, OracleVariant};
use crate::contender::Contender;
use crate::deployment::{self, DATA_CENTRES, Deployment, ENTRY_HOSTS};
use crate::driver::fleets::{ArrivedTokens, FleetController};
use crate::driver::requests::RequestState;
use crate::engine_simulation::{EngineLifecycle, SimulatedEngine};
use crate::entry_host::EntryHost;
use crate::measures::{MeasureCollector, RunMeasures};
use crate::plan::ExperimentError;
use crate::profile::{
    ARRIVAL_PERIOD, CHEAP_LOST_AT, CHEAP_LOST_DATA_CENTRE, FLOODING_WORKSPACE, Profile,
    REPORTS_FROZEN_PERIOD,
};
use crate::schedule::{Schedule, SimulationEvent};
use crate::series::SeriesPoint;
use crate::traffic::{self, Arrival};
use lagoonlift_policy::{DemandReport, EntryEvent, Timestamp};
use lagoonlift_standins::model::DelayedFeed;
use lagoonlift_types::{DataCentreName, ModelName, Supply, Urgency};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time until a load report reaches the policies.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time between two ticks of the entry policies; the oracle also gets its load
/// reports at this interval.
const ENTRY_TICK: Duration = Duration::from_millis(100);
/// Time between two plans of a fleet controller, and until a demand report
/// reaches it.
const FLEET_TICK: Duration = Duration::from_secs(1);
/// Time until a change of an engine's state reaches the entry hosts.
const ENGINE_STATE_DELAY: Duration = Duration::from_millis(300);
/// Time from the order of an upstream until it serves.
const DELIVERY_DELAY: Duration = Duration::from_secs(120);
/// Time after the arrival period in which requests may still complete.
const DRAIN_TIME: Duration = Duration::from_secs(120);
/// Interval of the time series.
pub(crate) const SERIES_INTERVAL: Duration = Duration::from_secs(5);

/// The parameters that determine a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunKey {
    pub(crate) deployment: Deployment,
    pub(crate) profile: Profile,
    pub(crate) contender: Contender,
    pub(crate) seed: u64,
    /// Parameters of the oracle's planning; other contenders ignore them.
    pub(crate) oracle: OracleVariant,
}

/// The state of a run.
struct Simulation {
    key: RunKey,
    now: Timestamp,
    schedule: Schedule,
    data_centres: Vec<DataCentreName>,
    /// Models of the large and the small pool.
    models: [ModelName; 2],
    arrivals: Vec<Arrival>,
    /// Request states, by index in `arrivals`.
    requests: Vec<RequestState>,
    engines: Vec<SimulatedEngine>,
    hosts: Vec<EntryHost>,
    /// Events that entry hosts have yet to handle, with the host's index.
    pending_events: VecDeque<(usize, EntryEvent)>,
    fleet: FleetController,
    arrived_tokens: ArrivedTokens,
    demand_feed: DelayedFeed<DemandReport>,
    /// Whether load and demand reports are stopped.
    is_frozen: bool,
    counts: SimulationCounts,
    series: Vec<SeriesPoint>,
}

/// Counts that are added to the measures at the end of a run.
#[derive(Clone, Copy, Debug, Default)]
struct SimulationCounts {
    role_changes: u64,
    ordered: u64,
    harmed: u64,
    retried: u64,
}

/// Simulates a run and returns its measures and time series. The oracle is
/// simulated with each of its variants, and the one with the highest goodput
/// counts.
pub(crate) fn run(key: RunKey) -> Result<(RunMeasures, Vec<SeriesPoint>), ExperimentError> {
    let variants = match key.contender {
        Contender::Oracle => &ORACLE_VARIANTS[..],
        _ => &ORACLE_VARIANTS[..1],
    };
    let mut best = run_once(key)?;
    for oracle in &variants[1..] {
        let other = run_once(RunKey {
            oracle: *oracle,
            ..key
        })?;
        if other.0.goodput_pieces > best.0.goodput_pieces {
            best = other;
        }
    }
    Ok(best)
}

fn run_once(key: RunKey) -> Result<(RunMeasures, Vec<SeriesPoint>), ExperimentError> {
    let mut simulation = Simulation::new(key)?;
    let end = Timestamp(0) + ARRIVAL_PERIOD + DRAIN_TIME;
    while let Some((at, event)) = simulation.schedule.next() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
        simulation.deliver_pending_events();
    }
    simulation.finish()
}

impl Simulation {
    fn new(key: RunKey) -> Result<Self, ExperimentError> {
        let data_centres = deployment::data_centres()?;
        let models = key.deployment.models()?;
        let arrivals = traffic::generate(key.deployment, key.profile, key.seed);
        let is_oracle = key.contender == Contender::Oracle;
        // The oracle is a single process that knows the current state of every
        // engine.
        let host_count = if is_oracle { 1 } else { ENTRY_HOSTS };
        let workspaces = deployment::workspaces()?;
        let hosts = (0..host_count).map(|index| {
            let data_centre = &data_centres[index % DATA_CENTRES];
            let seed = key.seed * 1_000 + index as u64;
            let mut host = EntryHost::new(key.contender, data_centre, seed, host_count as u32);
            host.add_workspaces(&workspaces);
            host
        });
        let mut simulation = Self {
            key,
            now: Timestamp(0),
            schedule: Schedule::default(),
            requests: vec![RequestState::default(); arrivals.len()],
            engines: Vec::new(),
            hosts: hosts.collect(),
            pending_events: VecDeque::new(),
            fleet: FleetController::new(key, &data_centres),
            arrived_tokens: ArrivedTokens::new(),
            demand_feed: DelayedFeed::new(FLEET_TICK),
            is_frozen: false,
            counts: SimulationCounts::default(),
            series: Vec::new(),
            data_centres,
            models,
            arrivals,
        };
        for spec in key.deployment.initial_engines()? {
            simulation.add_engine(spec, false);
        }
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    fn schedule_initial_events(&mut self) {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.schedule
                .add(arrival.at, SimulationEvent::Arrival(index));
        }
        self.schedule.add(self.now, SimulationEvent::LoadReports);
        self.schedule.add(self.now, SimulationEvent::EntryTick);
        self.schedule.add(self.now, SimulationEvent::FleetTick);
        let start = Timestamp(0);
        match self.key.profile {
            Profile::CheapLost => self
                .schedule
                .add(start + CHEAP_LOST_AT, SimulationEvent::ReclaimableLoss),
            Profile::ReportsFrozen => {
                self.schedule.add(
                    start + REPORTS_FROZEN_PERIOD.0,
                    SimulationEvent::ReportsFrozen(true),
                );
                self.schedule.add(
                    start + REPORTS_FROZEN_PERIOD.1,
                    SimulationEvent::ReportsFrozen(false),
                );
            }
            _ => {}
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(index) => self.handle_arrival(index),
            SimulationEvent::EngineStep(engine) => self.advance_engine(engine),
            SimulationEvent::KvArrival { request, engine } => self.start_decode(request, engine),
            SimulationEvent::EngineStateVisible(engine) => self.publish_engine_state(engine),
            SimulationEvent::RoleChange { engine, role } => self.start_role_change(engine, role),
            SimulationEvent::LoadReports => {
                self.deliver_reports();
                let interval = match self.key.contender {
                    Contender::Oracle => ENTRY_TICK,
                    _ => REPORT_INTERVAL,
                };
                self.reschedule(interval, SimulationEvent::LoadReports);
            }
            SimulationEvent::EntryTick => {
                for host in 0..self.hosts.len() {
                    self.pending_events.push_back((host, EntryEvent::Tick));
                }
                self.reschedule(ENTRY_TICK, SimulationEvent::EntryTick);
            }
            SimulationEvent::FleetTick => {
                self.plan_fleet();
                self.record_series();
                self.reschedule(FLEET_TICK, SimulationEvent::FleetTick);
            }
            SimulationEvent::UpstreamDelivery { data_centre } => self.deliver_upstream(data_centre),
            SimulationEvent::ReclaimableLoss => self.remove_reclaimable(CHEAP_LOST_DATA_CENTRE),
            SimulationEvent::ReportsFrozen(is_frozen) => self.set_reports_frozen(is_frozen),
        }
    }

    fn reschedule(&mut self, interval: Duration, event: SimulationEvent) {
        self.schedule.add(self.now + interval, event);
    }

    /// Passes pending events to the entry hosts and executes the resulting
    /// actions, until no event is pending.
    fn deliver_pending_events(&mut self) {
        while let Some((host, event)) = self.pending_events.pop_front() {
            let actions = self.hosts[host].handle(self.now, event);
            for action in actions {
                self.execute_action(host, action);
            }
        }
    }

    fn set_reports_frozen(&mut self, is_frozen: bool) {
        self.is_frozen = is_frozen;
        self.demand_feed.set_frozen(is_frozen);
        for engine in &mut self.engines {
            engine.load_reports.set_frozen(is_frozen);
        }
    }

    fn record_series(&mut self) {
        let seconds = self.now.0 / 1_000_000;
        if !seconds.is_multiple_of(SERIES_INTERVAL.as_secs()) || seconds > ARRIVAL_PERIOD.as_secs()
        {
            return;
        }
        let point = self.series_point(seconds);
        self.series.push(point);
    }

    fn finish(self) -> Result<(RunMeasures, Vec<SeriesPoint>), ExperimentError> {
        let mut collector = MeasureCollector::new()?;
        for (arrival, state) in self.arrivals.iter().zip(&self.requests) {
            collector.add(state.measure(arrival));
        }
        let end = Timestamp(0) + ARRIVAL_PERIOD;
        let capacity = self.key.deployment.large_pool_size() + DATA_CENTRES;
        let flooding = (self.key.profile == Profile::WorkspaceFlood).then_some(FLOODING_WORKSPACE);
        let seconds = ARRIVAL_PERIOD.as_secs_f64();
        let mut measures = collector.finish(capacity as f64 * seconds, flooding);
        measures.role_changes = self.counts.role_changes;
        measures.ordered = self.counts.ordered;
        measures.harmed = self.counts.harmed;
        measures.retried = self.counts.retried;
        measures.paid = self.engines.iter().map(|engine| engine.cost(end)).sum();
        let mut series = self.series;
        for (arrival, state) in self.arrivals.iter().zip(&self.requests) {
            state.add_to_series(arrival, &mut series);
        }
        Ok((measures, series))
    }

    fn remove_reclaimable(&mut self, data_centre: usize) {
        let is_affected = |engine: &SimulatedEngine| {
            engine.spec.data_centre == data_centre
                && engine.spec.supply == Supply::Reclaimable
                && engine.state != EngineLifecycle::Removed
        };
        let affected: Vec<usize> = (0..self.engines.len())
            .filter(|index| is_affected(&self.engines[*index]))
            .collect();
        for engine in affected {
            let interrupted = self.engines[engine].model.crash();
            self.engines[engine].mark_removed(self.now);
            self.schedule.add(
                self.now + ENGINE_STATE_DELAY,
                SimulationEvent::EngineStateVisible(engine),
            );
            for id in interrupted {
                let kind = self.arrivals[id as usize].kind;
                let harmed = !kind.idempotent || kind.urgency == Urgency::Urgent;
                self.counts.harmed += u64::from(harmed);
                self.counts.retried += u64::from(kind.idempotent);
                self.fail_attempt(id as usize, engine);
            }
        }
    }
}
