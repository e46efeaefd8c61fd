//! The entry daemon: admits, queues, routes, retries, streams and meters.
//!
//! Every host runs one. It serves on without the platform and without a
//! steward, from the configuration and fleet views that its neighbours hold.
//! A request meets, in this order: its key, its body, its workspace's limits,
//! the admission policy (an actor of its own), and then a relay task that
//! carries the answer from the upstream to the caller, token by token, through
//! no actor. Whatever happens, the relay ends in one of the closed set of
//! outcomes.

mod admission;
mod body;
mod chat;
mod chat_response;
mod claim;
mod claim_actor;
mod claim_guard;
mod context;
mod cursor;
mod daemon;
mod directory;
mod explain;
mod health;
mod history;
mod instruments;
mod limit;
mod limit_table;
mod plain;
mod plain_relay;
mod poll;
mod refusal;
mod relay;
mod response_channel;
mod retry;
mod routes;
mod server;
mod slot;
mod tuning;
mod upstream_handle;

pub use claim::{
    Claim, ClaimChange, ClaimKey, ClaimResult, ClaimShard, ClaimState, ClaimTable, ContentDigest,
};
pub use cursor::{CursorStep, TokenCursor};
pub use daemon::Entry;
pub use health::UpstreamHealth;
pub use limit::{OfferedLoad, TokenCharge, WorkspaceLimiter};
pub use retry::{RetryBudget, RetryBudgetLimits, RunEvidence, backoff};
pub use tuning::EntryTuning;
