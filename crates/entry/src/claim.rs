//! Claims: which request runs under an `Idempotency-Key`.
//!
//! A non-idempotent request must not run again when its caller retries it at
//! another host or data centre. The host that runs it first writes a claim to
//! the platform's object API with a conditional write, which fails if another
//! host already holds the claim. The claims of one workspace are sharded over a
//! few objects by the digest of their key. One conditional write carries the
//! claims of all requests that arrived while the previous write was in flight,
//! so the platform's write rate grows with the number of hosts, not of
//! requests.
//!
//! This module holds the claims of one such object and does no I/O.

use lagoonlift_types::{RequestId, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of objects that the claims of one workspace are sharded over.
const SHARD_COUNT: u8 = 16;

/// Time after which a claim expires.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Maximum number of claims in one object, which keeps the object below one
/// megabyte.
const MAX_CLAIMS_PER_SHARD: usize = 6_000;

/// Number of bytes that a truncated digest keeps.
const DIGEST_BYTES: usize = 16;

/// Identifies one object of claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimShard {
    workspace: WorkspaceName,
    shard: u8,
}

impl ClaimShard {
    /// Returns the key of the object in the platform's store.
    pub fn object_key(&self) -> String {
        format!("claims/{}/{:02x}", self.workspace, self.shard)
    }
}

/// Identifies one claim within its object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Returns the object and the key of the claim for a caller's
    /// `Idempotency-Key`.
    pub fn locate(workspace: &WorkspaceName, idempotency_key: &[u8]) -> (ClaimShard, Self) {
        let digest = blake3::hash(idempotency_key);
        let shard = ClaimShard {
            workspace: workspace.clone(),
            shard: digest.as_bytes()[0] % SHARD_COUNT,
        };
        (shard, Self(short_digest(&digest)))
    }
}

/// Digest of a request's content. A caller that reuses an `Idempotency-Key`
/// with different content made a mistake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(String);

impl ContentDigest {
    /// Computes the digest of the `parts` that identify a request's content.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(short_digest(&hasher.finalize()))
    }
}

fn short_digest(digest: &blake3::Hash) -> String {
    digest.to_hex()[..2 * DIGEST_BYTES].to_owned()
}

/// State of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request is running, or its host was lost while it ran.
    Open,
    /// The request was answered.
    Answered,
    /// The request ran and failed.
    Failed,
    /// The request may have run.
    Unknown,
}

/// A claim on an `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that runs under the key.
    pub request: RequestId,
    /// Digest of the request's content.
    pub content: ContentDigest,
    /// State of the request.
    pub state: ClaimState,
    /// Creation time in seconds since the Unix epoch; used only for expiry.
    pub made_at: u64,
}

/// A change of one claim. Changes are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the key, unless another request holds it.
    Open(Claim),
    /// Records the final state of the request.
    Finish {
        /// The request that claimed the key.
        request: RequestId,
        /// The request's final state.
        state: ClaimState,
    },
    /// Releases the key because nothing ran.
    Release {
        /// The request that claimed the key.
        request: RequestId,
    },
}

/// Result of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The change is applied, or there was nothing to change.
    Applied,
    /// Another request holds the key, with this claim.
    HeldByOther(Claim),
    /// The object has reached its maximum number of claims. The caller gets the
    /// same reply as for a claim that couldn't be confirmed.
    Full,
}

/// The claims of one object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// Creates a table without claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a change. If there is nothing to change, returns `Applied` and has
    /// no effect: the change was applied before, the claim has expired or belongs
    /// to another request, or a release follows a final state.
    pub fn apply(&mut self, key: &ClaimKey, change: &ClaimChange) -> ClaimResult {
        let is_full = self.claims.len() >= MAX_CLAIMS_PER_SHARD;
        match (change, self.claims.get_mut(key)) {
            (ClaimChange::Open(claim), Some(held)) if held.request != claim.request => {
                ClaimResult::HeldByOther(held.clone())
            }
            (ClaimChange::Open(_), None) if is_full => ClaimResult::Full,
            (ClaimChange::Open(claim), None) => {
                self.claims.insert(key.clone(), claim.clone());
                ClaimResult::Applied
            }
            (ClaimChange::Finish { request, state }, Some(held)) if held.request == *request => {
                held.state = *state;
                ClaimResult::Applied
            }
            (ClaimChange::Release { request }, Some(held))
                if held.request == *request && held.state == ClaimState::Open =>
            {
                self.claims.remove(key);
                ClaimResult::Applied
            }
            // There is nothing to change.
            _ => ClaimResult::Applied,
        }
    }

    /// Removes claims older than a day; `now` is in seconds since the Unix
    /// epoch.
    pub fn remove_expired(&mut self, now: u64) {
        let oldest = now.saturating_sub(CLAIM_RETENTION.as_secs());
        self.claims.retain(|_, claim| claim.made_at >= oldest);
    }
}
