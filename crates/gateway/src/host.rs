//! What all parts of the process share.
//!
//! The process runs on one thread, so its state lies in cells; no cell is
//! borrowed across an await.

use crate::clock;
use crate::connection::{ConnectionPool, PeerKey};
use crate::metrics::GatewayMetrics;
use crate::store::StoreClient;
use lagoonlift_policy::dispatch::{
    ConfigConfirmation, ConfigFreshness, PeerLoads, Placement, PlacementLimits, RetryBudget,
    RetryBudgetLimits, RolePlanner, ServingConfig, StalenessLimits, StoreReaderSelection,
    StoreStatus, Upstream, UpstreamTable, UsageCounts, WallClock,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use lagoonlift_settings::{GatewayBounds, GatewaySettings};
use lagoonlift_telemetry::LogSampler;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Hosts assumed before the first count.
const ASSUMED_HOSTS: usize = 8;

/// State of one gateway.
pub(crate) struct Host {
    pub(crate) settings: GatewaySettings,
    /// Tells this start of the process from all others.
    pub(crate) start_id: u64,
    started_at: Timestamp,
    pub(crate) store: StoreClient,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) placement: RefCell<Placement>,
    /// Engines that this host has ordered to change their role.
    pub(crate) ordered: RefCell<Vec<UpstreamKey>>,
    /// Engines whose role is about to change.
    pub(crate) changing: RefCell<Vec<UpstreamKey>>,
    pub(crate) peer_loads: RefCell<PeerLoads>,
    pub(crate) store_readers: RefCell<StoreReaderSelection>,
    /// Which lines about requests that went well are written.
    pub(crate) success_lines: RefCell<LogSampler>,
    /// What this host knows of the upstreams' list, for other hosts.
    pub(crate) store_news: Cell<StoreStatus>,
    /// Where other hosts are told of loads.
    pub(crate) peers: RefCell<BTreeSet<SocketAddr>>,
    pub(crate) config: RefCell<Option<Rc<ServingConfig>>>,
    pub(crate) currency: RefCell<ConfigFreshness>,
    /// Told when the store has a newer configuration.
    pub(crate) config_news: Notify,
    pub(crate) table: RefCell<UpstreamTable>,
    pub(crate) usage: RefCell<UsageCounts>,
    pub(crate) wall: RefCell<WallClock>,
    allowances: RefCell<HashMap<String, RetryBudget>>,
    known_hosts: Cell<usize>,
    in_flight: Cell<usize>,
    connections: Cell<usize>,
    is_stopping: Cell<bool>,
    has_served: Cell<bool>,
}

impl Host {
    pub(crate) fn new(settings: GatewaySettings, metrics: GatewayMetrics) -> Rc<Self> {
        let pool = ConnectionPool::default();
        let limits = StalenessLimits {
            revocation: settings.bounds.revocation,
            change: settings.bounds.configuration,
        };
        let window_us = settings.bounds.usage_window.as_micros() as i64;
        let wall = WallClock::new(clock::now(), clock::system_unix_us());
        let start_id = rand::random();
        Rc::new(Self {
            store: StoreClient::new(settings.store.address, pool.clone()),
            placement: RefCell::new(Placement::new(
                PlacementLimits::default(),
                &settings.host.data_centre,
            )),
            ordered: RefCell::new(Vec::new()),
            changing: RefCell::new(Vec::new()),
            peer_loads: RefCell::new(PeerLoads::new()),
            store_readers: RefCell::new(StoreReaderSelection::new(start_id)),
            success_lines: RefCell::new(LogSampler::new()),
            store_news: Cell::new(StoreStatus::default()),
            peers: RefCell::new(BTreeSet::new()),
            currency: RefCell::new(ConfigFreshness::new(limits)),
            usage: RefCell::new(UsageCounts::new(window_us)),
            wall: RefCell::new(wall),
            config_news: Notify::new(),
            config: RefCell::new(None),
            table: RefCell::new(UpstreamTable::new()),
            allowances: RefCell::new(HashMap::new()),
            known_hosts: Cell::new(ASSUMED_HOSTS),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            is_stopping: Cell::new(false),
            has_served: Cell::new(false),
            start_id,
            started_at: clock::now(),
            settings,
            pool,
            metrics,
        })
    }

