//! What goes into the fleet policy and what comes out of it.

use crate::{LoadReport, Timestamp, UpstreamKey};
use lagoonlift_types::{DataCentreName, ModelName, Supply, UpstreamName, UpstreamRole};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the fleet policy has to know of an engine, in any data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    /// Its name.
    pub name: UpstreamName,
    /// The data centre it stands in.
    pub data_centre: DataCentreName,
    /// The model that it serves now.
    pub model: ModelName,
    /// Models that it could load instead.
    pub loadable_models: BTreeSet<ModelName>,
    /// Its present role.
    pub role: UpstreamRole,
    /// How it was bought.
    pub supply: Supply,
    /// Whether it serves.
    pub state: EngineState,
    /// Whether it was ordered beyond the configured fleet, and may be released.
    pub is_purchased: bool,
}

/// Whether an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// Takes work.
    Serving,
    /// Drains for an order, or carries one out.
    Changing,
    /// Finishes its streams and goes.
    Leaving,
    /// Doesn't answer.
    Unreachable,
}

/// What callers asked of one model, summed over the entry processes that the
/// steward hears.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// The model.
    pub model: ModelName,
    /// Over how long the following sums were taken.
    pub interval: Duration,
    /// Prompt tokens of the requests that arrived.
    pub prompt_tokens: u64,
    /// Output tokens that these requests are expected to need.
    pub output_tokens: u64,
    /// Prompt tokens of the requests that wait at the entry now.
    pub waiting_prompt_tokens: u64,
    /// Expected output tokens of the requests that wait at the entry now.
    pub waiting_output_tokens: u64,
}

/// How an order to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine carried it out.
    Done,
    /// The engine failed it, or refused it.
    Failed,
}

/// What happened to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// An engine reported its load.
    LoadReported {
        /// The engine.
        engine: UpstreamKey,
        /// When the report was true.
        measured_at: Timestamp,
        /// The report.
        report: LoadReport,
    },
    /// The entry processes reported demand.
    DemandReported {
        /// When the report was true.
        measured_at: Timestamp,
        /// The report.
        report: DemandReport,
    },
    /// An order of ours ended; update the engine's facts before.
    OrderFinished {
        /// The engine.
        engine: UpstreamKey,
        /// How.
        end: OrderEnd,
    },
    /// Ordered upstreams were delivered; add them as engines besides.
    PurchaseArrived {
        /// Their model.
        model: ModelName,
        /// How many.
        count: u32,
    },
    /// A purchase was refused or given up.
    PurchaseFailed {
        /// The model.
        model: ModelName,
        /// How many won't come.
        count: u32,
    },
    /// Time passed. Decisions are taken on ticks only; one a second is enough.
    Tick,
}

/// What is to be done to the fleet of the policy's own data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Drain the engine, then order it to change its role.
    ChangeRole {
        /// The engine.
        engine: UpstreamKey,
        /// Its new role.
        role: UpstreamRole,
    },
    /// Drain the engine, then order it to serve another model.
    LoadModel {
        /// The engine.
        engine: UpstreamKey,
        /// The model.
        model: ModelName,
    },
    /// Order upstreams; they arrive minutes later.
    OrderUpstreams {
        /// The model that they are to serve.
        model: ModelName,
        /// How to buy them.
        supply: Supply,
        /// How many.
        count: u32,
    },
    /// Drain an ordered engine and give it back.
    ReleaseUpstream {
        /// The engine.
        engine: UpstreamKey,
    },
}
