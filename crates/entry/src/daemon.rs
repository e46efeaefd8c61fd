//! Starts the components of the entry daemon together and stops them in order.

use crate::admission::{AdmissionActor, Observe, Reconfigure};
use crate::body::BodyLimits;
use crate::claim_actor::ClaimActor;
use crate::connection_use::ConnectionLimits;
use crate::context::{EntryContext, RetryBudgets};
use crate::directory::KeyDirectory;
use crate::explain::DecisionRecorder;
use crate::instruments::EntryInstruments;
use crate::limit_table::exchange_demand;
use crate::poll::poll_engines;
use crate::routes::caller_routes;
use crate::server::serve;
use crate::stop::StopPhase;
use crate::tuning::EntryTuning;
use crate::upstream_handle::list_upstreams;
use arc_swap::ArcSwap;
use eyre::{OptionExt, Result, WrapErr};
use lagoonlift_hosts::{Member, MemberState, PeerConfig, PeerNode};
use lagoonlift_operators::{ProcessStatus, operator_routes};
use lagoonlift_platform::PlatformClient;
use lagoonlift_policy::EntryEvent;
use lagoonlift_settings::{EntrySettings, Settings};
use lagoonlift_telemetry::{Metrics, Readiness, admin_routes};
use lagoonlift_types::{Incarnation, ProcessId, ProcessRole};
use lagoonlift_usage::UsageRecorder;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use warp::Filter;
use xtra::{Address, Mailbox};

/// Interval between ticks of the admission policy.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the load balancer to notice that the host isn't ready before the
/// listener closes.
const UNREADY_DELAY: Duration = Duration::from_millis(500);

/// A running entry daemon.
pub struct Entry {
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    peer_node: PeerNode,
    usage_recorder: UsageRecorder,
    readiness: Readiness,
    stop_phase: watch::Sender<StopPhase>,
    server: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
    drain_timeout: Duration,
}

impl Entry {
    /// Starts an entry daemon and registers its instruments with `metrics`.
    ///
    /// # Errors
    ///
    /// Fails if the settings have no `[entry]` section or an address can't be
    /// listened on.
    pub async fn start(settings: &Settings, metrics: Metrics) -> Result<Self> {
        Self::with_tuning(settings, metrics, EntryTuning::default()).await
    }

    /// Starts an entry daemon with `tuning` in place of the default limits.
    ///
    /// # Errors
    ///
    /// See [`Entry::start`].
    pub async fn with_tuning(
        settings: &Settings,
        metrics: Metrics,
        tuning: EntryTuning,
    ) -> Result<Self> {
        let entry = settings.entry.as_ref();
        let entry = entry.ok_or_eyre("the settings have no [entry] section")?;
        let caller_listener = listen(entry.listen).await?;
        let admin_listener = listen(entry.admin_listen).await?;
        let config = peer_config(settings, entry);
        let (process, incarnation) = (config.process.clone(), config.incarnation);
        let recorder = DecisionRecorder::new(process.clone());
        let peer_node = PeerNode::start(config).await?;
        let platform = PlatformClient::new(
            settings.platform.address,
            settings.platform.token.clone(),
            settings.platform.timeout,
        );
        let claims = ClaimActor::new(platform.clone());
        let usage_recorder = UsageRecorder::start(
            peer_node.clone(),
            platform,
            process.clone(),
            incarnation,
            settings.host.data_centre.clone(),
            settings.usage.window,
        );
        peer_node.counters().observe(&metrics.meter());
        usage_recorder.counters().observe(&metrics.meter());
        let start = Instant::now();
        let limits = ConnectionLimits {
            head_timeout: tuning.header_timeout,
            idle_timeout: tuning.idle_timeout,
        };
        let admission = AdmissionActor::new(start, &settings.host.data_centre, recorder.clone());
        let admission = xtra::spawn_tokio(admission, Mailbox::unbounded());
        let context = Arc::new(EntryContext {
            directory: ArcSwap::default(),
            admission: admission.clone(),
            instruments: EntryInstruments::new(&metrics),
            recorder: recorder.clone(),
            usage_recorder: usage_recorder.clone(),
            claims: xtra::spawn_tokio(claims, Mailbox::unbounded()),
            limits: Arc::default(),
            budgets: Mutex::new(RetryBudgets::new(&tuning)),
            body_limits: BodyLimits {
                max_bytes: entry.max_body_bytes,
                total_timeout: tuning.body_timeout,
                chunk_timeout: tuning.body_chunk_timeout,
            },
            tuning,
        });
        let readiness = Readiness::new();
        let (stop_phase, stop_receiver) = watch::channel(StopPhase::Running);
        let admin_addr = admin_listener.local_addr()?;
        let status = process_status(&peer_node, process, incarnation, settings, &readiness);
        let admin_pages =
            admin_routes(metrics, readiness.clone()).or(operator_routes(recorder.log(), status));
        let background_tasks = vec![
            tokio::spawn(warp::serve(admin_pages).incoming(admin_listener).run()),
            tokio::spawn(apply_configuration_changes(
                peer_node.clone(),
                Arc::clone(&context),
                readiness.clone(),
                stop_receiver.clone(),
            )),
            tokio::spawn(send_ticks(admission)),
            tokio::spawn(exchange_demand(
                Arc::clone(&context.limits),
                peer_node.clone(),
            )),
            tokio::spawn(poll_engines(Arc::clone(&context), start)),
        ];
        Ok(Self {
            caller_addr: caller_listener.local_addr()?,
            admin_addr,
            server: tokio::spawn(serve(
                caller_listener,
                caller_routes(context),
                limits,
                stop_receiver,
            )),
            peer_node,
            usage_recorder,
            readiness,
            stop_phase,
            background_tasks,
            drain_timeout: entry.drain_timeout,
        })
    }

