//! Prompts, and the plans and refusals for them.

use crate::UpstreamKey;
use std::time::Duration;

/// A prefix block: a part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identifier of the contents.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The caller's description of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptFacts {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response in tokens.
    pub max_output_tokens: u32,
    /// Prefix blocks, in the order of the prompt. [`PromptFacts::session_block`]
    /// identifies the session.
    pub blocks: Vec<PrefixBlock>,
}

impl PromptFacts {
    /// Returns the block that identifies the session for prefix affinity: the second
    /// to last block, or the only one.
    pub fn session_block(&self) -> Option<PrefixBlock> {
        match self.blocks.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., session, _] => Some(*session),
        }
    }

    /// Returns the blocks that other prompts may share: all but the last one.
    pub fn shared_blocks(&self) -> &[PrefixBlock] {
        match self.blocks.as_slice() {
            [] => &[],
            [shared @ .., _] => shared,
        }
    }
}

/// The plan for serving a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptPlan {
    /// One engine runs both prefill and decode.
    SingleEngine(UpstreamKey),
    /// One engine runs the prefill, and another takes over the KV cache and runs the
    /// decode.
    Disaggregated {
        /// Engine that runs the prefill.
        prefill_engine: UpstreamKey,
        /// The session's preferred engine, which is the first healthy engine in its
        /// ranking, if it is not `prefill_engine`. Copying the KV cache of the shared
        /// prefix blocks from there takes a fraction of the time of their prefill.
        copy_blocks_from: Option<UpstreamKey>,
    },
}

/// The reason for refusing a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptRefusal {
    /// No engine is available. [`RefusalCause::NoUpstream`] is the corresponding
    /// cause of a refused request.
    ///
    /// [`RefusalCause::NoUpstream`]: super::RefusalCause::NoUpstream
    NoEngine,
    /// The prefill backlog of the least loaded engine is longer than the latency
    /// goal allows, or the wait at the decode engines is. The value is the time that this
    /// engine needs for its backlog, or that wait.
    ///
    /// The least loaded engine is the healthy engine with the shortest backlog, or
    /// the one with the shortest backlog of all if none is healthy. An unhealthy
    /// engine with a shorter backlog may therefore exist.
    /// [`RefusalCause::Overload`] is the corresponding cause of a refused request.
    ///
    /// [`RefusalCause::Overload`]: super::RefusalCause::Overload
    Overload(Duration),
    /// The KV caches of all engines are full.
    KvCachesFull,
    /// The prompt doesn't fit into the KV cache of an engine.
    TooLong,
}
