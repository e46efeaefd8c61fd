//! The planning loop: observes the fleet, updates the policy and executes its
//! actions.

use super::index::EngineIndex;
use super::loads::LoadReader;
use super::requests::RequestWriter;
use crate::explain::DecisionRecorder;
use crate::fleet::FleetUpstreams;
use crate::lease::Authority;
use lagoonlift_hosts::ConfigurationStore;
use lagoonlift_platform::PlatformClient;
use lagoonlift_policy::{
    FleetAction, FleetEvent, FleetLimits, FleetPolicy, FleetWeighting, LoadReport, OrderEnd,
    Timestamp, UpstreamKey,
};
use lagoonlift_types::{DataCentreName, Epoch, UpstreamName};
use lagoonlift_upstreams::{EngineChange, EngineLoad};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration and connections of a planner.
pub(crate) struct PlannerContext {
    pub(crate) data_centre: DataCentreName,
    pub(crate) weighting: FleetWeighting,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) upstreams: watch::Receiver<Arc<FleetUpstreams>>,
    pub(crate) store: Arc<ConfigurationStore>,
    pub(crate) recorder: DecisionRecorder,
}

/// Plans for one data centre while this steward holds the lease.
pub(crate) struct Planner {
    context: PlannerContext,
}

/// State of the planner during one lease epoch.
struct PlanningState {
    epoch: Epoch,
    start: Instant,
    policy: FleetPolicy,
    index: EngineIndex,
    loads: LoadReader,
    writer: RequestWriter,
    reports: BTreeMap<UpstreamName, EngineLoad>,
    actions: Vec<FleetAction>,
}

impl Planner {
    pub(crate) fn new(context: PlannerContext) -> Self {
        Self { context }
    }

    /// Runs until dropped.
    pub(crate) async fn run(self) {
        let mut authority = self.context.authority.clone();
        loop {
            let epoch = authority.wait_for_grant().await;
            tokio::select! {
                () = self.plan(epoch) => {}
                () = authority.wait_for_end(epoch) => {}
            }
        }
    }

    async fn plan(&self, epoch: Epoch) {
        let mut state = self.start_planning(epoch);
        let mut ticks = interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        while self.context.authority.holds(epoch) {
            ticks.tick().await;
            self.observe(&mut state).await;
            state.send_event(FleetEvent::Tick);
            for action in std::mem::take(&mut state.actions) {
                self.execute(&mut state, action).await;
            }
        }
    }

    fn start_planning(&self, epoch: Epoch) -> PlanningState {
        let data_centre = self.context.data_centre.clone();
        let configuration = self.context.store.current();
        let capacity = configuration.data_centres.get(&data_centre);
        let limits = FleetLimits {
            order_limit: capacity.map_or(0, |capacity| capacity.order_limit),
            ..FleetLimits::new(self.context.weighting)
        };
        PlanningState {
            epoch,
            start: Instant::now(),
            policy: FleetPolicy::new(data_centre.clone(), limits),
            index: EngineIndex::new(data_centre.clone()),
            loads: LoadReader::new(),
            writer: RequestWriter::new(data_centre, self.context.client.clone()),
            reports: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Reports to the policy what has changed since the previous round.
    async fn observe(&self, state: &mut PlanningState) {
        // If the platform can't be read, all changes stay pending. New requests can't
        // be written then either.
        let missing = state.writer.take_missing().await.unwrap_or_default();
        let upstreams = Arc::clone(&self.context.upstreams.borrow());
        let configuration = self.context.store.current();
        let arrived = state.index.update(
            &mut state.policy,
            &upstreams,
            &configuration,
            state.writer.pending(),
        );
        // A missing request doesn't show how the order ended, or whether there was one.
        // It is reported to the policy as done in every case.
        for name in missing {
            if let Some(engine) = state.index.key(&name) {
                let end = OrderEnd::Done;
                state.send_event(FleetEvent::OrderFinished { engine, end });
            }
        }
        for facts in arrived {
            let model = facts.model;
            state.send_event(FleetEvent::PurchaseArrived { model, count: 1 });
        }
        for (name, load) in state.loads.read(&upstreams).await {
            state.report_load(&name, &load);
            state.reports.insert(name, load);
        }
    }

    async fn execute(&self, state: &mut PlanningState, action: FleetAction) {
        match action {
            FleetAction::ChangeRole { engine, role } => {
                let change = EngineChange::ChangeRole(role);
                self.change_engine(state, engine, change).await;
            }
            FleetAction::LoadModel { engine, model } => {
                let change = EngineChange::LoadModel(model);
                self.change_engine(state, engine, change).await;
            }
            FleetAction::OrderUpstreams {
                model,
                supply,
                count,
            } => {
                let requested = state.writer.request_purchase(&model, supply, count).await;
                if requested.is_err_and(|error| !error.is_ambiguous()) {
                    state.send_event(FleetEvent::PurchaseFailed { model, count });
                }
            }
            FleetAction::ReleaseUpstream { engine } => {
                if let Some(name) = state.index.name(engine)
                    && let Err(error) = state.writer.request_release(name).await
                {
                    tracing::debug!(%error, %name, "failed to request the release of an upstream");
                }
            }
        }
    }

    async fn change_engine(
        &self,
        state: &mut PlanningState,
        engine: UpstreamKey,
        change: EngineChange,
    ) {
        let Some(name) = state.index.name(engine).cloned() else {
            return;
        };
        let load = state.reports.get(&name);
        let recorder = &self.context.recorder;
        recorder.change_planned(&name, state.epoch, &change, load);
        state.writer.change_engine(&name, change).await;
    }
}

impl PlanningState {
    fn now(&self) -> Timestamp {
        Timestamp::default() + self.start.elapsed()
    }

    fn send_event(&mut self, event: FleetEvent) {
        let now = self.now();
        self.policy.handle(now, event, &mut self.actions);
    }

    fn report_load(&mut self, name: &UpstreamName, load: &EngineLoad) {
        let Some(engine) = self.index.key(name) else {
            return;
        };
        let measured_at = self.now() - Duration::from_millis(load.age_ms);
        let report = LoadReport {
            prefill_backlog_tokens: load.prefill_backlog_tokens,
            active_streams: load.active_streams,
            kv_used: load.kv_used,
        };
        self.send_event(FleetEvent::LoadReported {
            engine,
            measured_at,
            report,
        });
    }
}
