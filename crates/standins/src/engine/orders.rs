//! Orders to an engine: change of role, loading of models and adapters.

use lagoonlift_types::{Epoch, FencingSupport, ModelName, UpstreamRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineChange {
    /// Take another role.
    ChangeRole(UpstreamRole),
    /// Load a model.
    LoadModel(ModelName),
    /// Load an adapter.
    LoadAdapter(String),
    /// Load another version of the present model.
    LoadVersion(String),
}

/// An order as it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Chosen by the sender; a repeat with the same identifier is the same order.
    pub id: String,
    /// The sender's fencing number.
    pub fencing: Epoch,
    /// What to change.
    pub change: EngineChange,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderState {
    /// Being carried out.
    Running,
    /// Carried out.
    Done,
    /// Given up, for instance because the engine crashed.
    Failed,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The role it has now.
    pub role: UpstreamRole,
    /// Models that are loaded.
    pub models: BTreeSet<ModelName>,
    /// Adapters that are loaded.
    pub adapters: BTreeSet<String>,
    /// Version of the model.
    pub version: String,
    /// Highest fencing number seen.
    pub epoch: Epoch,
    /// The order being carried out.
    pub open_order: Option<String>,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OrderRefusal {
    /// Its fencing number is older than one seen before.
    StaleFencing,
    /// Another order is being carried out.
    AnotherOpen,
}

/// The orders of one engine. Clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct OrderBook(Arc<Mutex<OrderBookState>>);

#[derive(Debug)]
struct OrderBookState {
    engine: EngineState,
    fencing: FencingSupport,
    orders: BTreeMap<String, OrderState>,
    accepted: Vec<Order>,
}

impl OrderBook {
    pub(crate) fn new(
        role: UpstreamRole,
        models: BTreeSet<ModelName>,
        fencing: FencingSupport,
    ) -> Self {
        Self(Arc::new(Mutex::new(OrderBookState {
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

    /// Every order that was accepted, in order of acceptance.
    pub(crate) fn accepted(&self) -> Vec<Order> {
        self.lock().accepted.clone()
    }

    /// Takes an order in and carries it out after `takes`.
    pub(crate) fn submit(&self, order: Order, takes: Duration) -> Result<(), OrderRefusal> {
        self.accept(&order)?;
        let book = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(takes).await;
            book.complete(&order);
        });
        Ok(())
    }

    /// Ends the open order as failed, as a crash does.
    pub(crate) fn fail_open(&self) {
        let mut state = self.lock();
        if let Some(id) = state.engine.open_order.take() {
            state.orders.insert(id, OrderState::Failed);
        }
    }

    fn accept(&self, order: &Order) -> Result<(), OrderRefusal> {
        let mut state = self.lock();
        let stale = order.fencing < state.engine.epoch;
        match (&state.engine.open_order, state.fencing) {
            _ if state.orders.contains_key(&order.id) => {
                state.engine.epoch = state.engine.epoch.max(order.fencing);
                Ok(())
            }
            (_, FencingSupport::Checked) if stale => Err(OrderRefusal::StaleFencing),
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

    fn lock(&self) -> MutexGuard<'_, OrderBookState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
