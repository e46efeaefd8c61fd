//! A decision of a process, with its evidence and its authority.
//!
//! The types hold only names, numbers and enums, so that neither a key nor a
//! prompt can end up in the log.

use lagoonlift_types::{
    Epoch, ModelName, NotRunReason, OutcomeKind, ProcessId, RequestId, Revision, UpstreamName,
    UpstreamRole, WindowId, WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a decision is about. An explain query finds the decision by any of the
/// fields that are set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionSubject {
    /// The request.
    pub request: Option<RequestId>,
    /// The workspace whose usage the request counts towards.
    pub workspace: Option<WorkspaceName>,
    /// The upstream that receives the request or the order.
    pub upstream: Option<UpstreamName>,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionStep {
    /// The request passed the key check and the rate limits.
    Admitted,
    /// The request was queued until an upstream is available.
    Queued,
    /// The request was sent to the upstream.
    Dispatched {
        /// Number of the attempt, starting at 1.
        attempt: u32,
        /// Priority in the engine's own queue; a lower value is served first.
        priority: u8,
    },
    /// The request was refused. This decision sent nothing to an upstream.
    Refused {
        /// Why the request was refused.
        reason: NotRunReason,
    },
    /// The request ended.
    Ended {
        /// Its outcome.
        outcome: OutcomeKind,
    },
    /// The engine was ordered to change its role.
    RoleChange {
        /// The new role.
        role: UpstreamRole,
    },
    /// The engine was ordered to load a model.
    ModelLoad {
        /// The model.
        model: ModelName,
    },
    /// The engine was ordered to load an adapter.
    AdapterLoad {
        /// The adapter.
        adapter: String,
    },
    /// The engine was ordered to load another version of its model.
    VersionLoad {
        /// The version.
        version: String,
    },
    /// A change of the engine was considered and not made.
    Held {
        /// Why the change was not made.
        reason: HoldReason,
    },
    /// The order to the engine ended.
    OrderEnded {
        /// Whether the engine carried out the order.
        succeeded: bool,
    },
    /// The upstream receives no new requests and finishes its open streams.
    Draining,
    /// The process acquired its data centre's lease.
    LeaseTaken,
    /// The process released its data centre's lease, or failed to renew it.
    LeaseLost,
    /// More upstreams were ordered.
    UpstreamsOrdered {
        /// Number of upstreams ordered.
        count: u32,
    },
    /// An ordered upstream was returned to the platform.
    UpstreamReturned,
    /// A usage window was sealed: its figures are final.
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
    /// The engines' load reports are too old to base a decision on.
    StaleReports,
    /// The gain is smaller than the cost of the seconds during which the engine
    /// is unavailable.
    #[serde(rename = "too-dear")]
    TooCostly,
    /// The number of engines that may be unavailable at once is reached.
    #[serde(rename = "enough-away")]
    EnoughUnavailable,
    /// Another order to the engine is outstanding.
    OrderOpen,
    /// The engine doesn't check fencing tokens, and the previous lease holder may
    /// still send orders.
    FormerHolder,
}

/// A fact on which a decision is based.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// An operator requested it, with this identifier.
    Requested(String),
    /// The steward's plan contains it, with this identifier.
    Planned(String),
    /// Time left until the deadline.
    TimeLeft(Duration),
    /// Whether the request may be executed more than once.
    Idempotent(bool),
    /// In-flight requests from this process to the upstream.
    InFlight(u32),
    /// The engine's latest load report.
    Load {
        /// Prompt tokens waiting for prefill.
        prefill_backlog_tokens: u64,
        /// Streams in decode.
        active_streams: u32,
        /// Age of the report.
        age: Duration,
    },
    /// The upstream probably holds a prefix of the prompt in its KV cache.
    PrefixHeld,
    /// Number of requests in this process's queue.
    QueueLength(u32),
    /// An upstream that was excluded because an earlier attempt on it failed.
    Avoided(UpstreamName),
    /// Tokens that the caller had already received.
    TokensDelivered(u64),
    /// Fraction of prefill in the work of the latest reports, from 0 to 1.
    PrefillShare(f32),
    /// Expected fraction of prefill in the work, from 0 to 1.
    ExpectedPrefillShare(f32),
    /// Number of engines of the data centre that were unavailable.
    #[serde(rename = "engines-away")]
    EnginesUnavailable(u32),
}

/// The process that made a decision, and the lease and configuration under which
/// it did so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionAuthority {
    /// The process that decided.
    pub holder: ProcessId,
    /// Epoch of the lease that it held; `None` if the decision needs no lease.
    pub epoch: Option<Epoch>,
    /// Revision of the configuration that it used.
    pub revision: Revision,
}

/// A decision of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// What the decision is about.
    pub subject: DecisionSubject,
    /// What was decided.
    pub step: DecisionStep,
    /// The facts on which the decision is based.
    pub evidence: Vec<Evidence>,
    /// The process that decided, and its authority.
    pub authority: DecisionAuthority,
}
