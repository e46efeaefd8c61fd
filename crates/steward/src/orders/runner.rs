//! Performs the actions of the order state machine for one engine.

use super::{
    OrderAction, OrderConfig, OrderEvent, OrderRecord, OrderResult, OrderStateMachine, OrderStatus,
    OutstandingSends, SendOutcome, StoreFailure, StoredOrder,
};
use crate::counters::StewardCounters;
use crate::explain::DecisionRecorder;
use crate::fleet::{FleetActor, Observe, OverrideAvailability};
use crate::lease::Authority;
use lagoonlift_operators::Evidence;
use lagoonlift_platform::wire::WeightRequest;
use lagoonlift_platform::{PlatformClient, PlatformError, Version};
use lagoonlift_types::{Availability, DataCentreName, Epoch, UpstreamName};
use lagoonlift_upstreams::{
    ConnectionUse, EngineChange, EngineClient, EngineOrder, OrderError, OrderProgress,
};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};
use xtra::Address;

/// Timeout of each call to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Polling interval for orders and drains, and delay after a failed call.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polling interval for the status of an engine without an open order.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A requested change of an engine.
#[derive(Clone, Debug)]
pub(crate) struct RequestedChange {
    /// Unique identifier of the order.
    pub(crate) id: String,
    pub(crate) change: EngineChange,
    /// Whether the request comes from the planner.
    pub(crate) is_planned: bool,
}

/// State and connections that all runners share.
#[derive(Clone)]
pub(crate) struct RunnerContext {
    pub(crate) data_centre: DataCentreName,
    pub(crate) client: PlatformClient,
    pub(crate) authority: Authority,
    pub(crate) fleet: Address<FleetActor>,
    pub(crate) outstanding: OutstandingSends,
    /// The epoch in which every earlier holder is resolved.
    pub(crate) handover: watch::Receiver<Option<Epoch>>,
    /// Channel to which orders are sent after their result has been recorded.
    pub(crate) ended: mpsc::Sender<(UpstreamName, OrderRecord)>,
    /// Time until every reachable entry process knows that an engine is draining.
    pub(crate) propagation_time: Duration,
    pub(crate) counters: StewardCounters,
    pub(crate) recorder: DecisionRecorder,
}

/// Executes the orders to one engine.
pub(crate) struct EngineRunner {
    context: RunnerContext,
    upstream: UpstreamName,
    engine: EngineClient,
    machine: OrderStateMachine,
    requested: mpsc::Receiver<RequestedChange>,
    availability_override: Option<Availability>,
    /// The order for which the platform has granted permission to read the weights.
    weights_granted_for: Option<String>,
}

impl EngineRunner {
    pub(crate) fn new(
        context: RunnerContext,
        upstream: UpstreamName,
        engine: EngineClient,
        config: OrderConfig,
        requested: mpsc::Receiver<RequestedChange>,
    ) -> Self {
        Self {
            context,
            upstream,
            engine,
            machine: OrderStateMachine::new(config),
            requested,
            availability_override: None,
            weights_granted_for: None,
        }
    }

    /// Runs until dropped.
    pub(crate) async fn run(mut self) {
        let mut authority = self.context.authority.clone();
        loop {
            let epoch = tokio::select! {
                epoch = authority.wait_for_grant() => epoch,
                () = self.resolve_outstanding() => continue,
            };
            self.machine.handle(OrderEvent::LeaseGranted(epoch));
            tokio::select! {
                () = authority.wait_for_end(epoch) => {}
                () = self.serve(epoch) => {}
            }
            self.machine.handle(OrderEvent::LeaseEnded);
            self.update_availability().await;
        }
    }

