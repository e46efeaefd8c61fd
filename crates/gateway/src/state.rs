//! State that all tasks of the process share.
//!
//! The process runs on one thread, so the state is held in `Cell` and `RefCell`.
//! No `RefCell` is borrowed across an await, which would panic when another task
//! borrows it.

use crate::clock;
use crate::connection::{ConnectionPool, Endpoint};
use crate::crash_monitor::CrashMonitor;
use crate::final_publication::FinalPublication;
use crate::held::HeldRegistry;
use crate::metrics::GatewayMetrics;
use crate::quota::QuotaState;
use crate::store::StoreClient;
use crate::store_gate::StoreGate;
use crate::version_store;
use crate::watcher::OddEntries;
use lagoonlift_adapter::rules::UpstreamRules;
use lagoonlift_policy::dispatch::{
    ConfigConfirmation, ConfigFreshness, CrashQuarantine, HeldLimits, HostPaths, HostRoster,
    OpenBreaks, PeerLoads, Placement, PlacementLimits, RateSharing, RetryBudget, RetryBudgetLimits,
    RolePlanner, ServedVersions, ServiceDigest, ServingConfig, StalenessLimits, StopAdmission,
    StoreReaderSelection, StoreStatus, StreamArchive, StreamNotice, StreamVersions, Upstream,
    UpstreamTable, UsageCopies, UsageCounts, WallClock, WorkSample,
};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use lagoonlift_settings::{GatewayBounds, GatewaySettings};
use lagoonlift_telemetry::LogSampler;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

/// Number of hosts assumed until the store has listed them.
const INITIAL_HOST_COUNT: usize = 8;

/// Time after the start in which peers respond to the first queries.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(800);

