//! A complete deployment in this process, on stand-ins and loopback.
//!
//! The demo and the overhead measurement need the same deployment that the tests
//! start as separate processes: platform, engines, a plain service, entries and a
//! steward for each data centre. Here all components run in one process, but they
//! share no state and communicate over the same protocols.

use eyre::{Result, WrapErr, bail};
use lagoonlift::entry::Entry;
use lagoonlift::settings::Settings;
use lagoonlift::steward::Steward;
use lagoonlift::telemetry::Metrics;
use lagoonlift::types::ModelName;
use lagoonlift_standins::engine::{EngineConfig, EngineStandin};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_standins::sample::SampleConfiguration;
use lagoonlift_standins::service::ServiceStandin;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

/// The model that all engines of a local deployment serve.
pub(crate) const MODEL: &str = "tide-7b";

/// Timeout for the readiness of all entries.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two readiness checks.
const POLLING_INTERVAL: Duration = Duration::from_millis(20);
/// Authentication key of messages between hosts, in hexadecimal. It may be public,
/// because the deployment uses loopback addresses only.
const PEER_KEY: &str = "0303030303030303030303030303030303030303030303030303030303030303";

/// Deployment whose components all run in this process.
pub(crate) struct LocalDeployment {
    pub(crate) platform: PlatformStandin,
    pub(crate) engines: Vec<EngineStandin>,
    _service: ServiceStandin,
    stewards: Vec<Steward>,
    entries: Vec<Entry>,
    entry_runtime: Handle,
}

/// Addresses of the upstreams, for the configuration of the deployment.
pub(crate) struct LocalUpstreams {
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) service: SocketAddr,
}

impl LocalDeployment {
    /// Starts the deployment with all components on the current runtime. See
    /// [`Self::start_on`].
    pub(crate) async fn start(
        engines: Vec<EngineConfig>,
        configure: impl FnOnce(&LocalUpstreams) -> SampleConfiguration,
    ) -> Result<Self> {
        Self::start_on(Handle::current(), engines, configure).await
    }

    /// Starts the platform, the engines, a plain service, one steward for each of
    /// two data centres, and three entries. Returns when all entries are ready.
    ///
    /// The entries run on `entry_runtime`, everything else on the current runtime.
    /// `configure` returns the configuration for the given upstreams.
    pub(crate) async fn start_on(
        entry_runtime: Handle,
        engines: Vec<EngineConfig>,
        configure: impl FnOnce(&LocalUpstreams) -> SampleConfiguration,
    ) -> Result<Self> {
        let platform = PlatformStandin::start(loopback()).await?;
        let start_engine = |config| EngineStandin::start(loopback(), config);
        let engines = engines
            .into_iter()
            .map(start_engine)
            .collect::<io::Result<Vec<_>>>()?;
        let service = ServiceStandin::start(loopback())?;
        let upstreams = LocalUpstreams {
            engines: engines.iter().map(EngineStandin::addr).collect(),
            service: service.addr(),
        };
        for (key, value) in configure(&upstreams).objects() {
            platform.put_object(&key, value);
        }
        let mut deployment = Self {
            platform,
            engines,
            _service: service,
            stewards: Vec::new(),
            entries: Vec::new(),
            entry_runtime,
        };
        for (host, data_centre) in [("s1", "dc1"), ("s2", "dc2")] {
            deployment.start_steward(host, data_centre).await?;
        }
        for (host, data_centre) in [("a1", "dc1"), ("a2", "dc1"), ("b1", "dc2")] {
            deployment.start_entry(host, data_centre).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the addresses at which the entries accept callers' requests.
    pub(crate) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::caller_addr).collect()
    }

    /// Shuts down all daemons gracefully. The stand-ins keep running.
    pub(crate) async fn stop_daemons(&mut self) {
        for entry in self.entries.drain(..) {
            entry.shutdown().await;
        }
        for steward in self.stewards.drain(..) {
            steward.shutdown().await;
        }
    }

    async fn start_steward(&mut self, host: &str, data_centre: &str) -> Result<()> {
        let settings = self.settings(host, data_centre)?;
        let steward = Steward::start(&settings, Metrics::new()?).await?;
        self.stewards.push(steward);
        Ok(())
    }

    async fn start_entry(&mut self, host: &str, data_centre: &str) -> Result<()> {
        let settings = self.settings(host, data_centre)?;
        let metrics = Metrics::new()?;
        let start_entry = async move { Entry::start(&settings, metrics).await };
        let entry = self.entry_runtime.spawn(start_entry).await??;
        self.entries.push(entry);
        Ok(())
    }

    fn settings(&self, host: &str, data_centre: &str) -> Result<Settings> {
        let mut text = format!(
            "[host]\nname = {host}\ndata-centre = {data_centre}\n\
             [platform]\naddress = {}\ntoken = host-token\n\
             [peers]\nkey = {PEER_KEY}\nheartbeat = 100ms\n\
             [usage]\nwindow = 1s\n",
            self.platform.addr()
        );
        for section in ["entry", "steward"] {
            writeln!(
                text,
                "[{section}]\nadmin-listen = 127.0.0.1:0\npeer-listen = 127.0.0.1:0"
            )?;
            if section == "entry" {
                writeln!(text, "listen = 127.0.0.1:0")?;
            }
        }
        for (index, steward) in self.stewards.iter().enumerate() {
            let peer = steward.peer_addr();
            writeln!(text, "[peer.s{}]\nsteward = {peer}", index + 1)?;
        }
        Ok(Settings::parse(Path::new("built-in settings"), &text)?)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let client = reqwest::Client::new();
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in &self.entries {
            let url = format!("http://{}/ready", entry.admin_addr());
            while !is_ready(&client, &url).await {
                if Instant::now() > deadline {
                    bail!("an entry was not ready within {START_TIMEOUT:?}");
                }
                sleep(POLLING_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Returns the configuration of an engine that serves [`MODEL`].
pub(crate) fn engine_config() -> Result<EngineConfig> {
    let model = ModelName::new(MODEL).wrap_err("invalid model name")?;
    Ok(EngineConfig::new(BTreeSet::from([model])))
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn is_ready(client: &reqwest::Client, url: &str) -> bool {
    match client.get(url).send().await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}
