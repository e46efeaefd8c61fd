//! The platform: object API, usage reports, upstream orders, weights, fleet list.
//!
//! The system keeps nothing of its own, so every promise about authority and
//! billing rests on how the platform behaves when it fails. This stand-in
//! speaks the platform's protocol and fails on command: it can be down or slow,
//! lose an answer after the write took effect, apply a write long after its
//! caller gave up, show a stale fleet list, and restart with older data.

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

/// Everything behind the platform's interfaces.
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

/// Which objects the holder of a token may write.
#[derive(Clone, Debug)]
pub(crate) struct WritePermit {
    pub(crate) token: String,
    pub(crate) prefix: String,
}

/// State shared between the handle and the routes.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<PlatformState>,
    /// Highest version in the store; wakes waiting watches.
    version: watch::Sender<u64>,
    /// Whether connections are accepted.
    up: watch::Sender<bool>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn announce(&self, version: u64) {
        self.version.send_replace(version);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    pub(crate) fn is_up(&self) -> bool {
        *self.up.borrow()
    }
}

/// A running stand-in; ends when dropped.
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
    /// Starts a stand-in that listens at `listen`; port 0 picks a free port.
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

    /// Returns the address that it listens at.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the switches of its faults.
    pub fn faults(&self) -> PlatformFaults {
        PlatformFaults::new(Arc::clone(&self.shared))
    }

    /// Returns how often each interface was called.
    pub fn calls(&self) -> CallCounts {
        self.shared.state().calls
    }

    /// Returns the objects under `prefix`, by rising key.
    pub fn objects(&self, prefix: &str) -> Vec<StoredObject> {
        self.shared.state().store.list(prefix)
    }

    /// Returns the value of an object.
    pub fn object(&self, key: &str) -> Option<Value> {
        let state = self.shared.state();
        state.store.get(key).map(|object| object.value.clone())
    }

    /// Writes an object without any condition, as another writer would.
    pub fn put_object(&self, key: &str, value: Value) -> u64 {
        let version = self.shared.state().store.put(key, value);
        self.shared.announce(version);
        version
    }

    /// Returns every write that took effect, in order.
    pub fn history(&self) -> Vec<ObjectChange> {
        self.shared.state().store.history().to_vec()
    }

    /// Returns the usage reports received, repeats included, in order.
    pub fn usage_reports(&self) -> Vec<Value> {
        self.shared.state().usage_reports.clone()
    }

    /// Returns the upstream orders received, repeats included, in order.
    pub fn upstream_orders(&self) -> Vec<Value> {
        self.shared.state().upstream_orders.clone()
    }

    /// Returns the requests to read weights, refused ones included, in order.
    pub fn weight_requests(&self) -> Vec<Value> {
        self.shared.state().weight_requests.clone()
    }

    /// Grants only this many more requests to read weights; `None`: all.
    pub fn set_weight_budget(&self, budget: Option<u32>) {
        self.shared.state().weight_budget = budget;
    }

    /// Lets `token` write objects under `prefix`. After the first permit,
    /// writes without a fitting one are refused.
    pub fn permit_writes(&self, token: &str, prefix: &str) {
        self.shared.state().permits.push(WritePermit {
            token: token.to_owned(),
            prefix: prefix.to_owned(),
        });
    }

    /// Puts a host into the fleet list or replaces its entry.
    pub fn set_host(&self, name: &str, entry: FleetEntry) {
        self.shared.state().fleet.set_host(name, entry);
    }

    /// Takes a host out of the fleet list.
    pub fn remove_host(&self, name: &str) {
        self.shared.state().fleet.remove_host(name);
    }

    /// Puts an upstream into the fleet list or replaces its entry.
    pub fn set_upstream(&self, name: &str, entry: FleetEntry) {
        self.shared.state().fleet.set_upstream(name, entry);
    }

    /// Takes an upstream out of the fleet list.
    pub fn remove_upstream(&self, name: &str) {
        self.shared.state().fleet.remove_upstream(name);
    }

    /// Copies the object store.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.shared.state().store.snapshot()
    }

    /// Goes back to an earlier copy of the object store, as after a restart
    /// with older data. Versions given out since are not used again.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let version = self.shared.state().store.restore(snapshot);
        self.shared.announce(version);
    }
}
