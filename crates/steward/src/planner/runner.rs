//! The planner's loop: look, tell the policy, write what it wants.

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

/// Time between two looks at the fleet.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// What a planner is made of.
pub(crate) struct PlanParts {
    pub(crate) data_centre: DataCentreName,
    pub(crate) weighting: FleetWeighting,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) upstreams: watch::Receiver<Arc<FleetUpstreams>>,
    pub(crate) store: Arc<ConfigurationStore>,
    pub(crate) recorder: DecisionRecorder,
}

/// Plans for one data centre while this steward holds the lease.
pub(crate) struct PlanRunner {
    parts: PlanParts,
}

/// What is known under one epoch.
struct PlanRound {
    epoch: Epoch,
    start: Instant,
    policy: FleetPolicy,
    index: EngineIndex,
    loads: LoadReader,
    writer: RequestWriter,
    reports: BTreeMap<UpstreamName, EngineLoad>,
    actions: Vec<FleetAction>,
}

impl PlanRunner {
    pub(crate) fn new(parts: PlanParts) -> Self {
        Self { parts }
    }

    /// Runs until dropped.
    pub(crate) async fn run(self) {
        let mut authority = self.parts.authority.clone();
        loop {
            let epoch = authority.granted().await;
            tokio::select! {
                () = self.plan(epoch) => {}
                () = authority.ended(epoch) => {}
            }
        }
    }

    async fn plan(&self, epoch: Epoch) {
        let mut round = self.start_round(epoch);
        let mut ticks = interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        while self.parts.authority.holds(epoch) {
            ticks.tick().await;
            self.observe(&mut round).await;
            round.tell(FleetEvent::Tick);
            for action in std::mem::take(&mut round.actions) {
                self.carry_out(&mut round, action).await;
            }
        }
    }

    fn start_round(&self, epoch: Epoch) -> PlanRound {
        let data_centre = self.parts.data_centre.clone();
        let configuration = self.parts.store.current();
        let capacity = configuration.data_centres.get(&data_centre);
        let limits = FleetLimits {
            order_limit: capacity.map_or(0, |capacity| capacity.order_limit),
            ..FleetLimits::new(self.parts.weighting)
        };
        PlanRound {
            epoch,
            start: Instant::now(),
            policy: FleetPolicy::new(data_centre.clone(), limits),
            index: EngineIndex::new(data_centre.clone()),
            loads: LoadReader::new(),
            writer: RequestWriter::new(data_centre, self.parts.client.clone()),
            reports: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Tells the policy what has changed since the last look.
    async fn observe(&self, round: &mut PlanRound) {
        // Without the platform nothing can be requested, so nothing that was
        // requested counts as ended either.
        let ended = round.writer.take_ended().await.unwrap_or_default();
        let upstreams = Arc::clone(&self.parts.upstreams.borrow());
        let configuration = self.parts.store.current();
        let arrived = round.index.update(
            &mut round.policy,
            &upstreams,
            &configuration,
            round.writer.open(),
        );
        for name in ended {
            if let Some(engine) = round.index.key(&name) {
                let end = OrderEnd::Done;
                round.tell(FleetEvent::OrderFinished { engine, end });
            }
        }
        for facts in arrived {
            let model = facts.model;
            round.tell(FleetEvent::PurchaseArrived { model, count: 1 });
        }
        for (name, load) in round.loads.read(&upstreams).await {
            round.tell_load(&name, &load);
            round.reports.insert(name, load);
        }
    }

    async fn carry_out(&self, round: &mut PlanRound, action: FleetAction) {
        match action {
            FleetAction::ChangeRole { engine, role } => {
                let change = EngineChange::ChangeRole(role);
                self.change_engine(round, engine, change).await;
            }
            FleetAction::LoadModel { engine, model } => {
                let change = EngineChange::LoadModel(model);
                self.change_engine(round, engine, change).await;
            }
            FleetAction::OrderUpstreams {
                model,
                supply,
                count,
            } => {
                let ordered = round.writer.order_upstreams(&model, supply, count).await;
                if ordered.is_err_and(|error| !error.is_ambiguous()) {
                    round.tell(FleetEvent::PurchaseFailed { model, count });
                }
            }
            FleetAction::ReleaseUpstream { engine } => {
                if let Some(name) = round.index.name(engine)
                    && let Err(error) = round.writer.release_upstream(name).await
                {
                    tracing::debug!(%error, %name, "an upstream can't be released now");
                }
            }
        }
    }

    async fn change_engine(
        &self,
        round: &mut PlanRound,
        engine: UpstreamKey,
        change: EngineChange,
    ) {
        let Some(name) = round.index.name(engine).cloned() else {
            return;
        };
        let load = round.reports.get(&name);
        let recorder = &self.parts.recorder;
        recorder.change_planned(&name, round.epoch, &change, load);
        round.writer.change_engine(&name, change).await;
    }
}

impl PlanRound {
    fn now(&self) -> Timestamp {
        Timestamp::default() + self.start.elapsed()
    }

    fn tell(&mut self, event: FleetEvent) {
        let now = self.now();
        self.policy.handle(now, event, &mut self.actions);
    }

    fn tell_load(&mut self, name: &UpstreamName, load: &EngineLoad) {
        let Some(engine) = self.index.key(name) else {
            return;
        };
        let measured_at = self.now() - Duration::from_millis(load.age_ms);
        let report = LoadReport {
            prefill_backlog_tokens: load.prefill_backlog_tokens,
            active_streams: load.active_streams,
            kv_used: load.kv_used,
        };
        self.tell(FleetEvent::LoadReported {
            engine,
            measured_at,
            report,
        });
    }
}