/// Shared state of the gateway of this host.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    /// Random number that identifies this incarnation among those of all hosts, in
    /// messages between peers.
    pub(crate) incarnation_id: u64,
    pub(crate) started_at: Timestamp,
    pub(crate) upstream_rules: UpstreamRules,
    pub(crate) store: StoreClient,
    pub(crate) store_gate: StoreGate,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: GatewayMetrics,
    /// What this host holds for callers.
    pub(crate) held: Rc<HeldRegistry>,
    pub(crate) placement: RefCell<Placement>,
    /// Engines with an open role order of this host. An order is open until its
    /// effect is observed or it times out, also if it could not be sent.
    pub(crate) open_role_orders: RefCell<Vec<UpstreamKey>>,
    /// Engines whose role is about to change, as planned here or announced by any
    /// host as open orders.
    pub(crate) changing_role: RefCell<Vec<UpstreamKey>>,
    pub(crate) peer_loads: RefCell<PeerLoads>,
    /// Which services this host and others reach.
    pub(crate) host_paths: RefCell<HostPaths>,
    /// Numbers of decode engines that this host announces while it holds the lease.
    pub(crate) decode_work: RefCell<Vec<(ServiceDigest, u32)>>,
    /// Prefix blocks and requests that crash upstreams.
    pub(crate) crash_quarantine: RefCell<CrashQuarantine>,
    pub(crate) crash_monitor: RefCell<CrashMonitor>,
    pub(crate) open_breaks: RefCell<OpenBreaks>,
    /// Software versions at which streams began.
    pub(crate) stream_versions: RefCell<StreamVersions>,
    /// The versions of streams that have to outlive all hosts.
    pub(crate) stream_archive: RefCell<StreamArchive>,
    /// Messages to the hosts that write them to the store.
    pub(crate) archive_messages: RefCell<Vec<(SocketAddr, Vec<StreamNotice>)>>,
    /// Versions at which each service has served.
    pub(crate) served_versions: RefCell<ServedVersions>,
    /// Held while the records of these versions are read.
    pub(crate) reading_versions: Mutex<()>,
    /// Notified when peers have to be told of a new record of these versions at once.
    pub(crate) version_news: Notify,
    /// Upstreams whose entries are being read again, because their versions are doubtful.
    pub(crate) confirming: RefCell<HashSet<UpstreamKey>>,
    /// Wakes those that wait for that.
    pub(crate) confirmed: Notify,
    /// Notified when a stream is taken up whose version is doubtful.
    pub(crate) doubt_asked: Notify,
    /// Notified when peers have to get or to be asked for the version of a stream at once.
    pub(crate) stream_news: Notify,
    /// Notified when a peer has told the versions of streams.
    pub(crate) streams_heard: Notify,
    /// Notified when peers have to be told of a crash at once.
    pub(crate) crash_news: Notify,
    /// Whether the quarantines in the store have been read since the start.
    pub(crate) has_read_quarantines: Cell<bool>,
    /// Time at which this host last tried to claim a probe of a quarantined suspect.
    pub(crate) probe_claimed_at: Cell<Option<Timestamp>>,
    /// Whether a peer has told what is in quarantine since the start. The lease holder
    /// stores a new quarantine only after up to a second.
    pub(crate) has_heard_quarantines: Cell<bool>,
    pub(crate) store_readers: RefCell<StoreReaderSelection>,
    /// Selects which successful requests get a log line.
    pub(crate) success_log_sampler: RefCell<LogSampler>,
    /// What this host announces to its peers about its reads of the upstream list.
    pub(crate) announced_store_status: Cell<StoreStatus>,
    /// The hosts that receive messages and share what upstreams take.
    pub(crate) roster: RefCell<HostRoster>,
    pub(crate) quota_state: QuotaState,
    /// Revision of the latest configuration that couldn't be decoded; 0 if there was none.
    pub(crate) malformed_config: Cell<u64>,
    /// Entries of the list that name no upstream.
    pub(crate) odd_entries: RefCell<OddEntries>,
    pub(crate) config: RefCell<Option<Rc<ServingConfig>>>,
    pub(crate) freshness: RefCell<ConfigFreshness>,
    /// Notified when a peer has a newer configuration.
    pub(crate) config_outdated: Notify,
    pub(crate) table: RefCell<UpstreamTable>,
    pub(crate) usage: RefCell<UsageCounts>,
    /// Counts of other hosts.
    pub(crate) usage_copies: RefCell<UsageCopies>,
    /// Unix time of the latest successful publication of the counts, in microseconds.
    pub(crate) usage_published_us: Cell<i64>,
    pub(crate) final_publication: FinalPublication,
    /// Unix time of the process start in microseconds, which distinguishes the
    /// incarnations of the host.
    pub(crate) started_unix_us: i64,
    pub(crate) wall_clock: RefCell<WallClock>,
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Highest number of hosts listed so far; it never decreases.
    max_host_count: Cell<usize>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) connections: Cell<usize>,
    /// Time by which all requests are answered, once a shutdown has been requested.
    stops_by: Cell<Option<Timestamp>>,
    /// Ends the requests that have no response by then.
    pub(crate) requests_end: Notify,
    pub(crate) stop_admission: RefCell<StopAdmission>,
    /// Whether any request has been received, also one that was refused.
    pub(crate) has_received_request: Cell<bool>,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, metrics: GatewayMetrics) -> Rc<Self> {
        let pool = ConnectionPool::default();
        let limits = StalenessLimits {
            revocation: settings.bounds.revocation,
            change: settings.bounds.configuration,
        };
        let window_us = settings.bounds.usage_window.as_micros() as i64;
        let wall_clock = WallClock::new(clock::now(), clock::system_unix_us());
        let incarnation_id = rand::random();
        let held_limits = HeldLimits::for_memory(settings.limits.memory_bytes);
        Rc::new(Self {
            held: HeldRegistry::new(held_limits, metrics.clone()),
            store: StoreClient::new(settings.store.address, pool.clone()),
            store_gate: StoreGate::default(),
            placement: RefCell::new(Placement::new(
                PlacementLimits::default(),
                &settings.host.data_centre,
            )),
            open_role_orders: RefCell::new(Vec::new()),
            changing_role: RefCell::new(Vec::new()),
            decode_work: RefCell::new(Vec::new()),
            peer_loads: RefCell::new(PeerLoads::new()),
            host_paths: RefCell::new(HostPaths::new(&settings.host.data_centre)),
            crash_quarantine: RefCell::new(CrashQuarantine::new()),
            crash_monitor: RefCell::new(CrashMonitor::default()),
            open_breaks: RefCell::new(OpenBreaks::new()),
            stream_versions: RefCell::new(StreamVersions::new()),
            stream_archive: RefCell::new(StreamArchive::new()),
            archive_messages: RefCell::default(),
            served_versions: RefCell::new(ServedVersions::new()),
            reading_versions: Mutex::default(),
            version_news: Notify::new(),
            confirming: RefCell::default(),
            confirmed: Notify::new(),
            doubt_asked: Notify::new(),
            stream_news: Notify::new(),
            streams_heard: Notify::new(),
            crash_news: Notify::new(),
            has_read_quarantines: Cell::new(false),
            probe_claimed_at: Cell::new(None),
            has_heard_quarantines: Cell::new(false),
            store_readers: RefCell::new(StoreReaderSelection::new(incarnation_id)),
            success_log_sampler: RefCell::new(LogSampler::new()),
            announced_store_status: Cell::new(StoreStatus::default()),
            roster: RefCell::new(HostRoster::new(
                settings.listen.peers,
                incarnation_id,
                clock::now(),
            )),
            malformed_config: Cell::new(0),
            odd_entries: RefCell::default(),
            quota_state: QuotaState::new(settings.listen.peers, incarnation_id, &settings.bounds),
            freshness: RefCell::new(ConfigFreshness::new(limits)),
            usage: RefCell::new(UsageCounts::new(window_us)),
            usage_copies: RefCell::new(UsageCopies::new()),
            usage_published_us: Cell::new(0),
            final_publication: FinalPublication::default(),
            started_unix_us: clock::system_unix_us(),
            wall_clock: RefCell::new(wall_clock),
            config_outdated: Notify::new(),
            config: RefCell::new(None),
            table: RefCell::new(UpstreamTable::new()),
            retry_budgets: RefCell::new(HashMap::new()),
            max_host_count: Cell::new(INITIAL_HOST_COUNT),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            stops_by: Cell::new(None),
            requests_end: Notify::new(),
            stop_admission: RefCell::new(StopAdmission::new()),
            has_received_request: Cell::new(false),
            incarnation_id,
            started_at: clock::now(),
            upstream_rules: UpstreamRules::decode(&settings.upstream_rules),
            settings,
            pool,
            metrics,
        })
    }

    /// Returns the current configuration, if any has been read.
    pub(crate) fn config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the latest confirmation that the configuration is current.
    pub(crate) fn confirmation(&self) -> ConfigConfirmation {
        self.freshness.borrow().confirmation()
    }

    /// Returns whether the load balancer may send new connections to this host.
    pub(crate) fn is_ready(&self) -> bool {
        let now = clock::now();
        !self.is_stopping()
            && self.config.borrow().is_some()
            && self.table.borrow().is_loaded()
            && self.confirmation().can_report_ready(now)
            && self.has_asked_peers(now)
            && self.knows_quarantines(now)
            && version_store::is_ready(self, now)
    }

    /// Returns whether the store and a peer have told what is in quarantine, or enough time
    /// has passed for that.
    fn knows_quarantines(&self, now: Timestamp) -> bool {
        let is_told = self.has_read_quarantines.get() && self.has_heard_quarantines.get();
        is_told || now.since(self.started_at) >= PEER_RESPONSE_TIME
    }

    /// Returns whether a peer has told its configuration version since this process
    /// started, or enough time has passed for one to do so. A store that was just
    /// restored from a copy may return a version that is older than the one in force.
    fn has_asked_peers(&self, now: Timestamp) -> bool {
        self.freshness.borrow().has_peer_response()
            || now.since(self.started_at) >= PEER_RESPONSE_TIME
    }

    /// Returns whether a shutdown has been requested.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stops_by.get().is_some()
    }

    /// Returns the time by which all requests are answered, once a shutdown has been
    /// requested.
    pub(crate) fn stops_by(&self) -> Option<Timestamp> {
        self.stops_by.get()
    }

    /// Marks the process as stopping, which makes it report that it isn't ready. It answers
    /// all requests by `stops_by`.
    pub(crate) fn begin_stop(&self, stops_by: Timestamp) {
        self.stops_by.set(Some(stops_by));
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns whether this process has received any request.
    pub(crate) fn has_received_request(&self) -> bool {
        self.has_received_request.get()
    }

    /// Recomputes `changing_role`, the engines that are about to change their role.
    /// It sends no orders.
    pub(crate) fn update_changing_roles(&self) {
        let Some(config) = self.config() else {
            return;
        };
        let table = self.table.borrow();
        let engines = config
            .services()
            .iter()
            .filter(|service| service.engine.is_some());
        let now = clock::now();
        let peers = self.peer_loads.borrow();
        let orders = engines.flat_map(|service| {
            let work = peers.decode_work(now, &service.name);
            RolePlanner::with_work(work).orders(&table, &service.name, &[])
        });
        let mut changing: Vec<UpstreamKey> = orders.map(|order| order.upstream).collect();
        let is_ordered = |(_, one): &(UpstreamKey, &Upstream)| peers.is_changing(one.digest);
        changing.extend(table.iter().filter(is_ordered).map(|(key, _)| key));
        changing.extend(self.open_role_orders.borrow().iter());
        *self.changing_role.borrow_mut() = changing;
    }

    /// Records that an upstream took `time` for `units` of work: prompt tokens of a prefill,
    /// or turns of a slot.
    pub(crate) fn record_work(&self, upstream: UpstreamKey, units: f64, time: Duration) {
        let table = self.table.borrow();
        let digest = table.get(upstream).map(|one| one.digest);
        let sample = digest.and_then(|digest| WorkSample::new(digest, units, time));
        if let Some(sample) = sample {
            let mut placement = self.placement.borrow_mut();
            placement.capacity_mut().record(clock::now(), sample);
        }
    }

    /// Updates by which position and time of day this host shares the rates that upstreams
    /// state.
    pub(crate) fn update_rate_sharing(&self, now: Timestamp) {
        let sharing = RateSharing {
            host: self.roster.borrow().position(now),
            unix_offset_us: self.wall_clock.borrow().unix_us(Timestamp::default()),
        };
        self.table.borrow_mut().set_rate_sharing(sharing);
    }

    /// Returns the number of open connections from callers.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Calls `change` with the retry budget of `service`, which is created if it
    /// doesn't exist.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        if let Some(retry_budget) = retry_budgets.get_mut(service) {
            return change(retry_budget);
        }
        let limits = RetryBudgetLimits {
            ratio: self.settings.bounds.retry_ratio,
            slack: self.settings.bounds.retry_slack,
            window: self.settings.bounds.retry_window,
        };
        let mut retry_budget = RetryBudget::new(limits, self.max_host_count.get(), self.started_at);
        let result = change(&mut retry_budget);
        retry_budgets.insert(service.to_owned(), retry_budget);
        result
    }

    /// Applies the staleness bounds of reloaded settings.
    pub(crate) fn set_bounds(&self, bounds: &GatewayBounds) {
        let limits = StalenessLimits {
            revocation: bounds.revocation,
            change: bounds.configuration,
        };
        self.freshness.borrow_mut().set_limits(limits);
        self.quota_state.set_bounds(bounds);
    }

    /// Returns the highest number of hosts that were ever listed, or the initial
    /// assumption if that is higher.
    pub(crate) fn max_host_count(&self) -> usize {
        self.max_host_count.get()
    }

    /// Returns whether this host makes linearizable reads of the store on behalf
    /// of its peers.
    pub(crate) fn is_store_reader(&self) -> bool {
        self.store_readers.borrow().is_reader(self.max_host_count())
    }

    /// Raises the highest number of hosts to `hosts` if that is higher, and sets the
    /// existing retry budgets to `hosts` in any case.
    pub(crate) fn record_host_count(&self, hosts: usize) {
        self.max_host_count
            .set(self.max_host_count.get().max(hosts));
        for retry_budget in self.retry_budgets.borrow_mut().values_mut() {
            retry_budget.set_hosts(hosts);
        }
    }

    /// Records the remaining retry budgets and the number of connections opened so
    /// far.
    pub(crate) fn record_gauges(&self) {
        let now = clock::now();
        for (service, retry_budget) in self.retry_budgets.borrow().iter() {
            self.metrics
                .set_retry_budget(service, retry_budget.available(now));
        }
        self.metrics.set_connections_opened(self.pool.opened());
        self.metrics.set_held_bytes(self.held.bytes());
    }

    /// Closes the idle connections to removed upstreams.
    pub(crate) fn close_idle_connections(&self, removed: &[UpstreamKey]) {
        for key in removed {
            self.pool.close_idle(Endpoint::Upstream(*key));
        }
    }

    /// Counts one run of a request for the usage report: when its whole response has
    /// been read, or when the first data of a stream arrives. A retry after a 5xx
    /// response, or after a stream that broke between its first data and its first
    /// complete event, is counted again. A request without a workspace isn't counted.
    pub(crate) fn count_usage(&self, now: Timestamp, workspace: Option<&str>) {
        let Some(workspace) = workspace else {
            return;
        };
        let unix_us = self.wall_clock.borrow().unix_us(now);
        self.usage.borrow_mut().count(unix_us, workspace);
    }
}
