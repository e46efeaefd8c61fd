//! Identifiers, configuration, outcomes and usage records shared by all packages.
//!
//! Every process exchanges values about the same hosts, data centres, workspaces
//! and upstreams with its peers, the platform and callers. Their types are
//! defined once, here, so that a value received from one peer can be passed to
//! another without conversion. The package does no I/O and reads no clock.

mod configuration;
mod fleet;
mod identifiers;
mod keys;
mod manifest;
mod outcome;
mod usage;

pub use configuration::{
    Class, Configuration, DataCentreCapacity, FencingSupport, Limits, PlainRoute, RouteAccess,
    Supply, Upstream, UpstreamKind, UpstreamRole, Urgency, Workspace,
};
pub use fleet::{Availability, FleetView, UpstreamStatus};
pub use identifiers::{
    ClassName, DataCentreName, Epoch, HostName, IdentifierError, Incarnation, ModelName, ProcessId,
    ProcessRole, RequestId, Revision, RouteName, Sequence, UpstreamName, WorkspaceName,
};
pub use keys::{KeyDigest, ParseDigestError};
pub use manifest::{AssembleError, Chunk, ChunkDigest, ChunkName, Manifest};
pub use outcome::{NotRunReason, Outcome, OutcomeKind};
pub use usage::{UsageFigures, UsageRecord, UsageSums, WindowId};

/// Tokens per piece, the unit of work in which rate limits and fair queueing
/// count.
pub const TOKENS_PER_PIECE: u64 = 2_000;

/// Returns the number of pieces for `tokens` tokens, rounded up.
pub fn pieces(tokens: u64) -> u64 {
    tokens.div_ceil(TOKENS_PER_PIECE)
}
