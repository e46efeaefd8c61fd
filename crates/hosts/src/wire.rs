//! Messages that processes exchange in datagrams and on streams.
//!
//! They are encoded by postcard, which identifies fields and variants by
//! position.

use crate::copies::UsagePosition;
use crate::demand::{DemandMap, DemandSource};
use crate::fleets::FleetDelta;
use crate::history::ManifestDelta;
use crate::usage_range::UsageRange;
use lagoonlift_types::{
    ChunkDigest, DataCentreName, Epoch, FleetView, Incarnation, Manifest, ProcessId, Revision,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// An eight-byte identifier of one incarnation of one process.
///
/// Each datagram names the incarnation that it is addressed to. A receiver can
/// therefore reject a datagram that was recorded earlier or that was addressed
/// to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub [u8; 8]);

impl IncarnationId {
    /// Used by a sender that doesn't know the receiver's incarnation yet.
    pub const UNKNOWN: Self = Self([0; 8]);

    /// Computes the identifier of an incarnation.
    pub fn of(process: &ProcessId, incarnation: Incarnation) -> Self {
        let text = format!("{process} {incarnation}");
        let hash = blake3::hash(text.as_bytes());
        let mut incarnation_id = [0; 8];
        incarnation_id.copy_from_slice(&hash.as_bytes()[..8]);
        Self(incarnation_id)
    }
}

/// What one process knows about another process, or announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process.
    pub process: ProcessId,
    /// The data centre of the process.
    pub data_centre: DataCentreName,
    /// The address on which it listens, for UDP and TCP.
    pub address: SocketAddr,
    /// Identifier of the process start, which increases with each start. It is a
    /// time, not a count of starts.
    pub incarnation: Incarnation,
    /// Version of the process's record within this incarnation. Only the process
    /// itself increases it: when it refutes a suspicion, and when it announces
    /// that it is draining or exiting.
    pub refutation: u32,
    /// The reported state of the process.
    pub state: ReportedState,
}

/// The reported state of a process. Of two records with equal incarnation and
/// refutation, the one with the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReportedState {
    /// The process is running.
    Alive,
    /// The process is running but will exit soon.
    Draining,
    /// The process didn't respond to pings.
    Suspect,
    /// The process announced that it exited.
    Exited,
}

impl MemberRecord {
    /// Returns whether this record replaces `other`, a record of the same
    /// process.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.incarnation, record.refutation, record.state);
        rank(self) > rank(other)
    }

    /// Returns the identifier of the incarnation that the record describes.
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId::of(&self.process, self.incarnation)
    }
}

/// The version of the fleet view that a sender holds for one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVersion {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Epoch of the steward, the controller process of the data centre, that
    /// published the view.
    pub epoch: Epoch,
    /// Version of the view within the epoch.
    pub version: u64,
}

/// One datagram: a ping, an acknowledgement, a request for an indirect ping, or
/// gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's record of itself.
    pub sender: MemberRecord,
    /// The incarnation that the datagram is addressed to.
    pub to: IncarnationId,
    /// Increases with each datagram that this incarnation of the sender sends.
    pub sequence: u64,
    /// The purpose of the datagram.
    pub kind: DatagramKind,
    /// Revision of the configuration that the sender holds.
    pub revision: Revision,
    /// Versions of some of the fleet views that the sender holds.
    pub fleets: Vec<FleetVersion>,
    /// Records of other processes that changed recently.
    pub member_records: Vec<MemberRecord>,
}

/// The purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// Requests a [`DatagramKind::Ack`] with the same probe number.
    Ping {
        /// Probe number, chosen by the sender.
        probe: u64,
    },
    /// The response to a [`DatagramKind::Ping`].
    Ack {
        /// Probe number of the ping.
        probe: u64,
    },
    /// Asks the receiver to ping a third process and to forward its response.
    IndirectPing {
        /// Probe number, chosen by the sender.
        probe: u64,
        /// The incarnation to ping.
        target: IncarnationId,
        /// The address of the process to ping.
        address: SocketAddr,
    },
    /// Carries only records and versions; no response is expected.
    Gossip,
}

/// A request of the end that opened a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Requests the records of the responder and of all members that it considers
    /// live.
    Members,
    /// Requests the changes to the manifest since the given revision.
    Manifest {
        /// The revision that the requester holds.
        since: Revision,
        /// Whether the response must contain the full manifest.
        full: bool,
    },
    /// Requests the texts of these chunks.
    Chunks(Vec<ChunkDigest>),
    /// Requests fleet views that are newer than these versions.
    Fleets(Vec<FleetVersion>),
    /// Asks the receiver to hold a copy of usage records.
    CopyUsage(CopyBatch),
    /// Reports demand to the receiver.
    Demand {
        /// The process or data centre whose demand is reported.
        source: DemandSource,
        /// The reported demand.
        demands: DemandMap,
    },
}

/// A response of the end that accepted a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    /// The response to [`Request::Members`].
    Members(Vec<MemberRecord>),
    /// The response to [`Request::Manifest`] if the changes are known.
    ManifestDelta(ManifestDelta),
    /// The response to [`Request::Manifest`] when the changes aren't known or
    /// the full manifest was requested.
    Manifest(Manifest),
    /// The response to [`Request::Chunks`]: the first of the requested chunks, in
    /// order, up to the first one that the responder doesn't hold or that would
    /// exceed the maximum total size of the chunks in one response. That size
    /// doesn't limit the first chunk.
    Chunks(Vec<Arc<[u8]>>),
    /// The response to [`Request::Fleets`]: an update for one data centre.
    Fleet {
        /// The update.
        update: FleetUpdate,
        /// Whether there are updates for further data centres, so that the
        /// requester should send another request.
        has_more: bool,
    },
    /// The response to [`Request::CopyUsage`]: every record of the batch is held
    /// by the receiver or covered by a window that the receiver knows to be
    /// closed.
    Copied,
    /// The response to [`Request::Demand`]; see [`DemandSource`] for its
    /// content.
    Demand(DemandMap),
}

/// An update of one data centre's fleet view.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FleetUpdate {
    /// The requester's views are up to date.
    None,
    /// The complete view.
    View(FleetView),
    /// The changes since the requester's view.
    Delta(FleetDelta),
}

/// Usage records that a peer is asked to hold a copy of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyBatch {
    /// The process that made the records.
    pub process: ProcessId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// The position up to which its usage windows are closed.
    pub position: UsagePosition,
    /// Whether the batch contains every record that isn't covered by a window
    /// known to be closed. Otherwise it continues the previous batch.
    pub is_full: bool,
    /// The sums of the records.
    pub range: UsageRange,
}
