//! What processes say to each other, in datagrams and on streams.

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

/// Identifies one incarnation of one process in eight bytes.
///
/// Each datagram names the incarnation that it is meant for, so that one which
/// was recorded earlier, or for another process, is refused by its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub [u8; 8]);

impl IncarnationId {
    /// Used by a sender that doesn't know the receiver yet.
    pub const UNKNOWN: Self = Self([0; 8]);

    /// Computes the identity of an incarnation.
    pub fn of(process: &ProcessId, incarnation: Incarnation) -> Self {
        let text = format!("{process} {incarnation}");
        let hash = blake3::hash(text.as_bytes());
        let mut identity = [0; 8];
        identity.copy_from_slice(&hash.as_bytes()[..8]);
        Self(identity)
    }
}

/// What one process holds to be true of another, or says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process.
    pub process: ProcessId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens, UDP and TCP.
    pub address: SocketAddr,
    /// Its start.
    pub incarnation: Incarnation,
    /// How often it has refuted a suspicion or changed its state since its
    /// start; the process alone raises it.
    pub refutation: u32,
    /// What is said of it.
    pub state: ReportedState,
}

/// What is said of a process. Of two member_records with equal incarnation and
/// refutation, the one with the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReportedState {
    /// It takes part.
    Alive,
    /// It takes part, but will end soon.
    Draining,
    /// It didn't answer.
    Suspect,
    /// It said that it ended.
    Left,
}

impl MemberRecord {
    /// Returns whether this fact replaces `other` about the same process.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |fact: &Self| (fact.incarnation, fact.refutation, fact.state);
        rank(self) > rank(other)
    }

    /// Returns the identity of the incarnation that the fact is about.
    pub fn identity(&self) -> IncarnationId {
        IncarnationId::of(&self.process, self.incarnation)
    }
}

/// The latest version of one data centre's fleet view that a sender holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVersion {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Epoch of the steward that published it.
    pub epoch: Epoch,
    /// Its version within the epoch.
    pub version: u64,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// What the sender says of itself.
    pub sender: MemberRecord,
    /// The incarnation that the datagram is meant for.
    pub to: IncarnationId,
    /// Rises with each datagram of the sender's incarnation.
    pub sequence: u64,
    /// What is asked or answered.
    pub kind: DatagramKind,
    /// Revision of the configuration that the sender holds.
    pub revision: Revision,
    /// Some of the fleet views that the sender holds.
    pub fleets: Vec<FleetVersion>,
    /// Facts about other processes that changed lately.
    pub member_records: Vec<MemberRecord>,
}

/// What a heartbeat asks or answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// Asks for an [`DatagramKind::Ack`] with the same number.
    Ping {
        /// Chosen by the sender.
        probe: u64,
    },
    /// Answers a [`DatagramKind::Ping`].
    Ack {
        /// From the ping.
        probe: u64,
    },
    /// Asks the receiver to ping a third process and pass its answer on.
    IndirectPing {
        /// Chosen by the sender.
        probe: u64,
        /// The process to ping.
        target: IncarnationId,
        /// Its address.
        address: SocketAddr,
    },
    /// Only carries news.
    Gossip,
}

/// What the opener of a stream asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Everything known about members.
    Members,
    /// What changed in the manifest since the given revision.
    Manifest {
        /// The revision that the opener holds.
        since: Revision,
        /// Whether only the whole manifest will do.
        whole: bool,
    },
    /// The texts of these chunks.
    Chunks(Vec<ChunkDigest>),
    /// Fleet views that replace the opener's.
    Fleets(Vec<FleetVersion>),
    /// Keep a copy of usage.
    CopyUsage(CopyBatch),
    /// Count this demand.
    Demand {
        /// Whose demand it is.
        source: DemandSource,
        /// The demand.
        demands: DemandMap,
    },
}

/// What the acceptor of a stream answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    /// Answers [`Request::Members`].
    Members(Vec<MemberRecord>),
    /// Answers [`Request::Manifest`].
    ManifestDelta(ManifestDelta),
    /// Answers [`Request::Manifest`] when the changes aren't known.
    Manifest(Manifest),
    /// Answers [`Request::Chunks`] with those that fit one frame, in order.
    Chunks(Vec<Arc<[u8]>>),
    /// Answers [`Request::Fleets`] with one data centre's news; `more` tells of
    /// others.
    Fleet {
        /// What is new.
        news: FleetAnswer,
        /// Whether the opener should ask again.
        more: bool,
    },
    /// Answers [`Request::CopyUsage`]: every record of the batch is held.
    Copied,
    /// Answers [`Request::Demand`]; see [`DemandSource`].
    Demand(DemandMap),
}

/// What is new about one data centre's fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FleetAnswer {
    /// Nothing.
    None,
    /// The whole view.
    View(FleetView),
    /// What changed since the opener's view.
    Delta(FleetDelta),
}

/// Usage for a neighbour to keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyBatch {
    /// The process whose usage this is.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Up to where its windows are closed.
    pub position: UsagePosition,
    /// Whether this is everything that no closed window is known to cover;
    /// else it follows what was sent before.
    pub is_full: bool,
    /// The records, summed up.
    pub range: UsageRange,
}
