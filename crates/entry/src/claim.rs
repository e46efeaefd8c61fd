//! Claims: which request runs under an `Idempotency-Key`.
//!
//! A request that may not be repeated must not run again when its caller
//! repeats it at another host or data centre. Whoever runs it first writes a
//! claim into the platform's object API, on condition that nobody else has.
//! Claims of one workspace are spread over a few objects by the digest of their
//! key; one conditional write carries the claims of all requests that arrived
//! while the previous one was on its way, so that the platform's write budget
//! grows with hosts, not with requests.
//!
//! This module holds the claims of one such object and knows no I/O.

use lagoonlift_types::{RequestId, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Objects that the claims of one workspace are spread over.
const SHARD_COUNT: u8 = 16;

/// How long a claim is kept.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Most claims in one object, so that it stays under a megabyte.
const MAX_CLAIMS_PER_SHARD: usize = 6_000;

/// Bytes of a digest that are kept.
const DIGEST_BYTES: usize = 16;

/// Names one object of claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimShard {
    workspace: WorkspaceName,
    shard: u8,
}

impl ClaimShard {
    /// Returns the key of the object.
    pub fn object_key(&self) -> String {
        format!("claims/{}/{:02x}", self.workspace, self.shard)
    }
}

/// Names one claim within its object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Returns where the claim for a caller's `Idempotency-Key` is kept.
    pub fn locate(workspace: &WorkspaceName, idempotency_key: &[u8]) -> (ClaimShard, Self) {
        let digest = blake3::hash(idempotency_key);
        let shard = ClaimShard {
            workspace: workspace.clone(),
            shard: digest.as_bytes()[0] % SHARD_COUNT,
        };
        (shard, Self(short_digest(&digest)))
    }
}

/// Digest of a request's content: a key that comes with another content is a
/// caller's mistake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(String);

impl ContentDigest {
    /// Computes the digest of the parts that make a request what it is.
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

/// How far a claimed request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It is running, or its host was lost while it ran.
    Open,
    /// It was answered.
    Answered,
    /// It ran and failed.
    Failed,
    /// It may have run.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that runs under the key.
    pub request: RequestId,
    /// What it asks for.
    pub content: ContentDigest,
    /// How far it is.
    pub state: ClaimState,
    /// Seconds since the Unix epoch when it was made; used only to forget it.
    pub made_at: u64,
}

/// A change of one claim. Applying it twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the key, unless someone else has.
    Open(Claim),
    /// Records what became of the request.
    Finish {
        /// The request that claimed the key.
        request: RequestId,
        /// What became of it.
        state: ClaimState,
    },
    /// Gives the key back, because nothing ran.
    Release {
        /// The request that claimed the key.
        request: RequestId,
    },
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// It is in force.
    Applied,
    /// Another request has the key.
    HeldByOther(Claim),
    /// There is no room for another claim.
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

    /// Applies a change.
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
            // Already so, or forgotten.
            _ => ClaimResult::Applied,
        }
    }

    /// Forgets claims older than a day.
    pub fn remove_expired(&mut self, now: u64) {
        let oldest = now.saturating_sub(CLAIM_RETENTION.as_secs());
        self.claims.retain(|_, claim| claim.made_at >= oldest);
    }
}
