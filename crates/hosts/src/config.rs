//! Settings of the own node.

use crate::PeerKeys;
use lagoonlift_types::{DataCentreName, Incarnation, ProcessId};
use std::net::SocketAddr;
use std::time::Duration;

/// Identity, addresses, keys and heartbeat interval of the own node.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// The process that this node represents.
    pub process: ProcessId,
    /// The data centre of the process's host.
    pub data_centre: DataCentreName,
    /// Identifier of this process start, higher than that of any earlier start. It
    /// is a time, not a count of starts.
    pub incarnation: Incarnation,
    /// Address for UDP and TCP; both use the same port number. Port 0 selects a
    /// port that is free for both.
    pub listen: SocketAddr,
    /// Addresses that are contacted first; other members are learned from them.
    pub seeds: Vec<SocketAddr>,
    /// The key that signs outgoing messages. It is also accepted on incoming
    /// ones.
    pub key: [u8; 32],
    /// An additional key that is accepted on incoming messages during a key
    /// rotation.
    pub other_key: Option<[u8; 32]>,
    /// Time between two heartbeat rounds.
    pub heartbeat_interval: Duration,
}

impl PeerConfig {
    pub(crate) fn keys(&self) -> PeerKeys {
        PeerKeys::new(self.key, self.other_key)
    }
}