    /// Queries the engine until it confirms the order whose response was lost. Never
    /// returns if there is no such order.
    async fn resolve_outstanding(&self) {
        let Some(id) = self.context.outstanding.get(&self.upstream) else {
            return std::future::pending().await;
        };
        while !matches!(
            self.status(&id).await,
            OrderStatus::Running | OrderStatus::Ended(_)
        ) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Performs actions until the lease ends.
    async fn serve(&mut self, epoch: Epoch) {
        self.observe().await;
        while self.context.authority.holds(epoch) {
            if *self.context.handover.borrow() == Some(epoch) {
                self.machine.handle(OrderEvent::HandoverComplete);
            }
            self.update_availability().await;
            match self.machine.action() {
                Some(action) => self.take_step(epoch, action).await,
                None => self.wait_for_work().await,
            }
        }
    }

    async fn take_step(&mut self, epoch: Epoch, action: OrderAction) {
        if let OrderAction::Send(order) = &action
            && !self.acquire_weights(&order.id, &order.change).await
        {
            return;
        }
        let Some(event) = self.perform(epoch, action.clone()).await else {
            return;
        };
        self.machine.handle(event);
        if self.machine.action() == Some(action) {
            sleep(POLL_INTERVAL).await;
        }
        if let Some(record) = self.machine.take_ended() {
            self.context.recorder.order_ended(&self.upstream, &record);
            self.observe().await;
            // The dispatcher runs as long as the process.
            let _ = self
                .context
                .ended
                .send((self.upstream.clone(), record))
                .await;
        }
    }

    /// Requests the platform's permission for the engine to read the model's weights,
    /// once for each order that loads a model. Returns `true` if it was granted or isn't
    /// needed. Otherwise waits until the request may be retried and returns `false`.
    async fn acquire_weights(&mut self, id: &str, change: &EngineChange) -> bool {
        let EngineChange::LoadModel(model) = change else {
            return true;
        };
        if self.weights_granted_for.as_deref() == Some(id) {
            return true;
        }
        let request = WeightRequest {
            model: model.to_string(),
            upstream: self.upstream.to_string(),
        };
        let wait = match self.context.client.acquire_weights(&request).await {
            Ok(_) => {
                self.weights_granted_for = Some(id.to_owned());
                return true;
            }
            Err(PlatformError::RateLimited { retry_after }) => retry_after,
            Err(_) => POLL_INTERVAL,
        };
        sleep(wait).await;
        false
    }

    /// Performs one call. Returns `None` if the lease ended before a send.
    async fn perform(&self, epoch: Epoch, action: OrderAction) -> Option<OrderEvent> {
        let event = match action {
            OrderAction::Read => OrderEvent::ReadCompleted(self.read().await),
            OrderAction::Write { record, condition } => {
                OrderEvent::WriteCompleted(self.write(&record, condition).await)
            }
            OrderAction::Drain => {
                self.drain().await;
                OrderEvent::Drained
            }
            OrderAction::QueryStatus { id } => OrderEvent::StatusReceived(self.status(&id).await),
            OrderAction::Send(order) => OrderEvent::SendCompleted(self.send(epoch, &order).await?),
        };
        Some(event)
    }

    async fn read(&self) -> Result<Option<StoredOrder>, StoreFailure> {
        let key = OrderRecord::key(&self.context.data_centre, &self.upstream);
        let read = self.context.client.get_as(&key).await;
        let stored = |(record, version)| StoredOrder { record, version };
        read.map(|found| found.map(stored)).map_err(failure)
    }

    async fn write(
        &self,
        record: &OrderRecord,
        condition: Option<Version>,
    ) -> Result<Version, StoreFailure> {
        let key = OrderRecord::key(&self.context.data_centre, &self.upstream);
        let client = &self.context.client;
        let written = match condition {
            Some(version) => client.update(&key, record, version).await,
            None => client.create(&key, record).await,
        };
        written.map_err(failure)
    }

    /// Waits until every reachable entry process knows that the engine is draining
    /// and its streams have ended.
    async fn drain(&self) {
        let propagated_at = Instant::now() + self.context.propagation_time;
        loop {
            let load = self.engine.load(ConnectionUse::Fresh, ENGINE_TIMEOUT).await;
            let is_empty = load.is_ok_and(|load| load.active_streams == 0);
            if is_empty && Instant::now() > propagated_at {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn status(&self, id: &str) -> OrderStatus {
        let status = match self.engine.order_progress(id, ENGINE_TIMEOUT).await {
            Ok(Some(OrderProgress::Running)) => OrderStatus::Running,
            Ok(Some(OrderProgress::Done)) => OrderStatus::Ended(OrderResult::Done),
            Ok(Some(OrderProgress::Failed)) => OrderStatus::Ended(OrderResult::Failed),
            Ok(None) => return OrderStatus::Unknown,
            Err(_) => return OrderStatus::NoResponse,
        };
        self.context.outstanding.resolve(&self.upstream, id);
        status
    }

    /// Sends the order. Returns `None` if this process no longer holds the lease.
    async fn send(&self, epoch: Epoch, order: &EngineOrder) -> Option<SendOutcome> {
        let (outstanding, upstream) = (&self.context.outstanding, &self.upstream);
        let is_first = outstanding.record_send(upstream, &order.id);
        if !self.context.authority.holds(epoch) {
            if is_first {
                outstanding.resolve(upstream, &order.id);
            }
            return None;
        }
        self.context.counters.orders_sent.add(1, &[]);
        let outcome = match self.engine.send_order(order, ENGINE_TIMEOUT).await {
            Ok(()) => SendOutcome::Accepted,
            Err(OrderError::StaleFencing) => SendOutcome::StaleFencing,
            Err(OrderError::AnotherOpen) => SendOutcome::AnotherOpen,
            Err(OrderError::Refused(_)) => SendOutcome::Refused,
            Err(OrderError::NotSent(_)) => SendOutcome::NotSent,
            Err(OrderError::OutcomeUnknown(_)) => SendOutcome::OutcomeUnknown,
        };
        match outcome {
            // The engine knows the order now, so another copy has no effect.
            SendOutcome::Accepted => outstanding.resolve(upstream, &order.id),
            SendOutcome::OutcomeUnknown => {}
            _ if is_first => outstanding.resolve(upstream, &order.id),
            _ => {}
        }
        Some(outcome)
    }

    async fn wait_for_work(&mut self) {
        let mut handover = self.context.handover.clone();
        tokio::select! {
            Some(requested) = self.requested.recv() => self.handle_request(requested).await,
            _ = handover.changed() => {}
            () = sleep(IDLE_POLL_INTERVAL) => self.observe().await,
        }
    }

    /// Passes a requested change to the state machine. The engine stays in service
    /// until the platform permits it to read the weights that the change needs.
    async fn handle_request(&mut self, requested: RequestedChange) {
        let RequestedChange {
            id,
            change,
            is_planned,
        } = requested;
        while !self.acquire_weights(&id, &change).await {}
        let evidence = match is_planned {
            true => Evidence::Planned(id.clone()),
            false => Evidence::Requested(id.clone()),
        };
        let requested_change = change.clone();
        self.machine
            .handle(OrderEvent::ChangeRequested { id, change });
        // There is no action if the request has already been executed.
        if self.machine.action().is_some() {
            let epoch = self.context.authority.epoch();
            let recorder = &self.context.recorder;
            recorder.order_requested(&self.upstream, epoch, evidence, &requested_change);
        }
    }

    async fn observe(&self) {
        let status = self.engine.status(ENGINE_TIMEOUT).await;
        let observe = Observe {
            upstream: self.upstream.clone(),
            role: status.ok().map(|status| status.role),
        };
        // The fleet actor runs as long as the process.
        let _ = self.context.fleet.send(observe).await;
    }

    async fn update_availability(&mut self) {
        let new_override = self.machine.availability_override();
        if new_override == self.availability_override {
            return;
        }
        self.availability_override = new_override;
        let message = OverrideAvailability {
            upstream: self.upstream.clone(),
            availability: new_override,
        };
        // The fleet actor runs as long as the process.
        let _ = self.context.fleet.send(message).await;
    }
}

fn failure(error: PlatformError) -> StoreFailure {
    match error.is_ambiguous() {
        true => StoreFailure::OutcomeUnknown,
        false => StoreFailure::NotApplied,
    }
}
