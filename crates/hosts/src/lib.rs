//! The protocol between the system's own processes.
//!
//! Hosts have no disks and data centres can be cut off from the platform, so
//! what a process must know during an outage it learns from its neighbours:
//! which processes live, the configuration in force, the upstreams of each
//! data centre. Neighbours also keep the second copy of usage records. Nothing
//! here grants authority; that rests with the platform's object API alone.
//!
//! Small member_records travel in UDP heartbeats with a bounded fan-out; whatever may
//! be large is pulled over TCP by the process that finds that it lacks it.

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
mod fleet_news;
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
