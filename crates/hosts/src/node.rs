//! One process's part in the protocol.

use crate::PeerConfig;
use crate::context::PeerContext;
use crate::copier::UsageCopier;
use crate::copies::{CopyStore, HeldCopies};
use crate::copy_queue::{CopyError, PendingCopy};
use crate::counters::PeerCounters;
use crate::datagram::DatagramCodec;
use crate::demand::DemandMap;
use crate::demand_exchange::DemandExchange;
use crate::fleet_news::FleetNews;
use crate::fleets::FleetViewStore;
use crate::heartbeat::{End, HeartbeatActor, Leave};
use crate::membership::{Member, Membership, MembershipConfig};
use crate::puller::{Attach, PullActor, pull_configuration};
use crate::server::PeerServer;
use crate::store::ConfigurationStore;
use crate::tasks::{bind, receive, run_rounds, spread_news};
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

/// Why a node can't start.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address can't be listened on.
    #[error("can't listen on {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Others can't be told to send to an address that stands for all.
    #[error("{0} isn't the address of one interface")]
    Unspecified(SocketAddr),
    /// Another process's configuration couldn't be fetched.
    #[error("the configuration can't be fetched from {address}: {detail}")]
    Fetch {
        /// The other process.
        address: SocketAddr,
        /// Why not.
        detail: String,
    },
}

/// One process's part in the protocol between the system's own processes.
///
/// Clones share the node; it ends with the last of them.
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
    /// Fails when it can't listen on its address.
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
        Ok(Self::assemble(config, context, address, listener, socket))
    }

    fn assemble(
        config: PeerConfig,
        context: Arc<PeerContext>,
        address: SocketAddr,
        listener: TcpListener,
        socket: UdpSocket,
    ) -> Self {
        let socket = Arc::new(socket);
        let (members_sender, members) = watch::channel(Arc::default());
        let puller = xtra::spawn_tokio(PullActor::new(Arc::clone(&context)), Mailbox::unbounded());
        let actor = heartbeat_actor(
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
        let attach = puller.send(Attach(heartbeat.downgrade()));
        let tasks = vec![
            abort_handle(async move {
                // The puller lives as long as the heartbeat actor.
                let _ = attach.await;
            }),
            abort_handle(server.run(listener)),
            abort_handle(receive(socket, Arc::clone(&context), heartbeat.clone())),
            abort_handle(run_rounds(config.heartbeat_interval, heartbeat.clone())),
            abort_handle(spread_news(Arc::clone(&context), heartbeat.clone())),
            abort_handle(Arc::clone(&copier).run(members.clone())),
            abort_handle(exchange.run()),
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

    /// Returns the address for UDP and TCP.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the configuration in force.
    pub fn store(&self) -> Arc<ConfigurationStore> {
        Arc::clone(&self.shared.context.store)
    }

    /// Returns a receiver of the members, without this process.
    pub fn members(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.shared.members.clone()
    }

    /// Returns the counts of what was sent, received and refused.
    pub fn counters(&self) -> Arc<PeerCounters> {
        Arc::clone(&self.shared.context.counters)
    }

    /// Fetches the configuration from the process at `address` now, without
    /// waiting for its heartbeat.
    ///
    /// # Errors
    ///
    /// Fails when that process can't be reached or what it holds is malformed.
    pub async fn fetch_configuration(&self, address: SocketAddr) -> Result<(), PeerError> {
        let fetched = pull_configuration(&self.shared.context, address).await;
        fetched.map_err(|error| PeerError::Fetch {
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

    /// Says what is asked of workspaces' limits at this process; others learn
    /// of it within about a second. Workspaces that aren't listed aren't asked
    /// for.
    pub fn set_demand(&self, demands: DemandMap) {
        self.shared.context.demand.set_own(demands);
    }

    /// Returns a receiver of what is asked of the same workspaces' limits at
    /// all other processes together.
    pub fn peer_demand(&self) -> watch::Receiver<Arc<DemandMap>> {
        self.shared.context.demand.others()
    }

    /// Copies a usage record of this process to another host of its data
    /// centre, and returns when that holds it.
    ///
    /// # Errors
    ///
    /// Fails when no other host confirmed a copy in time; the record is kept
    /// and copied as soon as one is there.
    pub async fn copy_usage(&self, record: UsageRecord) -> Result<(), CopyError> {
        self.enqueue_usage(record).wait().await
    }

    /// Queues a usage record of this process for copying. Records must be
    /// queued in the order of their sequence, without gaps.
    pub fn enqueue_usage(&self, record: UsageRecord) -> PendingCopy {
        self.shared.copier.enqueue(record)
    }

    /// Notes that the windows of this process before `window` are left out,
    /// while no record of it is uncovered.
    pub fn skip_usage_windows(&self, window: WindowId) {
        self.shared.copier.skip_to(window);
    }

    /// Notes that a window of this process was closed; returns whether it fits
    /// what was queued.
    pub fn close_usage_window(&self, closed: &ClosedWindow) -> bool {
        self.shared.copier.close_window(closed)
    }

    /// Returns what this process keeps for neighbours.
    pub fn held_copies(&self) -> Vec<HeldCopies> {
        self.lock_copies().held()
    }

    /// Notes that a window of a neighbour's incarnation was closed.
    pub fn close_copied_window(
        &self,
        process: &ProcessId,
        incarnation: Incarnation,
        closed: &ClosedWindow,
    ) {
        self.lock_copies()
            .close_window(process, incarnation, closed);
    }

    /// Forgets a neighbour's incarnation all of whose records are covered.
    pub fn remove_copies(&self, process: &ProcessId, incarnation: Incarnation) {
        self.lock_copies().remove(process, incarnation);
    }

    /// Announces that the process will end soon and takes no new work.
    pub async fn announce_draining(&self) {
        // The actor lives as long as this node holds its address.
        let _ = self.shared.heartbeat.send(Leave).await;
    }

    /// Announces that the process ends now.
    pub async fn announce_exit(&self) {
        // The actor lives as long as this node holds its address.
        let _ = self.shared.heartbeat.send(End).await;
    }

    fn lock_copies(&self) -> MutexGuard<'_, CopyStore> {
        // Nothing that may panic runs between two writes to the ledger.
        let copies = self.shared.copies.lock();
        copies.unwrap_or_else(PoisonError::into_inner)
    }
}

fn heartbeat_actor(
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
        fleet_news: FleetNews::default(),
        started: Instant::now(),
        sequence: 0,
        buffer: Vec::new(),
        superseded: false,
    }
}

fn abort_handle(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}
