//! Starts the tasks of a steward and shuts them down.

use crate::candidate::{CandidateFlag, track_candidacy};
use crate::configuration::ConfigurationReader;
use crate::counters::StewardCounters;
use crate::explain::{DecisionRecorder, StatusSource};
use crate::fleet::{FleetActor, FleetContext, FleetReader, follow_configuration};
use crate::handover::{HandoverResolver, StepDownWriter};
use crate::lease::{
    Authority, GetStatus, LeaseActor, LeaseConfig, LeaseContext, LeaseIdentity, Release,
    WithholdGrant,
};
use crate::orders::{OrderDispatcher, OutstandingSends, RunnerContext};
use crate::planner::{Planner, PlannerContext};
use crate::purchases::{PurchaseContext, PurchaseRunner};
use crate::sealing::{SealContext, SealRunner};
use eyre::{OptionExt, WrapErr};
use lagoonlift_hosts::{PeerConfig, PeerNode};
use lagoonlift_operators::operator_routes;
use lagoonlift_platform::PlatformClient;
use lagoonlift_policy::FleetWeighting;
use lagoonlift_settings::{PeerSettings, PlanWeighting, Settings, StewardSettings};
use lagoonlift_telemetry::{Metrics, Readiness, admin_routes};
use lagoonlift_types::{
    Configuration, DataCentreName, FleetView, Incarnation, ProcessId, ProcessRole,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};
use warp::Filter;
use xtra::{Address, Mailbox};

/// Longest time that a shutdown waits for outstanding orders, and then for the
/// release of the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Polling interval for the release of the lease.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Heartbeats until every reachable entry process has a new fleet view.
const PROPAGATION_HEARTBEATS: u32 = 6;
/// Ended orders that may be queued for the dispatcher.
const ENDED_ORDER_BUFFER: usize = 64;

/// A running steward.
pub struct Steward {
    node: PeerNode,
    admin_addr: SocketAddr,
    readiness: Readiness,
    lease: Address<LeaseActor>,
    authority: Authority,
    outstanding: OutstandingSends,
    tasks: Vec<AbortHandle>,
}

impl Drop for Steward {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Connections and state that most tasks share.
struct Common {
    data_centre: DataCentreName,
    identity: LeaseIdentity,
    client: PlatformClient,
    node: PeerNode,
    lease: Address<LeaseActor>,
    authority: Authority,
    outstanding: OutstandingSends,
    counters: StewardCounters,
    recorder: DecisionRecorder,
}

impl Steward {
    /// Starts a steward, which runs until it is shut down or dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings have no section `[steward]`, or if an address
    /// can't be bound.
    pub async fn start(settings: &Settings, metrics: Metrics) -> eyre::Result<Self> {
        let section = settings.steward.as_ref();
        let section = section.ok_or_eyre("the settings have no section [steward]")?;
        let common = start_common(settings, section, &metrics).await?;
        let readiness = Readiness::new();
        let listener = TcpListener::bind(section.admin_listen)
            .await
            .wrap_err("failed to bind the admin address")?;
        let admin_addr = listener.local_addr()?;
        let source = status_source(&common, &readiness);
        let pages = admin_routes(metrics, readiness.clone())
            .or(operator_routes(common.recorder.log(), move || {
                source.status()
            }));
        let admin = warp::serve(pages).incoming(listener);
        let mut tasks = vec![tokio::spawn(admin.run()).abort_handle()];
        let follow = common
            .recorder
            .clone()
            .follow_lease(common.authority.clone());
        tasks.push(tokio::spawn(follow).abort_handle());
        start_configuration(&common, &mut tasks);
        start_upstream_tasks(settings, section, &common, &mut tasks);
        start_usage_and_purchase_tasks(settings, &common, &mut tasks);
        readiness.set_ready(true);
        Ok(Self {
            node: common.node,
            admin_addr,
            readiness,
            lease: common.lease,
            authority: common.authority,
            outstanding: common.outstanding,
            tasks,
        })
    }

    /// Returns the address that serves metrics, readiness and operator routes.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Returns the address for messages from peers.
    pub fn peer_addr(&self) -> SocketAddr {
        self.node.local_addr()
    }

    /// Returns a receiver of each new configuration.
    pub fn configurations(&self) -> watch::Receiver<Arc<Configuration>> {
        self.node.store().subscribe()
    }

