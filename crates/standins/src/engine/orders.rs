//! Orders to an engine: role changes and loading of models and adapters.

use lagoonlift_types::{Epoch, FencingSupport, ModelName, UpstreamRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineChange {
    /// Change to this role.
    ChangeRole(UpstreamRole),
    /// Load a model.
    LoadModel(ModelName),
    /// Load an adapter.
    LoadAdapter(String),
    /// Load another version of the current model.
    LoadVersion(String),
}

/// An order as received from a steward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier chosen by the sender. A retry carries the same identifier and is
    /// not executed again.
    pub id: String,
    /// The sender's fencing token.
    pub fencing: Epoch,
    /// The change to make.
    pub change: EngineChange,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderState {
    /// The engine is executing the order.
    Running,
    /// The order was executed.
    Done,
    /// The order ended without being executed, for instance because the engine
    /// crashed.
    Failed,
}

/// The state that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Current role.
    pub role: UpstreamRole,
    /// Models that are loaded.
    pub models: BTreeSet<ModelName>,
    /// Adapters that are loaded.
    pub adapters: BTreeSet<String>,
    /// Version of the model.
    pub version: String,
    /// Highest fencing token received.
    pub epoch: Epoch,
    /// Identifier of the order that is being executed.
    pub open_order: Option<String>,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OrderRefusal {
    /// The order's fencing token is lower than one received before.
    StaleFencing,
    /// Another order is being executed.
    AnotherOpen,
}

/// The orders of one engine. Clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct OrderRegistry(Arc<Mutex<OrderRegistryState>>);

#[derive(Debug)]
struct OrderRegistryState {
    engine: EngineState,
    fencing: FencingSupport,
    orders: BTreeMap<String, OrderState>,
    accepted: Vec<Order>,
}

impl OrderRegistry {
    pub(crate) fn new(
        role: UpstreamRole,
        models: BTreeSet<ModelName>,
        fencing: FencingSupport,
    ) -> Self {
        Self(Arc::new(Mutex::new(OrderRegistryState {
            engine: EngineState {
                role,
                models,
                adapters: BTreeSet::new(),
                version: "1".to_owned(),
                epoch: Epoch(0),
                open_order: None,
            },
            fencing,
            orders: BTreeMap::new(),
            accepted: Vec::new(),
        })))
    }

    pub(crate) fn engine(&self) -> EngineState {
        self.lock().engine.clone()
    }

    pub(crate) fn state_of(&self, id: &str) -> Option<OrderState> {
        self.lock().orders.get(id).copied()
    }

    /// Returns every accepted order, oldest first.
    pub(crate) fn accepted(&self) -> Vec<Order> {
        self.lock().accepted.clone()
    }

    /// Accepts an order and applies its change after `duration`.
    pub(crate) fn submit(&self, order: Order, duration: Duration) -> Result<(), OrderRefusal> {
        self.accept(&order)?;
        let registry = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            registry.complete(&order);
        });
        Ok(())
    }

    /// Marks the open order as failed, as a crash does.
    pub(crate) fn fail_open(&self) {
        let mut state = self.lock();
        if let Some(id) = state.engine.open_order.take() {
            state.orders.insert(id, OrderState::Failed);
        }
    }

    fn accept(&self, order: &Order) -> Result<(), OrderRefusal> {
        let mut state = self.lock();
        let is_stale = order.fencing < state.engine.epoch;
        match (&state.engine.open_order, state.fencing) {
            _ if state.orders.contains_key(&order.id) => {
                state.engine.epoch = state.engine.epoch.max(order.fencing);
                Ok(())
            }
            (_, FencingSupport::Checked) if is_stale => Err(OrderRefusal::StaleFencing),
            (Some(_), _) => Err(OrderRefusal::AnotherOpen),
            (None, _) => {
                state.engine.epoch = state.engine.epoch.max(order.fencing);
                state.engine.open_order = Some(order.id.clone());
                state.orders.insert(order.id.clone(), OrderState::Running);
                state.accepted.push(order.clone());
                Ok(())
            }
        }
    }

    fn complete(&self, order: &Order) {
        let mut state = self.lock();
        if state.engine.open_order.as_ref() != Some(&order.id) {
            return;
        }
        state.engine.open_order = None;
        state.orders.insert(order.id.clone(), OrderState::Done);
        match &order.change {
            EngineChange::ChangeRole(role) => state.engine.role = *role,
            EngineChange::LoadModel(model) => {
                state.engine.models.insert(model.clone());
            }
            EngineChange::LoadAdapter(adapter) => {
                state.engine.adapters.insert(adapter.clone());
            }
            EngineChange::LoadVersion(version) => state.engine.version = version.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, OrderRegistryState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
