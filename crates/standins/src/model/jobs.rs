//! Jobs of a simulated engine and the events that they cause.

use lagoonlift_policy::PrefixHash;
use lagoonlift_types::UpstreamRole;

/// The phases of a request that an engine executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Prefill the prompt and generate the completion.
    PrefillDecode,
    /// Prefill the prompt and keep its KV cache for export.
    PrefillOnly,
    /// Generate the completion from an imported KV cache.
    DecodeOnly,
}

/// One request, or one phase of it, for an engine to execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineJob {
    /// Identifier chosen by the caller.
    pub id: u64,
    /// The phases to execute.
    pub phase: JobPhase,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the completion, at least 1.
    pub output_tokens: u64,
    /// Prefix that the prompt shares with other prompts, and its length in tokens.
    pub prefix: Option<(PrefixHash, u64)>,
    /// Priority; lower values are served first.
    pub priority: u8,
}

/// An event that occurs when a step or a role change ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The prompt of a prefill-only job has been prefilled; its KV cache can be
    /// exported.
    Prefilled {
        /// The job.
        id: u64,
    },
    /// The first token of a completion was generated.
    FirstToken {
        /// The job.
        id: u64,
    },
    /// The last token of a completion was generated.
    Completed {
        /// The job.
        id: u64,
    },
    /// The prefix cache changed.
    CacheChanged {
        /// The prefix.
        prefix: PrefixHash,
        /// Whether the cache holds the prefix after the change.
        held: bool,
    },
    /// A role change has finished.
    RoleChanged {
        /// The new role.
        role: UpstreamRole,
    },
}

/// Why an engine refused a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRefusal {
    /// The engine's queue is full.
    Busy,
    /// The engine's role doesn't execute this phase, or a role change is in
    /// progress.
    WrongRole,
}

/// A job with its progress, for moving it from one engine to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// The job.
    pub job: EngineJob,
    /// Number of prompt tokens that have not been prefilled yet.
    pub remaining_prompt_tokens: u64,
    /// Number of completion tokens generated so far.
    pub generated_tokens: u64,
}
