//! Settings files of hosts on loopback, every port picked by the system.

use super::DaemonProcess;
use std::fmt::Write;
use std::net::SocketAddr;

/// The key of the protocol between hosts in tests.
pub(crate) const PEER_KEY: &str =
    "0707070707070707070707070707070707070707070707070707070707070707";

/// Returns the loopback address with port 0.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Builds the settings text of one host.
#[derive(Clone, Debug)]
pub(crate) struct HostSettings {
    name: String,
    data_centre: String,
    platform: SocketAddr,
    seeds: String,
    extra: String,
}

impl HostSettings {
    /// Creates the settings of host `name` in `data_centre`.
    pub(crate) fn new(name: &str, data_centre: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            platform,
            seeds: String::new(),
            extra: String::new(),
        }
    }

    /// Adds a running daemon of host `name` as a seed.
    #[must_use]
    pub(crate) fn with_seed(mut self, name: &str, daemon: &DaemonProcess) -> Self {
        let role = match daemon.ready().callers {
            Some(_) => "entry",
            None => "steward",
        };
        let peers = daemon.ready().peers;
        writeln!(self.seeds, "[peer.{name}]\n{role} = {peers}").expect("writing to a string");
        self
    }

    /// Adds further lines, such as `[usage]` with its keys.
    #[must_use]
    pub(crate) fn with_lines(mut self, lines: &str) -> Self {
        self.extra.push_str(lines);
        self.extra.push('\n');
        self
    }

    /// Returns the INI text for both daemons of the host.
    pub(crate) fn text(&self) -> String {
        format!(
            "[host]\nname = {name}\ndata-centre = {data_centre}\n\
             [platform]\naddress = {platform}\ntoken = host-token\n\
             [peers]\nkey = {PEER_KEY}\nheartbeat = 100ms\n{seeds}\
             [entry]\nlisten = 127.0.0.1:0\nadmin-listen = 127.0.0.1:0\npeer-listen = 127.0.0.1:0\n\
             [steward]\nadmin-listen = 127.0.0.1:0\npeer-listen = 127.0.0.1:0\nlease-term = 2s\n\
             {extra}",
            name = self.name,
            data_centre = self.data_centre,
            platform = self.platform,
            seeds = self.seeds,
            extra = self.extra,
        )
    }
}
