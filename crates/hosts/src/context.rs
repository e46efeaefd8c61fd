//! State shared by the components of the own node.

use crate::counters::PeerCounters;
use crate::demand_exchange::DemandState;
use crate::fleets::FleetViewStore;
use crate::keys::PeerKeys;
use crate::store::ConfigurationStore;
use lagoonlift_types::{DataCentreName, Incarnation, ProcessId};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for connecting to a peer, including the authentication handshake.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the response of a peer to one request.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the components of the own node. Every field can be read
/// concurrently.
#[derive(Debug)]
pub(crate) struct PeerContext {
    pub(crate) process: ProcessId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentreName,
    pub(crate) keys: PeerKeys,
    pub(crate) store: Arc<ConfigurationStore>,
    pub(crate) fleets: FleetViewStore,
    pub(crate) counters: Arc<PeerCounters>,
    pub(crate) demand: Arc<DemandState>,
}
