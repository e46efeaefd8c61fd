//! Events that the fleet policy handles and actions that it returns.

use crate::{LoadReport, Timestamp, UpstreamKey};
use lagoonlift_types::{DataCentreName, ModelName, Supply, UpstreamName, UpstreamRole};
use std::collections::BTreeSet;
use std::time::Duration;

/// Properties of an engine, in any data centre, that the fleet policy uses.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    /// Name of the engine.
    pub name: UpstreamName,
    /// Data centre of the engine.
    pub data_centre: DataCentreName,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Other models that the engine can load.
    pub loadable_models: BTreeSet<ModelName>,
    /// Current role of the engine.
    pub role: UpstreamRole,
    /// Whether the engine is reserved or reclaimable.
    pub supply: Supply,
    /// Whether the engine serves requests.
    pub state: EngineState,
    /// Whether the engine was purchased in addition to the configured fleet and
    /// may therefore be released.
    pub is_purchased: bool,
}

/// State of an engine as seen by the fleet policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts requests.
    Serving,
    /// The engine drains for an order, such as a role change or a model load, or
    /// carries one out.
    Changing,
    /// The engine finishes its streams and then shuts down.
    Leaving,
    /// The engine doesn't respond.
    Unreachable,
}

/// Demand for one model, summed over the entry processes that report to the
/// steward.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// Model that the requests ask for.
    pub model: ModelName,
    /// Time over which arrivals were summed.
    pub interval: Duration,
    /// Prompt tokens of the requests that arrived in the interval.
    pub prompt_tokens: u64,
    /// Expected output tokens of the requests that arrived in the interval.
    pub output_tokens: u64,
    /// Prompt tokens of the requests queued in the entry processes now.
    pub waiting_prompt_tokens: u64,
    /// Expected output tokens of the requests queued in the entry processes now.
    pub waiting_output_tokens: u64,
}

/// Outcome of an order to an engine. The policy handles both outcomes alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine carried the order out.
    Done,
    /// The engine failed to carry the order out, or refused it.
    Failed,
}

/// An event that the fleet policy handles.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// An engine reported its load.
    LoadReported {
        /// Engine that sent the report.
        engine: UpstreamKey,
        /// Time at which the load was measured.
        measured_at: Timestamp,
        /// Measured load.
        report: LoadReport,
    },
    /// The entry processes reported demand.
    DemandReported {
        /// Time at which the demand was measured.
        measured_at: Timestamp,
        /// Measured demand.
        report: DemandReport,
    },
    /// An order to an engine ended, such as a role change or a model load.
    /// Purchases of upstreams end with [`FleetEvent::PurchaseArrived`] or
    /// [`FleetEvent::PurchaseFailed`] instead.
    ///
    /// The engine then counts as one without an open order, and its minimum time
    /// between role changes starts again. The event may also be sent for an order
    /// of another steward. The engine's facts must be updated before the next
    /// tick, before or after this event.
    OrderFinished {
        /// Engine that the order was sent to.
        engine: UpstreamKey,
        /// Outcome of the order.
        end: OrderEnd,
    },
    /// Purchased upstreams were delivered. They must be added as engines
    /// separately.
    PurchaseArrived {
        /// Model that the upstreams serve.
        model: ModelName,
        /// Number of upstreams delivered.
        count: u32,
    },
    /// A purchase of upstreams was refused or abandoned.
    PurchaseFailed {
        /// Model that the upstreams were to serve.
        model: ModelName,
        /// Number of upstreams that won't be delivered.
        count: u32,
    },
    /// Time passed. The policy makes decisions only on ticks; one tick per second
    /// is enough.
    Tick,
}

/// A change to the fleet of the policy's own data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Drain the engine, then order it to change its role.
    ChangeRole {
        /// Engine to change.
        engine: UpstreamKey,
        /// New role.
        role: UpstreamRole,
    },
    /// Drain the engine, then order it to serve another model.
    LoadModel {
        /// Engine that loads the model.
        engine: UpstreamKey,
        /// Model to load.
        model: ModelName,
    },
    /// Order additional upstreams: a purchase from the platform, which delivers
    /// them minutes later. This isn't an order to an engine.
    OrderUpstreams {
        /// Model that the upstreams are to serve.
        model: ModelName,
        /// Whether to order reserved or reclaimable upstreams.
        supply: Supply,
        /// Number of upstreams to order.
        count: u32,
    },
    /// Drain a purchased engine and release it.
    ReleaseUpstream {
        /// Engine to release.
        engine: UpstreamKey,
    },
}