    /// Returns the configuration in hand.
    pub(crate) fn config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().clone()
    }

    /// Returns how surely the configuration in hand is the newest.
    pub(crate) fn proof(&self) -> ConfigConfirmation {
        self.currency.borrow().confirmation()
    }

    /// Returns whether the balancer may send new callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let now = clock::now();
        !self.is_stopping.get()
            && self.config.borrow().is_some()
            && self.table.borrow().is_loaded()
            && self.proof().can_report_ready(now)
    }

    /// Returns whether the process was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Makes the process take no new callers.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.set(true);
    }

    /// Returns the requests under way.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns whether any request has come.
    pub(crate) fn has_served(&self) -> bool {
        self.has_served.get()
    }

    /// Works out again which engines are about to change their role.
    pub(crate) fn plan_roles(&self) {
        let Some(config) = self.config() else {
            return;
        };
        let table = self.table.borrow();
        let engines = config
            .services()
            .iter()
            .filter(|service| service.engine.is_some());
        let orders =
            engines.flat_map(|service| RolePlanner::new().orders(&table, &service.name, &[]));
        let mut changing: Vec<UpstreamKey> = orders.map(|order| order.upstream).collect();
        let peers = self.peer_loads.borrow();
        let is_ordered = |(_, one): &(UpstreamKey, &Upstream)| peers.is_changing(one.digest);
        changing.extend(table.iter().filter(is_ordered).map(|(key, _)| key));
        changing.extend(self.ordered.borrow().iter());
        *self.changing.borrow_mut() = changing;
    }

    /// Returns the open connections of clients.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Changes a service's allowance of repeats.
    pub(crate) fn with_allowance<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut allowances = self.allowances.borrow_mut();
        if let Some(allowance) = allowances.get_mut(service) {
            return change(allowance);
        }
        let limits = RetryBudgetLimits {
            ratio: self.settings.bounds.repeat_ratio,
            slack: self.settings.bounds.repeat_slack,
            window: self.settings.bounds.repeat_window,
        };
        let mut allowance = RetryBudget::new(limits, self.known_hosts.get(), self.started_at);
        let result = change(&mut allowance);
        allowances.insert(service.to_owned(), allowance);
        result
    }

    /// Takes in changed bounds.
    pub(crate) fn set_bounds(&self, bounds: &GatewayBounds) {
        let limits = StalenessLimits {
            revocation: bounds.revocation,
            change: bounds.configuration,
        };
        self.currency.borrow_mut().set_limits(limits);
    }

    /// Returns how many hosts are known.
    pub(crate) fn known_hosts(&self) -> usize {
        self.known_hosts.get()
    }

    /// Returns whether this host reads the store exactly.
    pub(crate) fn is_store_reader(&self) -> bool {
        self.store_readers.borrow().is_reader(self.known_hosts())
    }

    /// Takes in how many hosts there are.
    pub(crate) fn set_known_hosts(&self, hosts: usize) {
        self.known_hosts.set(self.known_hosts.get().max(hosts));
        for allowance in self.allowances.borrow_mut().values_mut() {
            allowance.set_hosts(hosts);
        }
    }

    /// Records the repeats that are left and the connections opened so far.
    pub(crate) fn record_resources(&self) {
        let now = clock::now();
        for (service, allowance) in self.allowances.borrow().iter() {
            self.metrics
                .set_allowance(service, allowance.available(now));
        }
        self.metrics.set_opened(self.pool.opened());
    }

    /// Closes the connections to upstreams that are gone.
    pub(crate) fn forget_upstreams(&self, gone: &[UpstreamKey]) {
        for key in gone {
            self.pool.forget(PeerKey::Upstream(*key));
        }
    }

    /// Counts a request that an upstream began to run.
    pub(crate) fn count_usage(&self, now: Timestamp, workspace: Option<&str>) {
        let Some(workspace) = workspace else {
            return;
        };
        let unix_us = self.wall.borrow().unix_us(now);
        self.usage.borrow_mut().count(unix_us, workspace);
    }
}

/// Counts a request as under way until it is dropped.
pub(crate) struct InFlight(Rc<Host>);

impl InFlight {
    pub(crate) fn new(host: &Rc<Host>) -> Self {
        host.in_flight.set(host.in_flight.get() + 1);
        host.has_served.set(true);
        Self(Rc::clone(host))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a client's connection as open until it is dropped.
pub(crate) struct OpenConnection(Rc<Host>);

impl OpenConnection {
    pub(crate) fn new(host: &Rc<Host>) -> Self {
        host.connections.set(host.connections.get() + 1);
        Self(Rc::clone(host))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Counts work on an upstream until it is dropped.
pub(crate) struct UpstreamWork {
    host: Rc<Host>,
    pub(crate) key: UpstreamKey,
    reading_tokens: u64,
}

impl UpstreamWork {
    pub(crate) fn new(host: &Rc<Host>, key: UpstreamKey, reading_tokens: u64) -> Self {
        if let Some(upstream) = host.table.borrow_mut().get_mut(key) {
            upstream.in_flight += 1;
            upstream.prefill_tokens += reading_tokens;
        }
        Self {
            host: Rc::clone(host),
            key,
            reading_tokens,
        }
    }

    /// Notes that the prompt has been read.
    pub(crate) fn end_reading(&mut self) {
        if let Some(upstream) = self.host.table.borrow_mut().get_mut(self.key) {
            upstream.prefill_tokens -= self.reading_tokens;
        }
        self.reading_tokens = 0;
    }
}

impl Drop for UpstreamWork {
    fn drop(&mut self) {
        self.end_reading();
        if let Some(upstream) = self.host.table.borrow_mut().get_mut(self.key) {
            upstream.in_flight -= 1;
        }
    }
}
