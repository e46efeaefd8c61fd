//! Jobs of an engine, and what becomes of them.

use lagoonlift_policy::PrefixHash;
use lagoonlift_types::UpstreamRole;

/// What an engine is to do for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Read the prompt and generate the answer.
    PrefillDecode,
    /// Read the prompt and keep its KV cache for export.
    PrefillOnly,
    /// Generate the answer from an imported KV cache.
    DecodeOnly,
}

/// One request as an engine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineJob {
    /// Identifies it; chosen by the caller.
    pub id: u64,
    /// What to do.
    pub phase: JobPhase,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the answer. At least 1.
    pub output_tokens: u64,
    /// Beginning of the prompt that others share, and its length in tokens.
    pub prefix: Option<(PrefixHash, u64)>,
    /// Lower goes first.
    pub priority: u8,
}

/// What became of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A prompt was read; its KV cache can be exported.
    Prefilled {
        /// The job.
        id: u64,
    },
    /// The first token of an answer came.
    FirstToken {
        /// The job.
        id: u64,
    },
    /// The last token of an answer came.
    Completed {
        /// The job.
        id: u64,
    },
    /// The prefix cache changed.
    CacheChanged {
        /// The prefix.
        prefix: PrefixHash,
        /// Whether it is held now.
        held: bool,
    },
    /// A role change is over.
    RoleChanged {
        /// The new role.
        role: UpstreamRole,
    },
}

/// Why an engine refused a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRefusal {
    /// Its own queue is full.
    Busy,
    /// Its role doesn't do this phase, or it is changing its role.
    WrongRole,
}

/// A job on its way from one engine to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// The job.
    pub job: EngineJob,
    /// Tokens of its prompt that have yet to be read.
    pub remaining_prompt_tokens: u64,
    /// Tokens of its answer so far.
    pub generated_tokens: u64,
}
