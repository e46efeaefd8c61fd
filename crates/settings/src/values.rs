//! The settings themselves.

use lagoonlift_types::{DataCentreName, HostName};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// All settings of one host. One file serves both daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[host]`: who this host is.
    pub host: HostSettings,
    /// `[platform]`: where the platform's services are.
    pub platform: PlatformSettings,
    /// `[peers]` and `[peer.NAME]`: the protocol between hosts.
    pub peers: PeerSettings,
    /// `[entry]`: the entry daemon.
    pub entry: Option<EntrySettings>,
    /// `[steward]`: the steward daemon.
    pub steward: Option<StewardSettings>,
    /// `[usage]`: usage windows.
    pub usage: UsageSettings,
    /// `[log]`: logs.
    pub log: LogSettings,
}

/// Who this host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// `name`.
    pub name: HostName,
    /// `data-centre`.
    pub data_centre: DataCentreName,
}

/// Where the platform's services are.
#[derive(Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// `address`.
    pub address: SocketAddr,
    /// `token`: sent as a bearer token with each call.
    pub token: String,
    /// `timeout`: after which a call counts as lost.
    pub timeout: Duration,
}

impl fmt::Debug for PlatformSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformSettings")
            .field("address", &self.address)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// A key by which hosts authenticate each other.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub [u8; 32]);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// The protocol between hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// `key`: signs what is sent, and is accepted.
    pub key: PeerKey,
    /// `other-key`: accepted too, while keys are being rotated.
    pub other_key: Option<PeerKey>,
    /// `heartbeat`: time between two rounds of heartbeats.
    pub heartbeat: Duration,
    /// `[peer.NAME]`: hosts that are contacted first; others are learned.
    pub seeds: Vec<PeerSeed>,
}

/// A host that is contacted first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSeed {
    /// Its name, from the section.
    pub name: HostName,
    /// `entry`: peer address of its entry daemon.
    pub entry: Option<SocketAddr>,
    /// `steward`: peer address of its steward daemon.
    pub steward: Option<SocketAddr>,
}

/// The entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// `listen`: for callers.
    pub listen: SocketAddr,
    /// `admin-listen`: metrics, readiness and `explain`.
    pub admin_listen: SocketAddr,
    /// `peer-listen`: UDP and TCP for other hosts.
    pub peer_listen: SocketAddr,
    /// `max-body`: largest request body, in bytes.
    pub max_body_bytes: u64,
    /// `drain-timeout`: most time that a graceful shutdown waits for streams.
    pub drain_timeout: Duration,
}

/// The steward daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StewardSettings {
    /// `admin-listen`: metrics, readiness and `explain`.
    pub admin_listen: SocketAddr,
    /// `peer-listen`: UDP and TCP for other hosts.
    pub peer_listen: SocketAddr,
    /// `lease-term`: how long a lease holds after its renewal was sent.
    pub lease_term: Duration,
    /// `plan-for`: what the plan of roles and purchases weighs most; without it
    /// nothing is planned and only operators ask for changes.
    pub plan_weighting: Option<PlanWeighting>,
}

/// What the plan of roles and purchases weighs most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanWeighting {
    /// The workspace that is served worst.
    WorstServed,
    /// Goodput through changes of the mix.
    Goodput,
}

/// Usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// `window`: length of a usage window.
    pub window: Duration,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// `format`.
    pub format: LogFormat,
    /// `filter`: which lines are written, in the form `info,lagoonlift=debug`.
    pub filter: String,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Plain,
    /// One JSON object a line.
    Json,
}
