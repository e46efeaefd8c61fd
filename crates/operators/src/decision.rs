//! One decision, on what evidence, by whom.
//!
//! The types hold names, numbers and closed sets only: there is no field that a
//! key or a prompt could get into.

use lagoonlift_types::{
    Epoch, ModelName, NotRunReason, OutcomeKind, ProcessId, RequestId, Revision, UpstreamName,
    UpstreamRole, WindowId, WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a decision is about. Each name that is set finds the decision again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionSubject {
    /// The request.
    pub request: Option<RequestId>,
    /// The workspace that pays.
    pub workspace: Option<WorkspaceName>,
    /// The upstream that gets the request or the order.
    pub upstream: Option<UpstreamName>,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionStep {
    /// The request passed the key check and the limits.
    Admitted,
    /// The request waits for an upstream.
    Queued,
    /// The request was sent to the upstream.
    Dispatched {
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Priority for the engine's own queue; lower goes first.
        priority: u8,
    },
    /// The request was refused; nothing of it was sent by this decision.
    Refused {
        /// Why.
        reason: NotRunReason,
    },
    /// The request ended.
    Ended {
        /// What became of it.
        outcome: OutcomeKind,
    },
    /// The engine is to change its role.
    RoleChange {
        /// The role it is to have.
        role: UpstreamRole,
    },
    /// The engine is to load a model.
    ModelLoad {
        /// The model.
        model: ModelName,
    },
    /// The engine is to load an adapter.
    AdapterLoad {
        /// The adapter.
        adapter: String,
    },
    /// The engine is to load another version of its model.
    VersionLoad {
        /// The version.
        version: String,
    },
    /// The engine stays as it is, although a change was weighed.
    Held {
        /// Why.
        reason: HoldReason,
    },
    /// The order to the engine ended.
    OrderEnded {
        /// Whether the engine did what it was told.
        succeeded: bool,
    },
    /// The upstream gets no new work and finishes its streams.
    Draining,
    /// The process took its data centre's lease.
    LeaseTaken,
    /// The process gave up its data centre's lease, or could not renew it.
    LeaseLost,
    /// More upstreams were ordered.
    UpstreamsOrdered {
        /// How many.
        count: u32,
    },
    /// An ordered upstream was given back.
    UpstreamReturned,
    /// A usage window's figures were recorded for good.
    WindowSealed {
        /// The window.
        window: WindowId,
    },
    /// A sealed usage window was reported to the platform.
    WindowReported {
        /// The window.
        window: WindowId,
    },
}

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// The engines' reports are too old to decide on.
    StaleReports,
    /// The gain doesn't pay for the seconds away.
    #[serde(rename = "too-dear")]
    TooCostly,
    /// Enough of the fleet is away already.
    #[serde(rename = "enough-away")]
    EnoughUnavailable,
    /// Another order to the engine is open.
    OrderOpen,
    /// The engine ignores fencing and the former holder may still send orders.
    FormerHolder,
}

/// A fact that a decision rests on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// An operator asked for it, under this identifier.
    Requested(String),
    /// The steward's plan asked for it, under this identifier.
    Planned(String),
    /// Time left until the deadline.
    TimeLeft(Duration),
    /// Whether the request may run more than once.
    Idempotent(bool),
    /// Requests of this process that the upstream is working on.
    InFlight(u32),
    /// The engine's last report of its load.
    Load {
        /// Tokens of prompts that waited to be read.
        prefill_backlog_tokens: u64,
        /// Streams that were generating.
        active_streams: u32,
        /// Age of the report.
        age: Duration,
    },
    /// The upstream is believed to hold the prompt's beginning in its cache.
    PrefixHeld,
    /// Requests that waited in this process's queue.
    QueueLength(u32),
    /// An upstream that was passed over because it had failed the request.
    Avoided(UpstreamName),
    /// Tokens that the caller had already got.
    TokensDelivered(u64),
    /// Share of prefill in the work of the last reports, 0 to 1.
    PrefillShare(f32),
    /// Share of prefill that is expected, 0 to 1.
    ExpectedPrefillShare(f32),
    /// Engines of the data centre that were away.
    #[serde(rename = "engines-away")]
    EnginesUnavailable(u32),
}

/// By whose authority a decision was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionAuthority {
    /// The process that decided.
    pub holder: ProcessId,
    /// Epoch of the lease that it held; `None` where no lease is needed.
    pub epoch: Option<Epoch>,
    /// Revision of the configuration that it went by.
    pub revision: Revision,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// What it is about.
    pub subject: DecisionSubject,
    /// What was decided.
    pub step: DecisionStep,
    /// What it rests on.
    pub evidence: Vec<Evidence>,
    /// Who decided.
    pub authority: DecisionAuthority,
}