    /// Returns the address on which callers are served.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the address of the metrics, readiness and operator endpoints.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Returns the address for messages from peers.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_node.local_addr()
    }

    /// Stops the daemon and lets responses in progress finish until the drain
    /// timeout. First the process reports itself as not ready, so that the load
    /// balancer sends no new callers. Then the listener closes, and somewhat later
    /// the idle connections. After the last stream, usage records are flushed and the membership ends. Streams that
    /// outlast the drain timeout are aborted.
    pub async fn shutdown(mut self) {
        self.stop_phase.send_replace(StopPhase::Leaving);
        self.readiness.set_ready(false);
        // Peers that keep copies of their usage records here choose another
        // holder.
        self.peer_node.announce_draining().await;
        tokio::time::sleep(UNREADY_DELAY).await;
        self.stop_phase.send_replace(StopPhase::Closing);
        if timeout(self.drain_timeout, &mut self.server).await.is_err() {
            self.server.abort();
            tracing::warn!("streams were cut: the drain timeout is over");
        }
        if let Err(error) = self.usage_recorder.flush().await {
            tracing::warn!(
                %error,
                "usage windows weren't flushed; the peers that hold their copies close them"
            );
        }
        self.peer_node.announce_exit().await;
        for background_task in self.background_tasks {
            background_task.abort();
        }
    }
}

/// Returns a function that reports the process's current status.
fn process_status(
    peer_node: &PeerNode,
    process: ProcessId,
    incarnation: Incarnation,
    settings: &Settings,
    readiness: &Readiness,
) -> impl Fn() -> ProcessStatus + Clone + use<> {
    let configuration_store = peer_node.store();
    let data_centre = settings.host.data_centre.clone();
    let readiness = readiness.clone();
    move || ProcessStatus {
        process: process.clone(),
        incarnation,
        data_centre: data_centre.clone(),
        revision: configuration_store.revision(),
        ready: readiness.is_ready(),
        epoch: None,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))
}

fn peer_config(settings: &Settings, entry: &EntrySettings) -> PeerConfig {
    let seeds = settings.peers.seeds.iter();
    let host_name = settings.host.name.clone();
    let seed_addresses = seeds.flat_map(|seed| {
        let is_self = seed.name == host_name;
        let entry = seed.entry.filter(|_| !is_self);
        [entry, seed.steward]
    });
    PeerConfig {
        process: ProcessId {
            host: settings.host.name.clone(),
            role: ProcessRole::Entry,
        },
        data_centre: settings.host.data_centre.clone(),
        incarnation: new_incarnation(),
        listen: entry.peer_listen,
        seeds: seed_addresses
            .flatten()
            .chain(local_steward_address(settings))
            .collect(),
        key: settings.peers.key.0,
        other_key: settings.peers.other_key.as_ref().map(|key| key.0),
        heartbeat_interval: settings.peers.heartbeat,
    }
}

/// Returns the peer address of the steward on this host, or `None` if the
/// system picks its port. A host that starts first, or alone, has no other seed
/// that responds.
fn local_steward_address(settings: &Settings) -> Option<SocketAddr> {
    let steward = settings.steward.as_ref()?;
    Some(steward.peer_listen).filter(|address| address.port() != 0)
}

fn new_incarnation() -> Incarnation {
    // A clock set before 1970 yields incarnation 0, which only looks old.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// Applies each new configuration, fleet view and member list.
async fn apply_configuration_changes(
    peer_node: PeerNode,
    context: Arc<EntryContext>,
    readiness: Readiness,
    stop_phase: watch::Receiver<StopPhase>,
) {
    let mut configurations = peer_node.store().subscribe();
    let mut fleets = peer_node.fleets();
    let mut members = peer_node.members();
    loop {
        let configuration = Arc::clone(&configurations.borrow_and_update());
        let upstreams = list_upstreams(&configuration, &fleets.borrow_and_update());
        let directory = KeyDirectory::new(Arc::clone(&configuration));
        let revision = configuration.revision;
        let has_configuration = !configuration.workspaces.is_empty();
        let entry_processes = count_live_entry_processes(&members.borrow_and_update());
        let workspaces = configuration.workspaces.iter();
        let limits = workspaces.map(|(name, workspace)| (name, workspace.limits));
        context.limits.set_limits(limits, entry_processes);
        let change = Reconfigure {
            configuration,
            upstreams,
            entry_processes,
        };
        // The policy must know a workspace before the directory admits its
        // callers.
        if context.admission.send(change).await.is_err() {
            return;
        }
        context.recorder.set_revision(revision);
        context.directory.store(Arc::new(directory));
        update_readiness(&readiness, has_configuration, &stop_phase);
        let changed = tokio::select! {
            changed = configurations.changed() => changed,
            changed = fleets.changed() => changed,
            changed = members.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Sets the readiness, which a stop keeps at false.
fn update_readiness(
    readiness: &Readiness,
    has_configuration: bool,
    stop_phase: &watch::Receiver<StopPhase>,
) {
    // The phase stays borrowed, so that a stop can't begin in between.
    let phase = stop_phase.borrow();
    readiness.set_ready(has_configuration && *phase == StopPhase::Running);
}

/// Counts the live entry processes, including this one.
fn count_live_entry_processes(members: &[Member]) -> u32 {
    let is_live_entry_process = |member: &&Member| {
        member.process.role == ProcessRole::Entry && member.state == MemberState::Alive
    };
    let others = members.iter().filter(is_live_entry_process).count();
    u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
}

async fn send_ticks(admission: Address<AdmissionActor>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if admission.send(Observe(EntryEvent::Tick)).await.is_err() {
            return;
        }
    }
}
