//! A stand-in for the platform: object API, usage reports, upstream orders, model
//! weights and fleet list.
//!
//! Lagoonlift stores no data of its own, so its guarantees about leases and billing
//! depend on how the platform behaves under failure. This stand-in implements the
//! platform's protocol and injects faults: it can be down or slow, lose a response
//! after the write took effect, apply a write long after its caller timed out,
//! return a stale fleet list, and restart with older data.

mod calls;
mod faults;
mod fleet;
mod routes;
mod store;

pub use calls::CallCounts;
pub use faults::{FaultEffect, FaultRule, PlatformFaults};
pub use fleet::{FleetEntry, OrderedEngine};
pub use store::{ObjectChange, StoreSnapshot, StoredObject};

use faults::FaultState;
use fleet::FleetState;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::ObjectStore;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The data behind the platform's interfaces.
#[derive(Debug, Default)]
pub(crate) struct PlatformState {
    pub(crate) store: ObjectStore,
    pub(crate) faults: FaultState,
    pub(crate) fleet: FleetState,
    pub(crate) calls: CallCounts,
    pub(crate) usage_reports: Vec<Value>,
    pub(crate) upstream_orders: Vec<Value>,
    pub(crate) weight_requests: Vec<Value>,
    pub(crate) weight_budget: Option<u32>,
    pub(crate) permits: Vec<WritePermit>,
}

/// Permission of a bearer token to write the objects under a prefix.
#[derive(Clone, Debug)]
pub(crate) struct WritePermit {
    pub(crate) token: String,
    pub(crate) prefix: String,
}

/// State shared by [`PlatformStandin`] and the request handlers.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<PlatformState>,
    /// Highest version in the store. Each change of it wakes the waiting watches.
    version: watch::Sender<u64>,
    /// Whether the platform is up and accepts connections.
    up: watch::Sender<bool>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_version(&self, version: u64) {
        self.version.send_replace(version);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    pub(crate) fn is_up(&self) -> bool {
        *self.up.borrow()
    }
}

/// A running stand-in for the platform. Dropping it stops the server.
#[derive(Debug)]
pub struct PlatformStandin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl PlatformStandin {
    /// Starts a stand-in that listens on `listen`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            version: watch::Sender::new(0),
            up: watch::Sender::new(true),
        });
        let server = tokio::spawn(routes::run_server(listener, Arc::clone(&shared)));
        Ok(Self {
            addr,
            shared,
            server,
        })
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the controls for fault injection.
    pub fn faults(&self) -> PlatformFaults {
        PlatformFaults::new(Arc::clone(&self.shared))
    }

    /// Returns the number of calls to each interface.
    pub fn calls(&self) -> CallCounts {
        self.shared.state().calls
    }

    /// Returns the objects whose keys start with `prefix`, in key order.
    pub fn objects(&self, prefix: &str) -> Vec<StoredObject> {
        self.shared.state().store.list(prefix)
    }

    /// Returns the value of an object, or `None` if it doesn't exist.
    pub fn object(&self, key: &str) -> Option<Value> {
        let state = self.shared.state();
        state.store.get(key).map(|object| object.value.clone())
    }

    /// Writes an object unconditionally, as a concurrent writer would, and returns its
    /// version.
    pub fn put_object(&self, key: &str, value: Value) -> u64 {
        let version = self.shared.state().store.put(key, value);
        self.shared.set_version(version);
        version
    }

    /// Returns every write and deletion that took effect, in order.
    pub fn history(&self) -> Vec<ObjectChange> {
        self.shared.state().store.history().to_vec()
    }

    /// Returns the usage reports received, including retries, in order.
    pub fn usage_reports(&self) -> Vec<Value> {
        self.shared.state().usage_reports.clone()
    }

    /// Returns the upstream orders received, including retries, in order.
    pub fn upstream_orders(&self) -> Vec<Value> {
        self.shared.state().upstream_orders.clone()
    }

    /// Returns the requests for permission to read weights, including refused ones, in
    /// order.
    pub fn weight_requests(&self) -> Vec<Value> {
        self.shared.state().weight_requests.clone()
    }

    /// Limits the number of further requests to read weights that are granted. `None`
    /// removes the limit.
    pub fn set_weight_budget(&self, budget: Option<u32>) {
        self.shared.state().weight_budget = budget;
    }

    /// Permits the bearer token `token` to write objects under `prefix`.
    ///
    /// Without any permit, all writes are allowed. After the first permit, writes that
    /// no permit covers are refused.
    pub fn permit_writes(&self, token: &str, prefix: &str) {
        self.shared.state().permits.push(WritePermit {
            token: token.to_owned(),
            prefix: prefix.to_owned(),
        });
    }

    /// Adds a host to the fleet list or replaces its entry.
    pub fn set_host(&self, name: &str, entry: FleetEntry) {
        self.shared.state().fleet.set_host(name, entry);
    }

    /// Removes a host from the fleet list.
    pub fn remove_host(&self, name: &str) {
        self.shared.state().fleet.remove_host(name);
    }

    /// Adds an upstream to the fleet list or replaces its entry.
    pub fn set_upstream(&self, name: &str, entry: FleetEntry) {
        self.shared.state().fleet.set_upstream(name, entry);
    }

    /// Removes an upstream from the fleet list.
    pub fn remove_upstream(&self, name: &str) {
        self.shared.state().fleet.remove_upstream(name);
    }

    /// Returns a copy of the objects in the store.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.shared.state().store.snapshot()
    }

    /// Restores an earlier copy of the objects, as after a restart with older data.
    ///
    /// The version counter isn't reset, so versions assigned since the copy aren't
    /// reused.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let version = self.shared.state().store.restore(snapshot);
        self.shared.set_version(version);
    }
}
