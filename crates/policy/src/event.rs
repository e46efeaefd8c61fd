//! What goes into the entry policy and what comes out of it.

use crate::Timestamp;
use lagoonlift_types::{
    DataCentreName, ModelName, NotRunReason, RequestId, Supply, UpstreamName, UpstreamRole,
    Urgency, WorkspaceName,
};
use std::collections::BTreeSet;
use std::time::Duration;

slotmap::new_key_type! {
    /// An upstream in the policy's arena.
    pub struct UpstreamKey;
    /// A workspace in the policy's arena.
    pub struct WorkspaceKey;
}

/// Hash of a prompt's beginning; requests that share it can share KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// What the policy has to know of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceFacts {
    /// Its name.
    pub name: WorkspaceName,
    /// Share in fair queueing, relative to the others. At least 1.
    pub weight: u32,
}

/// What the policy has to know of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamFacts {
    /// Its name.
    pub name: UpstreamName,
    /// The data centre it stands in.
    pub data_centre: DataCentreName,
    /// Models that it serves; empty for a plain service.
    pub models: BTreeSet<ModelName>,
    /// Its present role; `None` for a plain service.
    pub role: Option<UpstreamRole>,
    /// How it was bought.
    pub supply: Supply,
    /// Whether it may get new work.
    pub accepts_work: bool,
}

/// Where a request may go.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// Any engine that serves the model.
    Model(ModelName),
    /// This plain service.
    Service(UpstreamName),
}

/// What the policy has to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestFacts {
    /// Identifies it in later events and actions.
    pub request: RequestId,
    /// The workspace that pays.
    pub workspace: WorkspaceKey,
    /// How soon the answer is needed.
    pub urgency: Urgency,
    /// Where it may go.
    pub target: Target,
    /// Tokens in the prompt, as estimated at the entry.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// When the last token has to be delivered.
    pub deadline: Timestamp,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Beginning of the prompt, if it is long enough to be worth caching.
    pub prefix: Option<PrefixHash>,
}

/// What an engine says of itself, some time after it was true.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Tokens of prompts that wait to be read.
    pub prefill_backlog_tokens: u64,
    /// Streams that are generating.
    pub active_streams: u32,
    /// Share of KV memory in use, 0 to 1.
    pub kv_used: f32,
}

/// What waits for one target in an entry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedWork {
    /// Requests.
    pub requests: u64,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
    /// Tokens that their answers are expected to have.
    pub output_tokens: u64,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer came.
    Completed {
        /// Tokens in the answer.
        output_tokens: u64,
    },
    /// The upstream failed, or the connection to it did.
    UpstreamFailed,
    /// The upstream refused with "busy"; nothing ran.
    Busy,
    /// The caller went away.
    Cancelled,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller's request passed the key check and the limits.
    Arrived(RequestFacts),
    /// A request is to be placed again, not on `avoid`, after a failed attempt.
    Retry {
        /// The request, as it is now: tokens generated so far count as prompt.
        facts: RequestFacts,
        /// Upstreams that have already failed it.
        avoid: Vec<UpstreamKey>,
    },
    /// The first token came.
    FirstToken {
        /// The request.
        request: RequestId,
    },
    /// A prompt was read after [`EntryAction::Prefill`]; the engine holds its KV
    /// cache for export.
    Prefilled {
        /// The request.
        request: RequestId,
        /// The engine that read it.
        upstream: UpstreamKey,
    },
    /// An attempt was moved with its KV cache to another upstream.
    Migrated {
        /// The request.
        request: RequestId,
        /// The upstream that has it now.
        upstream: UpstreamKey,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The upstream that it was sent to.
        upstream: UpstreamKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A caller left while its request was still queued.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// An engine reported its load.
    LoadReported {
        /// The engine.
        upstream: UpstreamKey,
        /// When the report was true, in the policy's time.
        measured_at: Timestamp,
        /// The report.
        report: LoadReport,
    },
    /// An engine announced what its prefix cache holds or dropped.
    PrefixCacheChanged {
        /// The engine.
        upstream: UpstreamKey,
        /// The prefix.
        prefix: PrefixHash,
        /// Whether the prefix is held now.
        held: bool,
    },
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send the request to the upstream.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamKey,
        /// Priority for the engine's own queue; lower goes first.
        priority: u8,
    },
    /// Send the request to an engine that reads its prompt only; a
    /// [`EntryAction::Dispatch`] follows once the prompt is read, to an engine
    /// that imports the KV cache. Comes only from a policy that splits phases.
    Prefill {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamKey,
        /// Priority for the engine's own queue; lower goes first.
        priority: u8,
    },
    /// Refuse the request; it has not been sent to any upstream by this
    /// decision.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: NotRunReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}