    /// Returns a receiver of the latest fleet view of each data centre.
    pub fn fleets(&self) -> watch::Receiver<Arc<BTreeMap<DataCentreName, FleetView>>> {
        self.node.fleets()
    }

    /// Returns a handle for checking whether this steward holds the lease.
    pub fn authority(&self) -> Authority {
        self.authority.clone()
    }

    /// Shuts down gracefully. Releases the lease once no order of this process is in
    /// flight, so that a successor can take over immediately. Waits at most 5 s for
    /// the orders and 5 s for the release.
    pub async fn shutdown(self) {
        self.readiness.set_ready(false);
        self.node.announce_draining().await;
        // Can't fail, because the actor runs as long as its address exists.
        let _ = self.lease.send(WithholdGrant).await;
        if timeout(RELEASE_TIMEOUT, self.outstanding.wait_until_empty())
            .await
            .is_ok()
        {
            self.release_lease().await;
        }
        self.node.announce_exit().await;
    }

    async fn release_lease(&self) {
        if self.lease.send(Release).await.is_err() {
            return;
        }
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        while Instant::now() < deadline {
            match self.lease.send(GetStatus).await {
                Ok(status) if !status.is_release_complete => sleep(RELEASE_POLL_INTERVAL).await,
                _ => return,
            }
        }
    }
}

async fn start_common(
    settings: &Settings,
    section: &StewardSettings,
    metrics: &Metrics,
) -> eyre::Result<Common> {
    let process = ProcessId {
        host: settings.host.name.clone(),
        role: ProcessRole::Steward,
    };
    let config = peer_config(settings, section, process.clone())?;
    let identity = LeaseIdentity {
        process,
        incarnation: config.incarnation,
        nonce: rand::random(),
    };
    let node = PeerNode::start(config)
        .await
        .wrap_err("failed to start the peer node")?;
    let platform = &settings.platform;
    let client = PlatformClient::new(platform.address, platform.token.clone(), platform.timeout);
    let counters = StewardCounters::new(&metrics.meter());
    node.counters().observe(&metrics.meter());
    let (grants_sender, grants) = watch::channel(None);
    let lease = LeaseActor::new(LeaseContext {
        config: LeaseConfig {
            identity: identity.clone(),
            term: section.lease_term,
        },
        data_centre: settings.host.data_centre.clone(),
        client: client.clone(),
        grants: grants_sender,
        counters: counters.clone(),
    });
    let recorder = DecisionRecorder::new(identity.process.clone(), &node);
    Ok(Common {
        data_centre: settings.host.data_centre.clone(),
        identity,
        client,
        node,
        lease: xtra::spawn_tokio(lease, Mailbox::unbounded()),
        authority: Authority::new(grants),
        outstanding: OutstandingSends::new(),
        counters,
        recorder,
    })
}

fn status_source(common: &Common, readiness: &Readiness) -> StatusSource {
    StatusSource {
        process: common.identity.process.clone(),
        incarnation: common.identity.incarnation,
        data_centre: common.data_centre.clone(),
        store: common.node.store(),
        readiness: readiness.clone(),
        authority: common.authority.clone(),
    }
}

fn start_configuration(common: &Common, tasks: &mut Vec<AbortHandle>) {
    let (candidate_sender, candidate) = watch::channel(false);
    let candidacy = track_candidacy(
        common.identity.process.clone(),
        common.data_centre.clone(),
        common.node.members(),
        candidate_sender,
        common.lease.clone(),
    );
    let reader = ConfigurationReader::new(
        common.client.clone(),
        common.node.store(),
        CandidateFlag::new(candidate),
    );
    tasks.push(tokio::spawn(candidacy).abort_handle());
    tasks.push(tokio::spawn(reader.run()).abort_handle());
}

/// Starts the tasks that control the upstreams: the fleet view, the handover, the
/// orders to engines and, if the settings have a weighting, the planner.
fn start_upstream_tasks(
    settings: &Settings,
    section: &StewardSettings,
    common: &Common,
    tasks: &mut Vec<AbortHandle>,
) {
    let (upstreams_sender, upstreams) = watch::channel(Arc::default());
    let fleet = FleetActor::new(FleetContext {
        data_centre: common.data_centre.clone(),
        node: common.node.clone(),
        authority: common.authority.clone(),
        upstreams: upstreams_sender,
    });
    let fleet = xtra::spawn_tokio(fleet, Mailbox::unbounded());
    let (lists_sender, lists) = watch::channel(None);
    let reader = FleetReader {
        client: common.client.clone(),
        authority: common.authority.clone(),
        fleet: fleet.clone(),
        lists: lists_sender,
    };
    let (completed, handover) = watch::channel(None);
    let resolver = HandoverResolver {
        data_centre: common.data_centre.clone(),
        identity: common.identity.clone(),
        replaces_earlier_incarnations: section.peer_listen.port() != 0,
        client: common.client.clone(),
        authority: common.authority.clone(),
        lease: common.lease.clone(),
        lists,
        completed,
    };
    let writer = StepDownWriter {
        data_centre: common.data_centre.clone(),
        identity: common.identity.clone(),
        client: common.client.clone(),
        authority: common.authority.clone(),
        lease: common.lease.clone(),
        outstanding: common.outstanding.clone(),
    };
    if let Some(weighting) = section.plan_weighting {
        let planner = Planner::new(PlannerContext {
            data_centre: common.data_centre.clone(),
            weighting: fleet_weighting(weighting),
            client: common.client.clone(),
            authority: common.authority.clone(),
            upstreams: upstreams.clone(),
            store: common.node.store(),
            recorder: common.recorder.clone(),
        });
        tasks.push(tokio::spawn(planner.run()).abort_handle());
    }
    let (ended_sender, ended) = mpsc::channel(ENDED_ORDER_BUFFER);
    let context = RunnerContext {
        data_centre: common.data_centre.clone(),
        client: common.client.clone(),
        authority: common.authority.clone(),
        fleet: fleet.clone(),
        outstanding: common.outstanding.clone(),
        handover,
        ended: ended_sender,
        propagation_time: settings.peers.heartbeat * PROPAGATION_HEARTBEATS,
        counters: common.counters.clone(),
        recorder: common.recorder.clone(),
    };
    let dispatcher = OrderDispatcher::new(context, upstreams, ended);
    let follow = follow_configuration(common.node.store().subscribe(), fleet);
    tasks.push(tokio::spawn(follow).abort_handle());
    tasks.push(tokio::spawn(reader.run()).abort_handle());
    tasks.push(tokio::spawn(resolver.run()).abort_handle());
    tasks.push(tokio::spawn(writer.run()).abort_handle());
    tasks.push(tokio::spawn(dispatcher.run()).abort_handle());
}

fn fleet_weighting(weighting: PlanWeighting) -> FleetWeighting {
    match weighting {
        PlanWeighting::WorstServed => FleetWeighting::WorstServed,
        PlanWeighting::Goodput => FleetWeighting::Goodput,
    }
}

/// Starts the tasks that seal and report usage windows and purchase upstreams.
fn start_usage_and_purchase_tasks(
    settings: &Settings,
    common: &Common,
    tasks: &mut Vec<AbortHandle>,
) {
    let sealer = SealRunner::new(SealContext {
        data_centre: common.data_centre.clone(),
        client: common.client.clone(),
        authority: common.authority.clone(),
        window: settings.usage.window,
        counters: common.counters.clone(),
    });
    let purchaser = PurchaseRunner::new(PurchaseContext {
        data_centre: common.data_centre.clone(),
        client: common.client.clone(),
        authority: common.authority.clone(),
        configurations: common.node.store().subscribe(),
        counters: common.counters.clone(),
    });
    tasks.push(tokio::spawn(sealer.run()).abort_handle());
    tasks.push(tokio::spawn(purchaser.run()).abort_handle());
}

fn peer_config(
    settings: &Settings,
    section: &StewardSettings,
    process: ProcessId,
) -> eyre::Result<PeerConfig> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let peers = &settings.peers;
    Ok(PeerConfig {
        process,
        data_centre: settings.host.data_centre.clone(),
        incarnation: Incarnation(started.as_millis().try_into()?),
        listen: section.peer_listen,
        seeds: seed_addresses(peers, section.peer_listen),
        key: peers.key.0,
        other_key: peers.other_key.as_ref().map(|key| key.0),
        heartbeat_interval: peers.heartbeat,
    })
}

fn seed_addresses(peers: &PeerSettings, own_address: SocketAddr) -> Vec<SocketAddr> {
    let seeds = peers.seeds.iter();
    seeds
        .flat_map(|seed| [seed.entry, seed.steward])
        .flatten()
        .filter(|address| *address != own_address)
        .collect()
}
