//! Messages between hosts about quotas.

use super::limits::QuotaKey;
use serde::{Deserialize, Serialize};

/// Largest number of workspaces in a message, so that it fits into a datagram.
pub(super) const MAX_KEYS: usize = 100;

/// Tokens that an owner has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Identifies the bucket among all that owners have had.
    pub term: u64,
    /// Time of the grant by the owner's clock, which comes back with a return.
    pub granted_at_us: u64,
    /// Tokens for the request that was asked for.
    pub charge: u64,
    /// Tokens in advance.
    pub advance: u64,
}

/// A message about quotas. The order of variants and fields is the wire format. Times named
/// `asked_at_us` are by the clock of the host that asked, and come back unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks the receiver, a voter of these workspaces, to support the sender as their owner.
    LeaseRequest {
        /// Time of the question.
        asked_at_us: u64,
        /// The workspaces.
        keys: Vec<QuotaKey>,
    },
    /// The sender supports the receiver as the owner of these workspaces.
    LeaseVote {
        /// Time of the question.
        asked_at_us: u64,
        /// The workspaces.
        keys: Vec<QuotaKey>,
    },
    /// Asks the owner for tokens.
    Ask {
        /// The workspace.
        key: QuotaKey,
        /// Identifies the question at its sender.
        id: u64,
        /// Charge of the request; 0 if only tokens in advance are asked for.
        charge: u64,
        /// Tokens that the sender wants in advance.
        advance: u64,
    },
    /// The owner grants tokens.
    Grant {
        /// The workspace.
        key: QuotaKey,
        /// The question.
        id: u64,
        /// What is granted.
        grant: QuotaGrant,
    },
    /// The owner denies a charge.
    Denial {
        /// The workspace.
        key: QuotaKey,
        /// The question.
        id: u64,
        /// Time until the charge fits if nothing else is granted, in milliseconds; `None` if
        /// it never does.
        fits_after_ms: Option<u32>,
        /// Time after which the caller may come back, in milliseconds.
        retry_after_ms: u32,
        /// Number of hosts with requests that were denied lately. They refuse further ones by
        /// themselves, and space out their callers accordingly.
        denied_hosts: u16,
        /// What is left in the bucket; negative for a debt.
        left: i64,
    },
    /// Returns tokens that haven't been spent.
    Return {
        /// The workspace.
        key: QuotaKey,
        /// Identifies the bucket that granted them.
        term: u64,
        /// Time of the grant by the owner's clock.
        granted_at_us: u64,
        /// The tokens.
        tokens: u64,
    },
}
