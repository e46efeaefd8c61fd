//! What a node has to be told before it can start.

use crate::PeerKeys;
use lagoonlift_types::{DataCentreName, Incarnation, ProcessId};
use std::net::SocketAddr;
use std::time::Duration;

/// Who a node is, where it listens and whom it contacts first.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// The process that the node speaks for.
    pub process: ProcessId,
    /// The data centre of its host.
    pub data_centre: DataCentreName,
    /// The start of the process; higher than that of all earlier starts.
    pub incarnation: Incarnation,
    /// Address for UDP and TCP, with the same port number for both. Port 0
    /// takes any that is free for both.
    pub listen: SocketAddr,
    /// Addresses that are contacted first; others are learned.
    pub seeds: Vec<SocketAddr>,
    /// Key that signs what is sent, and is accepted.
    pub key: [u8; 32],
    /// Key that is accepted too, while keys are being rotated.
    pub other_key: Option<[u8; 32]>,
    /// Time between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
}

impl PeerConfig {
    pub(crate) fn keys(&self) -> PeerKeys {
        PeerKeys::new(self.key, self.other_key)
    }
}
