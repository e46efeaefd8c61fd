//! Events that the entry policy handles and actions that it returns.

use crate::Timestamp;
use lagoonlift_types::{
    DataCentreName, ModelName, NotRunReason, RequestId, Supply, UpstreamName, UpstreamRole,
    Urgency, WorkspaceName,
};
use std::collections::BTreeSet;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of an upstream in the policy's arena.
    pub struct UpstreamKey;
    /// Key of a workspace in the policy's arena.
    pub struct WorkspaceKey;
}

/// Hash of the prefix of a prompt. Requests with the same prefix can share its
/// KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// Properties of a workspace that the entry policy uses.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceFacts {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Weight in fair queueing, relative to other workspaces. At least 1.
    pub weight: u32,
}

/// Properties of an upstream that the entry policy uses.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamFacts {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Data centre of the upstream.
    pub data_centre: DataCentreName,
    /// Models that the upstream serves. Empty for a plain service.
    pub models: BTreeSet<ModelName>,
    /// Current role of the engine. `None` for a plain service.
    pub role: Option<UpstreamRole>,
    /// Whether the upstream is reserved or reclaimable.
    pub supply: Supply,
    /// Whether the upstream accepts new requests.
    pub accepts_requests: bool,
}

/// The upstreams that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// Any engine that serves the model.
    Model(ModelName),
    /// The plain service of this name.
    Service(UpstreamName),
}

/// Properties of a request that the entry policy uses.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestFacts {
    /// Identifier of the request in later events and actions.
    pub request: RequestId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceKey,
    /// Urgency class of the request.
    pub urgency: Urgency,
    /// Upstreams that can serve the request.
    pub target: Target,
    /// Tokens in the prompt, as estimated by the entry process.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u64,
    /// Time by which the last token has to be delivered.
    pub deadline: Timestamp,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Hash of the prefix of the prompt, if the prefix is long enough to be worth
    /// caching.
    pub prefix: Option<PrefixHash>,
}

/// Load that an engine reports. A report describes the past by the time it
/// arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Prompt tokens that wait for prefill.
    pub prefill_backlog_tokens: u64,
    /// Number of streams in decode.
    pub active_streams: u32,
    /// Share of the KV cache memory in use, 0 to 1.
    pub kv_used: f32,
}

/// Demand of the requests queued for one target in an entry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedDemand {
    /// Number of queued requests.
    pub requests: u64,
    /// Prompt tokens of the queued requests.
    pub prompt_tokens: u64,
    /// Expected output tokens of the queued requests.
    pub output_tokens: u64,
}

/// Outcome of one attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response was received.
    Completed {
        /// Tokens in the response.
        output_tokens: u64,
    },
    /// The upstream or the connection to it failed.
    UpstreamFailed,
    /// The upstream refused the request as busy without executing it.
    Busy,
    /// The caller disconnected.
    Cancelled,
}

/// An event that the entry policy handles.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A request arrived and passed the API key check and the rate limits.
    Arrived(RequestFacts),
    /// A request needs another attempt after a failed one.
    Retry {
        /// Properties of the request for the next attempt. Tokens generated so
        /// far count as part of the prompt.
        facts: RequestFacts,
        /// Upstreams that already failed the request and must not be used again.
        avoid: Vec<UpstreamKey>,
    },
    /// The first token of a response was received.
    FirstToken {
        /// Request that the token belongs to.
        request: RequestId,
    },
    /// The prefill started by [`EntryAction::Prefill`] finished. The engine holds
    /// the KV cache for export.
    Prefilled {
        /// Request whose prompt was prefilled.
        request: RequestId,
        /// Engine that prefilled the prompt.
        upstream: UpstreamKey,
    },
    /// A running attempt was migrated, with its KV cache, to another upstream.
    Migrated {
        /// Request that was migrated.
        request: RequestId,
        /// Upstream that serves the request now.
        upstream: UpstreamKey,
    },
    /// An attempt ended.
    Ended {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Upstream that the attempt was sent to.
        upstream: UpstreamKey,
        /// Outcome of the attempt.
        end: AttemptEnd,
    },
    /// The caller disconnected while its request waited in the queue, or waited
    /// for a decode engine after prefill.
    Cancelled {
        /// Request that was cancelled.
        request: RequestId,
    },
    /// An engine reported its load.
    LoadReported {
        /// Engine that sent the report.
        upstream: UpstreamKey,
        /// Time at which the load was measured, on the policy's clock.
        measured_at: Timestamp,
        /// Measured load.
        report: LoadReport,
    },
    /// An engine added a prefix to its prefix cache or evicted it.
    PrefixCacheChanged {
        /// Engine whose cache changed.
        upstream: UpstreamKey,
        /// Prefix that was added or evicted.
        prefix: PrefixHash,
        /// Whether the engine holds the prefix now.
        held: bool,
    },
    /// Time passed. Expires queued requests and retries placement.
    Tick,
}

/// An action that the entry process carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send the request to the upstream.
    Dispatch {
        /// Request to send.
        request: RequestId,
        /// Upstream that receives the request.
        upstream: UpstreamKey,
        /// Priority in the engine's own queue. Lower values go first.
        priority: u8,
    },
    /// Send the request to an engine for prefill only.
    ///
    /// After the prefill, an [`EntryAction::Dispatch`] follows to an engine that
    /// imports the KV cache. This action is returned only with disaggregated
    /// prefill.
    Prefill {
        /// Request to prefill.
        request: RequestId,
        /// Engine that prefills the prompt.
        upstream: UpstreamKey,
        /// Priority in the engine's own queue. Lower values go first.
        priority: u8,
    },
    /// Refuse the request. It hasn't been sent to any upstream since it arrived,
    /// or since its last [`EntryEvent::Retry`].
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Reason of the refusal.
        reason: NotRunReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
