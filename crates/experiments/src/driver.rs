//! Runs one contender on one seed's traffic, on virtual time.
//!
//! The driver joins the pure policies to engine models: it carries actions to
//! engines and events back, with the delays of the real thing, and counts. It
//! has no opinion of its own; whatever decides is a contender.

mod engines;
mod fleets;
mod requests;

use crate::baselines::{ORACLE_VARIANTS, OracleVariant};
use crate::contender::Contender;
use crate::deployment::{self, DATA_CENTRES, Deployment, ENTRY_HOSTS};
use crate::driver::fleets::{DemandSums, FleetKind};
use crate::driver::requests::RequestState;
use crate::engine_slot::{EngineSlot, SlotState};
use crate::entry_host::EntryHost;
use crate::measures::{MeasureCollector, RunMeasures};
use crate::plan::ExperimentError;
use crate::profile::{
    CHEAP_LOST_AT, FLOODING_WORKSPACE, FROZEN, LOSING_DATA_CENTRE, Profile, RUN_LENGTH,
};
use crate::schedule::{Occurrence, Schedule};
use crate::series::SeriesPoint;
use crate::traffic::{self, Arrival};
use lagoonlift_policy::{DemandReport, EntryEvent, Timestamp};
use lagoonlift_standins::model::DelayedFeed;
use lagoonlift_types::{DataCentreName, ModelName, Supply, Urgency};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time until a report is seen.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time between two looks at the queues.
const ENTRY_TICK: Duration = Duration::from_millis(100);
/// Time between two plans.
const FLEET_TICK: Duration = Duration::from_secs(1);
/// Time until entry hosts learn of an engine's state.
const VIEW_DELAY: Duration = Duration::from_millis(300);
/// Time until an ordered upstream is delivered.
const DELIVERY_DELAY: Duration = Duration::from_secs(120);
/// Time after the last arrival in which work may end.
const DRAIN_TIME: Duration = Duration::from_secs(120);
/// Time over which a point of the series is taken.
pub(crate) const SERIES_INTERVAL: Duration = Duration::from_secs(5);

/// Identifies a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunKey {
    pub(crate) deployment: Deployment,
    pub(crate) profile: Profile,
    pub(crate) contender: Contender,
    pub(crate) seed: u64,
    /// How the oracle uses its foresight; means nothing to others.
    pub(crate) oracle: OracleVariant,
}

/// One run in progress.
struct Run {
    key: RunKey,
    now: Timestamp,
    schedule: Schedule,
    data_centres: Vec<DataCentreName>,
    models: [ModelName; 2],
    arrivals: Vec<Arrival>,
    requests: Vec<RequestState>,
    engines: Vec<EngineSlot>,
    hosts: Vec<EntryHost>,
    /// Events that entry hosts have yet to take in.
    inbox: VecDeque<(usize, EntryEvent)>,
    fleet: FleetKind,
    demand: DemandSums,
    demand_feed: DelayedFeed<DemandReport>,
    frozen: bool,
    counts: RunCounts,
    series: Vec<SeriesPoint>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunCounts {
    role_changes: u64,
    ordered: u64,
    harmed: u64,
    repeated: u64,
}

/// Runs `key` and returns the measures and a series over time; for the oracle,
/// those of its best variant.
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
    let mut run = Run::new(key)?;
    let end = Timestamp(0) + RUN_LENGTH + DRAIN_TIME;
    while let Some((at, occurrence)) = run.schedule.next() {
        if at > end {
            break;
        }
        run.now = at;
        run.handle(occurrence);
        run.deliver();
    }
    run.finish()
}

impl Run {
    fn new(key: RunKey) -> Result<Self, ExperimentError> {
        let data_centres = deployment::data_centres()?;
        let models = key.deployment.models()?;
        let arrivals = traffic::draw(key.deployment, key.profile, key.seed);
        let is_oracle = key.contender == Contender::Oracle;
        // The oracle is one process that sees every engine as it is.
        let host_count = if is_oracle { 1 } else { ENTRY_HOSTS };
        let workspaces = deployment::workspaces()?;
        let hosts = (0..host_count).map(|index| {
            let data_centre = &data_centres[index % DATA_CENTRES];
            let seed = key.seed * 1_000 + index as u64;
            let mut host = EntryHost::new(key.contender, data_centre, seed, host_count as u32);
            host.add_workspaces(&workspaces);
            host
        });
        let mut run = Self {
            key,
            now: Timestamp(0),
            schedule: Schedule::default(),
            requests: vec![RequestState::default(); arrivals.len()],
            engines: Vec::new(),
            hosts: hosts.collect(),
            inbox: VecDeque::new(),
            fleet: FleetKind::new(key, &data_centres),
            demand: DemandSums::new(),
            demand_feed: DelayedFeed::new(FLEET_TICK),
            frozen: false,
            counts: RunCounts::default(),
            series: Vec::new(),
            data_centres,
            models,
            arrivals,
        };
        for place in key.deployment.engines()? {
            run.add_engine(place, false);
        }
        run.schedule_all();
        Ok(run)
    }

