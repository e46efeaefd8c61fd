//! Upstreams as the store lists them.

use std::net::SocketAddr;

/// Identifier that an upstream has for one or more of its starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub String);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// Takes new work.
    Serving,
    /// Finishes what it has and stops.
    Leaving,
}

/// What an engine does for prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineRole {
    /// Only reads prompts, at full speed.
    Prefill,
    /// Generates tokens, and reads prompts at a lower speed.
    Decode,
}

/// One upstream as the store lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRecord {
    /// Identifier.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
    /// Role, where it is an engine.
    pub role: Option<EngineRole>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be reclaimed at short notice.
    pub is_spot: bool,
    /// Unix time of its start in milliseconds, if it says so.
    pub started_ms: Option<u64>,
    /// Orders that it has accepted since its start, if it says so.
    pub order_count: Option<u64>,
}

impl UpstreamRecord {
    pub(super) fn is_same_start(&self, other: &Self) -> bool {
        self.address == other.address && self.started_ms == other.started_ms
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// An upstream appeared or changed.
    Present(UpstreamRecord),
    /// An upstream's entry was removed.
    Removed(UpstreamId),
}
