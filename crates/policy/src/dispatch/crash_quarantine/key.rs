//! Identifiers of suspects and crashes that are the same on all hosts.

use crate::dispatch::shared_hash::shared_hash;
use crate::dispatch::{PromptFacts, UpstreamRecord};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What may crash an upstream. Order and names are part of the messages between hosts and
/// of the stored objects.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum SuspectKind {
    /// A prefix block of prompts, whichever requests have it.
    #[default]
    Block,
    /// One request, however often it comes.
    Request,
}

/// Length of the quarantine of a block. Its prompts are many, and the engines may have been
/// repaired.
const BLOCK_QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Length of the quarantine of a request.
const REQUEST_QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Crashes after which requests with a block may reach engines for some seconds only.
const CRASHES_TO_DECIDE_ON_BLOCK: u32 = 5;

/// Crashes after which a request is quarantined.
const CRASHES_TO_DECIDE_ON_REQUEST: u32 = 3;

impl SuspectKind {
    /// Returns the number of crashes that lead to a quarantine.
    pub(super) fn crashes_to_decide(self) -> u32 {
        match self {
            Self::Block => CRASHES_TO_DECIDE_ON_BLOCK,
            Self::Request => CRASHES_TO_DECIDE_ON_REQUEST,
        }
    }

    /// Returns the length of a quarantine, from the decision.
    pub(super) fn quarantine_time(self) -> Duration {
        match self {
            Self::Block => BLOCK_QUARANTINE_TIME,
            Self::Request => REQUEST_QUARANTINE_TIME,
        }
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Block => "block",
            Self::Request => "request",
        }
    }
}

/// What tells one request from others. A request that comes again with another identifier
/// is the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Workspace of the caller, if its route needs a key.
    pub workspace: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

/// Identifies what may have crashed an upstream, whichever service it ran. Where that was seen
/// belongs to each crash, see [`ServiceVersion`](super::ServiceVersion).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey {
    /// What the identifier stands for.
    pub kind: SuspectKind,
    /// Identifier of the contents of the block or of the request.
    pub id: u64,
}

impl SuspectKey {
    /// Returns the key of the block with the identifier `block_id`.
    pub fn for_block(block_id: u64) -> Self {
        Self {
            kind: SuspectKind::Block,
            id: block_id,
        }
    }

    /// Returns the key of the request with the given content.
    pub fn for_request(content: &RequestContent<'_>) -> Self {
        Self {
            kind: SuspectKind::Request,
            id: shared_hash(content),
        }
    }

    /// Returns the keys of the blocks that `prompt` may share with other prompts, in
    /// the order of the prompt.
    pub fn for_shared_blocks(prompt: &PromptFacts) -> Vec<Self> {
        let shared = prompt.shared_blocks().iter();
        shared.map(|block| Self::for_block(block.id)).collect()
    }
}

/// A suspect with a service at which something was seen of it, in messages and stored objects.
/// Earlier releases know no suspects without a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectAtService {
    /// 32-bit hash of the service's name.
    pub service: u32,
    /// What the identifier stands for.
    #[serde(default)]
    pub kind: SuspectKind,
    /// Identifier of the contents of the block or of the request.
    #[serde(alias = "block")]
    pub id: u64,
}

impl SuspectAtService {
    /// Joins a suspect and a service.
    pub fn new(key: SuspectKey, service: u32) -> Self {
        Self {
            service,
            kind: key.kind,
            id: key.id,
        }
    }

    /// Returns the suspect.
    pub fn key(self) -> SuspectKey {
        SuspectKey {
            kind: self.kind,
            id: self.id,
        }
    }
}

/// Identifies the crash of one incarnation of an upstream.
///
/// Crashes of an upstream that doesn't report its start have the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the identifier of the crash of the incarnation of `record`.
    pub fn new(record: &UpstreamRecord) -> Self {
        Self(shared_hash(&(&record.id, record.started_ms)))
    }
}