    fn schedule_all(&mut self) {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.schedule.add(arrival.at, Occurrence::Arrival(index));
        }
        self.schedule.add(self.now, Occurrence::Reports);
        self.schedule.add(self.now, Occurrence::EntryTick);
        self.schedule.add(self.now, Occurrence::FleetTick);
        let start = Timestamp(0);
        match self.key.profile {
            Profile::CheapLost => self
                .schedule
                .add(start + CHEAP_LOST_AT, Occurrence::CheapLoss),
            Profile::ReportsFrozen => {
                self.schedule
                    .add(start + FROZEN.0, Occurrence::Freeze(true));
                self.schedule
                    .add(start + FROZEN.1, Occurrence::Freeze(false));
            }
            _ => {}
        }
    }

    fn handle(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrival(index) => self.arrive(index),
            Occurrence::EngineStep(engine) => self.advance_engine(engine),
            Occurrence::KvArrival { request, engine } => self.continue_answer(request, engine),
            Occurrence::View(engine) => self.show_engine(engine),
            Occurrence::RoleOrder { engine, role } => self.order_role(engine, role),
            Occurrence::Reports => {
                self.report();
                let interval = match self.key.contender {
                    Contender::Oracle => ENTRY_TICK,
                    _ => REPORT_INTERVAL,
                };
                self.repeat(interval, Occurrence::Reports);
            }
            Occurrence::EntryTick => {
                for host in 0..self.hosts.len() {
                    self.inbox.push_back((host, EntryEvent::Tick));
                }
                self.repeat(ENTRY_TICK, Occurrence::EntryTick);
            }
            Occurrence::FleetTick => {
                self.plan_fleet();
                self.note_series();
                self.repeat(FLEET_TICK, Occurrence::FleetTick);
            }
            Occurrence::Delivery { data_centre } => self.deliver_upstream(data_centre),
            Occurrence::CheapLoss => self.lose_cheap(LOSING_DATA_CENTRE),
            Occurrence::Freeze(frozen) => self.freeze(frozen),
        }
    }

    fn repeat(&mut self, interval: Duration, occurrence: Occurrence) {
        self.schedule.add(self.now + interval, occurrence);
    }

    /// Lets entry hosts take in their events and carries out what they decide,
    /// until nothing is left.
    fn deliver(&mut self) {
        while let Some((host, event)) = self.inbox.pop_front() {
            let actions = self.hosts[host].handle(self.now, event);
            for action in actions {
                self.carry_out(host, action);
            }
        }
    }

    fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen;
        self.demand_feed.set_frozen(frozen);
        for engine in &mut self.engines {
            engine.loads.set_frozen(frozen);
        }
    }

    fn note_series(&mut self) {
        let seconds = self.now.0 / 1_000_000;
        if !seconds.is_multiple_of(SERIES_INTERVAL.as_secs()) || seconds > RUN_LENGTH.as_secs() {
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
        let end = Timestamp(0) + RUN_LENGTH;
        let capacity = self.key.deployment.large_pool() + DATA_CENTRES;
        let flooding = (self.key.profile == Profile::WorkspaceFlood).then_some(FLOODING_WORKSPACE);
        let seconds = RUN_LENGTH.as_secs_f64();
        let mut measures = collector.finish(capacity as f64 * seconds, flooding);
        measures.role_changes = self.counts.role_changes;
        measures.ordered = self.counts.ordered;
        measures.harmed = self.counts.harmed;
        measures.repeated = self.counts.repeated;
        measures.paid = self.engines.iter().map(|engine| engine.paid(end)).sum();
        let mut series = self.series;
        for (arrival, state) in self.arrivals.iter().zip(&self.requests) {
            state.add_to_series(arrival, &mut series);
        }
        Ok((measures, series))
    }

    fn lose_cheap(&mut self, data_centre: usize) {
        let is_lost = |engine: &EngineSlot| {
            engine.place.data_centre == data_centre
                && engine.place.supply == Supply::Reclaimable
                && engine.state != SlotState::Gone
        };
        let lost: Vec<usize> = (0..self.engines.len())
            .filter(|index| is_lost(&self.engines[*index]))
            .collect();
        for engine in lost {
            let cut = self.engines[engine].model.crash();
            self.engines[engine].go(self.now);
            self.schedule
                .add(self.now + VIEW_DELAY, Occurrence::View(engine));
            for id in cut {
                let kind = self.arrivals[id as usize].kind;
                let harmed = !kind.idempotent || kind.urgency == Urgency::Urgent;
                self.counts.harmed += u64::from(harmed);
                self.counts.repeated += u64::from(kind.idempotent);
                self.fail_attempt(id as usize, engine);
            }
        }
    }
}
