//! The entries of upstreams in the store.

use crate::dispatch::VersionDigest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifier of an upstream. Several incarnations of the upstream may use the same
/// one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub String);

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// Accepts new requests.
    Serving,
    /// Draining: completes its requests in flight and stops. The variant is named
    /// `Leaving` because this name is written to logs.
    Leaving,
}

impl UpstreamPhase {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
        }
    }
}

/// The role of an engine in serving prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineRole {
    /// Prefill engine: only runs prefills, at full speed.
    Prefill,
    /// Decode engine: generates tokens, and runs prefills at a lower speed.
    Decode,
}

impl EngineRole {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// Version of the software that an upstream runs. What upstreams of different versions
/// produce doesn't fit together: streams and KV caches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(pub String);

/// The entry of one upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRecord {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Name of the service to which the upstream belongs.
    pub service: String,
    /// Address at which the upstream accepts connections.
    pub address: SocketAddr,
    /// Name of the data centre in which the upstream runs.
    pub data_centre: String,
    /// Whether the upstream accepts new requests.
    pub phase: UpstreamPhase,
    /// Version of its software, if the upstream reports it.
    pub version: Option<SoftwareVersion>,
    /// Role; `None` if the upstream is not an engine.
    pub role: Option<EngineRole>,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream may be reclaimed at short notice.
    pub is_spot: bool,
    /// Unix time of its start in milliseconds, if the upstream reports it.
    pub started_ms: Option<u64>,
    /// Role orders that the upstream has accepted since its start, if it reports them.
    pub order_count: Option<u64>,
}

impl UpstreamRecord {
    /// Returns whether this is an earlier incarnation than `other`. Only incarnations
    /// that report their start are compared.
    pub(super) fn is_earlier_incarnation(&self, other: &Self) -> bool {
        match (self.started_ms, other.started_ms) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }

    /// Returns the version of the upstream's software as hosts tell it each other, if the
    /// entry states it.
    pub fn version_digest(&self) -> Option<VersionDigest> {
        let version = self.version.as_ref()?;
        Some(VersionDigest::new(&self.service, version))
    }

    pub(super) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address && self.started_ms == other.started_ms
    }
}

/// A change of the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The entry of an upstream was added or changed.
    Present(UpstreamRecord),
    /// The entry of an upstream was removed.
    Removed(UpstreamId),
}
