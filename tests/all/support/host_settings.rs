//! Builds the settings text of hosts on loopback. Daemons listen on port 0, so the
//! operating system assigns the ports.

use super::DaemonProcess;
use std::fmt::Write;
use std::net::SocketAddr;

/// Key of the peer protocol in tests, in hexadecimal.
pub(crate) const PEER_KEY: &str =
    "0707070707070707070707070707070707070707070707070707070707070707";

/// Returns the loopback address with port 0.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Builder of the settings text of one host.
#[derive(Clone, Debug)]
pub(crate) struct HostSettings {
    name: String,
    data_centre: String,
    platform: SocketAddr,
    seeds: String,
    extra: String,
}

impl HostSettings {
    /// Creates the settings of host `name` in `data_centre` with the platform at
    /// `platform`.
    pub(crate) fn new(name: &str, data_centre: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            platform,
            seeds: String::new(),
            extra: String::new(),
        }
    }

    /// Adds a running daemon of host `name` as a seed of the peer protocol.
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

    /// Appends settings lines, such as a `[usage]` section with its keys.
    #[must_use]
    pub(crate) fn with_lines(mut self, lines: &str) -> Self {
        self.extra.push_str(lines);
        self.extra.push('\n');
        self
    }

    /// Returns the INI text, which holds the sections of both daemons of the host.
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
