//! The own node: the part of this process in the peer protocol.

use crate::PeerConfig;
use crate::context::PeerContext;
use crate::copier::UsageCopier;
use crate::copies::{CopyStore, HeldCopies};
use crate::copy_queue::{CopyError, PendingCopy};
use crate::counters::PeerCounters;
use crate::datagram::DatagramCodec;
use crate::demand::DemandMap;
use crate::demand_exchange::DemandExchange;
use crate::fleet_gossip::FleetVersionGossip;
use crate::fleets::FleetViewStore;
use crate::heartbeat::{AnnounceDraining, AnnounceExit, HeartbeatActor};
use crate::membership::{Member, Membership, MembershipConfig};
use crate::puller::{AttachHeartbeat, PullActor, pull_configuration};
use crate::server::PeerServer;
use crate::store::ConfigurationStore;
use crate::tasks::{bind, gossip_changes, receive_datagrams, run_rounds};
use crate::usage_range::ClosedWindow;
use crate::wire::{MemberRecord, ReportedState};
use lagoonlift_types::{DataCentreName, FleetView, Incarnation, ProcessId, UsageRecord, WindowId};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use xtra::{Address, Mailbox};

/// Why an operation of the own node failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The node can't listen on its address.
    #[error("failed to listen on {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The listen address is unspecified, so peers couldn't send to it.
    #[error("can't listen on {0}: peers need the address of one interface")]
    Unspecified(SocketAddr),
    /// The configuration couldn't be pulled from a peer.
    #[error("failed to pull the configuration from {address}: {detail}")]
    Pull {
        /// The address of the peer.
        address: SocketAddr,
        /// The reason for the failure.
        detail: String,
    },
}

/// The own node: the part of this process in the peer protocol.
///
/// Clones share the node, which stops when the last clone is dropped.
#[derive(Clone)]
pub struct PeerNode {
    shared: Arc<Shared>,
}

