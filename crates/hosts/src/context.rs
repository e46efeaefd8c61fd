//! What the parts of a node share.

use crate::counters::PeerCounters;
use crate::demand_exchange::DemandParts;
use crate::fleets::FleetViewStore;
use crate::keys::PeerKeys;
use crate::store::ConfigurationStore;
use lagoonlift_types::{DataCentreName, Incarnation, ProcessId};
use std::sync::Arc;
use std::time::Duration;

/// Time within which another process must take a connection and prove that it
/// knows a key.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which another process must answer a request.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Shared by the parts of one node; all of it may be read at any time.
#[derive(Debug)]
pub(crate) struct PeerContext {
    pub(crate) process: ProcessId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentreName,
    pub(crate) keys: PeerKeys,
    pub(crate) store: Arc<ConfigurationStore>,
    pub(crate) fleets: FleetViewStore,
    pub(crate) counters: Arc<PeerCounters>,
    pub(crate) demand: Arc<DemandParts>,
}
