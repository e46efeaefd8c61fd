//! The peer protocol, which the system's own processes use among themselves.
//!
//! A node is the part of one process in this protocol, and a peer is another
//! process. Types whose names start with `Peer` describe the own node unless
//! their documentation says otherwise.
//!
//! Hosts have no disks, and a data centre can lose its connection to the
//! platform. During such an outage a process learns what it needs from its
//! peers: which processes are alive, the configuration in force, and the
//! upstreams of each data centre. Peers also hold copies of the usage records
//! that a process keeps of its own requests. Membership never decides who holds a lease; only
//! conditional writes to the platform's object store do.
//!
//! Membership records are small and travel in UDP heartbeats with a bounded
//! fan-out. Data that may be large is pulled over TCP by the process that lacks
//! it.

mod assemble;
mod config;
mod context;
mod copier;
mod copies;
mod copy_queue;
mod counters;
mod datagram;
mod demand;
mod demand_exchange;
mod fleet_gossip;
mod fleets;
mod heartbeat;
mod history;
mod keys;
mod membership;
mod node;
mod puller;
mod replay;
mod server;
mod store;
mod stream;
mod tasks;
mod usage_range;
mod wire;

pub use config::PeerConfig;
pub use copies::{CopyStore, HeldCopies, UsagePosition};
pub use copy_queue::{CopyError, CopyQueue, PendingCopy};
pub use counters::{PeerCounter, PeerCounters};
pub use datagram::{DatagramCodec, DatagramError};
pub use demand::{Demand, DemandMap, DemandSource, DemandTable};
pub use fleets::{FleetDelta, FleetViewStore};
pub use history::ManifestDelta;
pub use keys::PeerKeys;
pub use membership::{
    Member, MemberState, Membership, MembershipAction, MembershipConfig, OutgoingDatagram,
};
pub use node::{PeerError, PeerNode};
pub use replay::{ReplayError, ReplayGuard};
pub use store::{ConfigurationStore, OfferOutcome};
pub use usage_range::{ClosedWindow, UsageRange};
pub use wire::{
    CopyBatch, Datagram, DatagramKind, FleetVersion, IncarnationId, MemberRecord, ReportedState,
};
