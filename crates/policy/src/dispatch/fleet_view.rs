//! The state of the fleet for one choice of an upstream.

use super::{EngineRole, PeerLoads, Upstream, UpstreamTable, VersionDigest};
use crate::{Timestamp, UpstreamKey};

/// The state of the fleet for one choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The upstreams.
    pub table: &'a UpstreamTable,
    /// In-flight load of the other hosts.
    pub peers: &'a PeerLoads,
    /// Name of the service that the request is for.
    pub service: &'a str,
    /// Software version that the upstream must have.
    pub version: RequiredVersion,
    /// Upstreams that earlier attempts of the request were sent to.
    pub tried: &'a [UpstreamKey],
    /// Engines whose role is being changed.
    pub changing_role: &'a [UpstreamKey],
    /// Capacity of an engine's KV cache in tokens, if it is known.
    pub kv_cache_tokens: Option<u64>,
    /// Whether the request can't be sent twice, so that upstreams that leave others
    /// unanswered are avoided.
    pub is_only_attempt: bool,
    /// Current time.
    pub now: Timestamp,
    /// Selects among equally loaded upstreams, and whether a request leaves the data centre;
    /// a random number from 0 to 1.
    pub tie_breaker: f64,
}

impl<'a> FleetView<'a> {
    /// Returns the usable upstreams of the required version, in arbitrary order.
    pub(super) fn usable(self) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        let usable = self.table.usable(self.service, self.now);
        usable.filter(move |(_, upstream)| self.version.is_met_by(upstream))
    }

    /// Returns the candidates that answer requests if it matters for this one. If none
    /// does, returns all.
    pub(super) fn prefer_answering(
        self,
        candidates: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Vec<(UpstreamKey, &'a Upstream)> {
        let (silent, answering): (Vec<_>, Vec<_>) = candidates
            .partition(|(_, one)| self.is_only_attempt && one.is_silent(self.now, self.peers));
        match answering.is_empty() {
            true => silent,
            false => answering,
        }
    }

    /// Returns the versions of the engines that can decode this request.
    pub(super) fn decode_versions(self) -> Vec<Option<VersionDigest>> {
        let engines = self.usable().filter(|(key, one)| {
            one.record.role != Some(EngineRole::Prefill) && !self.tried.contains(key)
        });
        let mut versions = Vec::new();
        for (_, engine) in engines {
            if !versions.contains(&engine.version) {
                versions.push(engine.version);
            }
        }
        versions
    }
}

/// The software version that an upstream must have for a request. What upstreams of
/// different versions write doesn't fit together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequiredVersion {
    /// Any version: no upstream has begun the response yet.
    #[default]
    Any,
    /// The version that has begun the stream.
    Only(VersionDigest),
    /// The version that has begun the stream isn't known, so no upstream can continue it.
    Unknown,
}

impl RequiredVersion {
    /// Returns what a stream requires that an upstream of `version` has begun.
    pub fn of_stream(version: Option<VersionDigest>) -> Self {
        version.map_or(Self::Unknown, Self::Only)
    }

    /// Returns whether the upstream certainly has the version.
    pub fn is_met_by(self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => upstream.proven_version() == Some(version),
            Self::Unknown => false,
        }
    }
}