struct Shared {
    context: Arc<PeerContext>,
    address: SocketAddr,
    heartbeat: Address<HeartbeatActor>,
    members: watch::Receiver<Arc<Vec<Member>>>,
    copier: Arc<UsageCopier>,
    copies: Arc<Mutex<CopyStore>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl PeerNode {
    /// Starts a node that listens and sends heartbeats until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't listen on its address.
    pub async fn start(config: PeerConfig) -> Result<Self, PeerError> {
        let (listener, socket) = bind(config.listen).await?;
        let address = listener.local_addr().map_err(|source| PeerError::Bind {
            address: config.listen,
            source,
        })?;
        let context = Arc::new(PeerContext {
            process: config.process.clone(),
            incarnation: config.incarnation,
            data_centre: config.data_centre.clone(),
            keys: config.keys(),
            store: Arc::new(ConfigurationStore::new()),
            fleets: FleetViewStore::new(),
            counters: Arc::new(PeerCounters::default()),
            demand: Arc::default(),
        });
        Ok(Self::start_components(
            config, context, address, listener, socket,
        ))
    }

    fn start_components(
        config: PeerConfig,
        context: Arc<PeerContext>,
        address: SocketAddr,
        listener: TcpListener,
        socket: UdpSocket,
    ) -> Self {
        let socket = Arc::new(socket);
        let (members_sender, members) = watch::channel(Arc::default());
        let puller = xtra::spawn_tokio(PullActor::new(Arc::clone(&context)), Mailbox::unbounded());
        let actor = new_heartbeat_actor(
            &config,
            &context,
            address,
            &socket,
            puller.clone(),
            members_sender,
        );
        let heartbeat = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let copier = Arc::new(UsageCopier::new(Arc::clone(&context)));
        let copies = Arc::new(Mutex::new(CopyStore::new()));
        let server = PeerServer {
            context: Arc::clone(&context),
            heartbeat: heartbeat.downgrade(),
            copies: Arc::clone(&copies),
        };
        let exchange = DemandExchange {
            context: Arc::clone(&context),
            members: members.clone(),
            streams: HashMap::new(),
        };
        let attach = puller.send(AttachHeartbeat(heartbeat.downgrade()));
        let tasks = vec![
            spawn_abortable(async move {
                // The puller runs as long as the heartbeat actor.
                let _ = attach.await;
            }),
            spawn_abortable(server.run(listener)),
            spawn_abortable(receive_datagrams(
                socket,
                Arc::clone(&context),
                heartbeat.clone(),
            )),
            spawn_abortable(run_rounds(config.heartbeat_interval, heartbeat.clone())),
            spawn_abortable(gossip_changes(Arc::clone(&context), heartbeat.clone())),
            spawn_abortable(Arc::clone(&copier).run(members.clone())),
            spawn_abortable(exchange.run()),
        ];
        let shared = Shared {
            context,
            address,
            heartbeat,
            members,
            copier,
            copies,
            tasks,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the local address for UDP and TCP.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the store that holds the configuration in force.
    pub fn store(&self) -> Arc<ConfigurationStore> {
        Arc::clone(&self.shared.context.store)
    }

    /// Returns a receiver of the list of members, without this process.
    pub fn members(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.shared.members.clone()
    }

    /// Returns the counters of messages sent, received and rejected.
    pub fn counters(&self) -> Arc<PeerCounters> {
        Arc::clone(&self.shared.context.counters)
    }

    /// Pulls the configuration from the peer at `address` immediately,
    /// without waiting for a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or its configuration is
    /// malformed.
    pub async fn pull_configuration(&self, address: SocketAddr) -> Result<(), PeerError> {
        let pulled = pull_configuration(&self.shared.context, address).await;
        pulled.map_err(|error| PeerError::Pull {
            address,
            detail: error.to_string(),
        })
    }

    /// Publishes a fleet view to all processes.
    pub fn publish_fleet(&self, view: FleetView) {
        self.shared.context.fleets.offer(view);
    }

    /// Returns a receiver of the latest fleet view of each data centre.
    pub fn fleets(&self) -> watch::Receiver<Arc<BTreeMap<DataCentreName, FleetView>>> {
        self.shared.context.fleets.subscribe()
    }

    /// Sets the demand on workspaces' limits at this process. Peers learn of it
    /// within about a second while there are up to 32 other entry processes; with
    /// more, the report intervals grow with their number. Workspaces that aren't
    /// listed have no demand here.
    pub fn set_demand(&self, demands: DemandMap) {
        self.shared.context.demand.set_own(demands);
    }

    /// Returns a receiver of the total demand on the same workspaces' limits at
    /// all other processes.
    pub fn peer_demand(&self) -> watch::Receiver<Arc<DemandMap>> {
        self.shared.context.demand.peer_demand()
    }

    /// Copies a usage record of this process to another host of its data
    /// centre, and returns when that host holds the copy.
    ///
    /// # Errors
    ///
    /// Returns an error if no other host confirmed a copy in time. The record
    /// is kept and copied as soon as another host is available.
    pub async fn copy_usage(&self, record: UsageRecord) -> Result<(), CopyError> {
        self.enqueue_usage(record).wait().await
    }

    /// Queues a usage record of this process for copying. Records must be
    /// queued in the order of their sequence numbers, without gaps.
    pub fn enqueue_usage(&self, record: UsageRecord) -> PendingCopy {
        self.shared.copier.enqueue(record)
    }

    /// Skips the usage windows of this process before `window`. It has an
    /// effect only while every record is covered by a closed window.
    pub fn skip_usage_windows(&self, window: WindowId) {
        self.shared.copier.skip_to(window);
    }

    /// Records that a usage window of this process was closed. Returns whether
    /// the window matches the queued records.
    pub fn close_usage_window(&self, closed: &ClosedWindow) -> bool {
        self.shared.copier.close_window(closed)
    }

    /// Returns the usage copies that this process holds for peers.
    pub fn held_copies(&self) -> Vec<HeldCopies> {
        self.lock_copies().held()
    }

    /// Records that a usage window of a peer's incarnation was closed.
    pub fn close_copied_window(
        &self,
        process: &ProcessId,
        incarnation: Incarnation,
        closed: &ClosedWindow,
    ) {
        self.lock_copies()
            .close_window(process, incarnation, closed);
    }

    /// Removes the copies of a peer's incarnation if closed windows cover all
    /// its records.
    pub fn remove_copies(&self, process: &ProcessId, incarnation: Incarnation) {
        self.lock_copies().remove(process, incarnation);
    }

    /// Announces that the process will exit soon. The announcement doesn't stop
    /// the process from accepting work; the caller does that.
    pub async fn announce_draining(&self) {
        // The actor runs as long as this node holds its address.
        let _ = self.shared.heartbeat.send(AnnounceDraining).await;
    }

    /// Announces that the process is exiting now.
    pub async fn announce_exit(&self) {
        // The actor runs as long as this node holds its address.
        let _ = self.shared.heartbeat.send(AnnounceExit).await;
    }

    fn lock_copies(&self) -> MutexGuard<'_, CopyStore> {
        // A poisoned lock is safe to use, because no code between two writes to
        // the store can panic.
        let copies = self.shared.copies.lock();
        copies.unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_heartbeat_actor(
    config: &PeerConfig,
    context: &Arc<PeerContext>,
    address: SocketAddr,
    socket: &Arc<UdpSocket>,
    puller: Address<PullActor>,
    members: watch::Sender<Arc<Vec<Member>>>,
) -> HeartbeatActor {
    let own = MemberRecord {
        process: config.process.clone(),
        data_centre: config.data_centre.clone(),
        address,
        incarnation: config.incarnation,
        refutation: 0,
        state: ReportedState::Alive,
    };
    let membership_config = MembershipConfig {
        own,
        heartbeat_interval: config.heartbeat_interval,
        seeds: config.seeds.clone(),
        random_seed: rand::random(),
    };
    HeartbeatActor {
        context: Arc::clone(context),
        membership: Membership::new(membership_config, Duration::ZERO),
        socket: Arc::clone(socket),
        codec: DatagramCodec::new(config.keys()),
        puller,
        members,
        fleet_gossip: FleetVersionGossip::default(),
        started: Instant::now(),
        sequence: 0,
        buffer: Vec::new(),
        is_superseded: false,
    }
}

fn spawn_abortable(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}
