//! Types of the settings.

use lagoonlift_types::{DataCentreName, HostName};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a host, which both of its daemons read from the same file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[host]`: name and data centre of the host.
    pub host: HostSettings,
    /// `[platform]`: address of the platform's services.
    pub platform: PlatformSettings,
    /// `[peers]` and `[peer.NAME]`: messages between hosts.
    pub peers: PeerSettings,
    /// `[entry]`: the entry daemon; `None` if the section is missing.
    pub entry: Option<EntrySettings>,
    /// `[steward]`: the steward daemon; `None` if the section is missing.
    pub steward: Option<StewardSettings>,
    /// `[usage]`: usage windows.
    pub usage: UsageSettings,
    /// `[log]`: format and filter of the log.
    pub log: LogSettings,
}

/// Identity of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// `name`: name of the host.
    pub name: HostName,
    /// `data-centre`: name of the host's data centre.
    pub data_centre: DataCentreName,
}

/// Address of the platform's services, and the credentials for them.
#[derive(Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// `address`: address of the platform's HTTP server.
    pub address: SocketAddr,
    /// `token`: the bearer token of each call.
    pub token: String,
    /// `timeout`: time after which a call without a response fails.
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

/// A secret key with which hosts authenticate their messages to each other.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub [u8; 32]);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Settings of the messages between hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// `key`: authenticates sent messages, and is accepted for received ones.
    pub key: PeerKey,
    /// `other-key`: also accepted for received messages, during a key rotation.
    pub other_key: Option<PeerKey>,
    /// `heartbeat`: interval between rounds of heartbeats.
    pub heartbeat: Duration,
    /// `[peer.NAME]`: the first hosts that a process contacts after its start.
    /// Further hosts are discovered through them.
    pub seeds: Vec<PeerSeed>,
}

/// One of the first hosts that a process contacts after its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSeed {
    /// Its name, from the section name.
    pub name: HostName,
    /// `entry`: peer address of its entry daemon.
    pub entry: Option<SocketAddr>,
    /// `steward`: peer address of its steward daemon.
    pub steward: Option<SocketAddr>,
}

/// Settings of the entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// `listen`: for callers' requests.
    pub listen: SocketAddr,
    /// `admin-listen`: metrics, readiness and `explain`.
    pub admin_listen: SocketAddr,
    /// `peer-listen`: UDP and TCP for other hosts.
    pub peer_listen: SocketAddr,
    /// `max-body`: largest request body, in bytes.
    pub max_body_bytes: u64,
    /// `drain-timeout`: longest time that a graceful shutdown waits for open streams.
    pub drain_timeout: Duration,
}

/// Settings of the steward daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StewardSettings {
    /// `admin-listen`: metrics, readiness and `explain`.
    pub admin_listen: SocketAddr,
    /// `peer-listen`: UDP and TCP for other hosts.
    pub peer_listen: SocketAddr,
    /// `lease-term`: time for which a lease is valid after its renewal was sent.
    pub lease_term: Duration,
    /// `plan-for`: the objective of the plan of roles and purchases. If it is `None`,
    /// the steward plans nothing, and changes are made only when operators request
    /// them.
    pub plan_weighting: Option<PlanWeighting>,
}

/// Objective of the plan of roles and purchases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanWeighting {
    /// Favours the workspace with the worst service.
    WorstServed,
    /// Favours goodput while the mix of requests changes.
    Goodput,
}

/// Settings of usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// `window`: length of a usage window.
    pub window: Duration,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// `format`: format of the log lines.
    pub format: LogFormat,
    /// `filter`: log levels by module, such as `info,lagoonlift=debug`.
    pub filter: String,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, for people.
    Plain,
    /// One JSON object per line.
    Json,
}
