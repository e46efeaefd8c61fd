//! Quotas of workspaces, which hold for all hosts together.
//!
//! A workspace has one owner among the hosts. The owner keeps the token bucket of the
//! workspace and grants tokens to the hosts that ask for them by datagram. A host that has
//! steady traffic of the workspace gets tokens in advance; they expire, and the host returns
//! what it hasn't spent.
//!
//! The owner is elected: a few hosts, the voters of the workspace, follow from its name and
//! from the roster by rendezvous hashing. A voter votes for one owner for a short
//! time, and a host owns the workspace while enough voters have voted. A host that is
//! paused or cut off therefore stops granting before another one begins. A new owner begins
//! with an empty bucket.
//!
//! Where no owner answers, each host may spend a share of the slack; see [`QuotaLimits`] for
//! how the slack and the overrun are divided.

mod account;
mod bucket;
mod host_quotas;
mod lease;
mod limits;
mod messages;
mod ownership;
mod voters;

pub use account::{QuotaCharge, QuotaDecision, QuotaRefusal};
pub use bucket::{BucketDenial, QuotaBucket};
pub use host_quotas::{AskId, HostQuotas, OutgoingQuotaMessage};
pub use limits::{QuotaKey, QuotaLimits, QuotaUnit, WorkspaceQuota};
pub use messages::{QuotaGrant, QuotaMessage};
pub use voters::QuotaRoster;
