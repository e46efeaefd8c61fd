//! A running steward: its parts and their order of start and stop.

use crate::candidate::{CandidateFlag, run_candidacy};
use crate::configuration::ConfigurationReader;
use eyre::{OptionExt, WrapErr};
use lagoonlift_hosts::{PeerConfig, PeerNode};
use lagoonlift_platform::PlatformClient;
use lagoonlift_settings::{PeerSettings, Settings, StewardSettings};
use lagoonlift_telemetry::{Metrics, Readiness, admin_routes};
use lagoonlift_types::{Configuration, Incarnation, ProcessId, ProcessRole};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A running steward.
pub struct Steward {
    node: PeerNode,
    admin_addr: SocketAddr,
    readiness: Readiness,
    tasks: Vec<AbortHandle>,
}

impl Drop for Steward {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Steward {
    /// Starts a steward; it runs until it is shut down or dropped.
    ///
    /// # Errors
    ///
    /// Fails when the settings have no `[steward]` or an address is taken.
    pub async fn start(settings: &Settings, metrics: Metrics) -> eyre::Result<Self> {
        let own = settings.steward.as_ref();
        let own = own.ok_or_eyre("the settings have no section [steward]")?;
        let process = ProcessId {
            host: settings.host.name.clone(),
            role: ProcessRole::Steward,
        };
        let config = peer_config(settings, own, process.clone())?;
        let node = PeerNode::start(config)
            .await
            .wrap_err("the protocol between hosts can't start")?;
        let platform = &settings.platform;
        let client =
            PlatformClient::new(platform.address, platform.token.clone(), platform.timeout);
        let (raise, candidate) = watch::channel(false);
        let candidate = CandidateFlag::new(candidate);
        let candidacy = run_candidacy(
            process,
            settings.host.data_centre.clone(),
            node.members(),
            raise,
        );
        let reader = ConfigurationReader::new(client, node.store(), candidate);
        let readiness = Readiness::new();
        let listener = TcpListener::bind(own.admin_listen)
            .await
            .wrap_err("the admin address can't be listened on")?;
        let admin_addr = listener.local_addr()?;
        let admin = warp::serve(admin_routes(metrics, readiness.clone())).incoming(listener);
        let tasks = vec![
            tokio::spawn(candidacy).abort_handle(),
            tokio::spawn(reader.run()).abort_handle(),
            tokio::spawn(admin.run()).abort_handle(),
        ];
        readiness.set(true);
        Ok(Self {
            node,
            admin_addr,
            readiness,
            tasks,
        })
    }

    /// Returns the address of metrics and readiness.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Returns the address for other hosts.
    pub fn peer_addr(&self) -> SocketAddr {
        self.node.local_addr()
    }

    /// Returns a receiver of each configuration that comes into force.
    pub fn configurations(&self) -> watch::Receiver<Arc<Configuration>> {
        self.node.store().subscribe()
    }

    /// Stops gracefully.
    pub async fn shutdown(self) {
        self.readiness.set(false);
        self.node.leave().await;
        self.node.end().await;
    }
}

fn peer_config(
    settings: &Settings,
    own: &StewardSettings,
    process: ProcessId,
) -> eyre::Result<PeerConfig> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let peers = &settings.peers;
    Ok(PeerConfig {
        process,
        data_centre: settings.host.data_centre.clone(),
        incarnation: Incarnation(started.as_millis().try_into()?),
        listen: own.peer_listen,
        seeds: seed_addresses(peers, own.peer_listen),
        key: peers.key.0,
        other_key: peers.other_key.as_ref().map(|key| key.0),
        heartbeat: peers.heartbeat,
    })
}

fn seed_addresses(peers: &PeerSettings, own: SocketAddr) -> Vec<SocketAddr> {
    let seeds = peers.seeds.iter();
    seeds
        .flat_map(|seed| [seed.entry, seed.steward])
        .flatten()
        .filter(|address| *address != own)
        .collect()
}
