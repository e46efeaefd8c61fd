//! The entry daemon: admits, queues, routes, retries, streams and meters
//! requests.
//!
//! Every host runs one. It keeps serving without the platform and without a
//! steward, the controller process of a data centre, from the configuration and
//! fleet views that its peers hold. A request passes, in this order, the checks
//! of its key, its body and its workspace's limits, then the admission policy,
//! which runs in its own actor. After that a relay task carries the response
//! from the upstream to the caller, token by token, without passing through an
//! actor. The relay always ends in one of a closed set of outcomes.

mod admission;
mod body;
mod chat;
mod chat_response;
mod claim;
mod claim_actor;
mod claim_guard;
mod connection_use;
mod context;
mod cursor;
mod daemon;
mod directory;
mod engine_attempt;
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
mod stop;
mod tuning;
mod unread_body;
mod upstream_handle;

pub use claim::{
    Claim, ClaimChange, ClaimKey, ClaimResult, ClaimShard, ClaimState, ClaimTable, ContentDigest,
};
pub use cursor::{CursorStep, TokenCursor};
pub use daemon::Entry;
pub use health::UpstreamHealth;
pub use limit::{TokenCharge, WorkspaceDemand, WorkspaceLimiter};
pub use retry::{RetryBudget, RetryBudgetLimits, RunEvidence, backoff};
pub use tuning::EntryTuning;
