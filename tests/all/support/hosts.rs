//! Hosts of one data centre as separate processes, with the stand-ins in the test's
//! own process.

use super::{DaemonProcess, HostSettings, entry_program, eventually, loopback, steward_program};
use lagoonlift::hosts::{PeerConfig, PeerNode};
use lagoonlift::types::{HostName, Incarnation, ProcessId, ProcessRole};
use lagoonlift::usage::UsageWindow;
use lagoonlift_standins::engine::{EngineConfig, EngineStandin};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_standins::sample::SampleConfiguration;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Key of the peer protocol in tests, as bytes.
pub(crate) const PEER_KEY_BYTES: [u8; 32] = [7; 32];

const MODEL: &str = "tide-7b";

/// One steward daemon and several entry daemons of `dc1`, a platform and an engine.
pub(crate) struct HostGroup {
    pub(crate) platform: PlatformStandin,
    engine: EngineStandin,
    steward: DaemonProcess,
    pub(crate) entries: Vec<DaemonProcess>,
}

impl HostGroup {
    /// Starts the group with entry daemons `a1`, `a2` and so on, and waits until all
    /// of them are ready and know each other.
    pub(crate) async fn start(entries: usize) -> Self {
        let platform = PlatformStandin::start(loopback()).await;
        let platform = platform.expect("loopback has ports");
        let models = BTreeSet::from([MODEL.parse().expect("a valid name")]);
        let engine = EngineStandin::start(loopback(), EngineConfig::new(models));
        let engine = engine.expect("loopback has ports");
        let settings = HostSettings::new("s1", "dc1", platform.addr());
        let steward = DaemonProcess::start(steward_program(), &settings.text());
        let mut group = Self {
            platform,
            engine,
            steward,
            entries: Vec::new(),
        };
        group.publish(1, "key-of-the-plumbers");
        for index in 1..=entries {
            group.start_entry(&format!("a{index}"), &[]).await;
        }
        group.wait_until_connected().await;
        group
    }

    /// Waits until every entry daemon lists the other entry daemons and the steward.
    async fn wait_until_connected(&self) {
        let others = self.entries.len() as u64;
        for entry in 0..self.entries.len() {
            eventually("the entry daemons to list each other", || async {
                let members = self.metric_value(entry, "lagoonlift_peer_members").await;
                (members >= others).then_some(())
            })
            .await;
        }
    }

    /// Starts another entry daemon with these seeds besides the steward, and waits
    /// until it is ready.
    pub(crate) async fn start_entry(&mut self, name: &str, seeds: &[(&str, SocketAddr)]) {
        let mut settings = HostSettings::new(name, "dc1", self.platform.addr())
            .with_lines("[usage]\nwindow = 2s")
            .with_seed("s1", &self.steward);
        for (seed, address) in seeds {
            settings = settings.with_lines(&format!("[peer.{seed}]\nentry = {address}"));
        }
        let entry = DaemonProcess::start(entry_program(), &settings.text());
        let url = format!("{}/ready", entry.admin_url());
        self.entries.push(entry);
        eventually("an entry daemon to be ready", || async {
            let response = reqwest::get(&url).await.ok()?;
            response.status().is_success().then_some(())
        })
        .await;
    }

    /// Publishes a configuration whose only API key is `key` on the platform.
    pub(crate) fn publish(&self, revision: u64, key: &str) {
        let sample = SampleConfiguration::new()
            .with_revision(revision)
            .with_workspace("plumbers", key, MODEL)
            .with_engine("dc1", "engine-1", self.engine.addr(), MODEL);
        for (key, value) in sample.objects() {
            self.platform.put_object(&key, value);
        }
    }

    /// Starts a peer node in the test's process that joins the group.
    pub(crate) async fn join_as_observer(&self, name: &str, key: [u8; 32]) -> PeerNode {
        let config = PeerConfig {
            process: ProcessId {
                host: HostName::new(name).expect("a valid name"),
                role: ProcessRole::Steward,
            },
            data_centre: "dc9".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            listen: loopback(),
            seeds: vec![self.steward.ready().peers],
            key,
            other_key: None,
            heartbeat_interval: Duration::from_millis(100),
        };
        PeerNode::start(config).await.expect("loopback has ports")
    }

    /// Returns the value of a counter or gauge of an entry daemon; 0 if its metrics
    /// don't list it.
    pub(crate) async fn metric_value(&self, entry: usize, name: &str) -> u64 {
        let url = format!("{}/metrics", self.entries[entry].admin_url());
        let response = reqwest::get(url).await.expect("a response");
        let text = response.text().await.expect("the complete page");
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split_whitespace().next_back());
        value.map_or(0, |value| value.parse().expect("a number"))
    }

    /// Returns the usage windows that the platform stores.
    pub(crate) fn usage_windows(&self) -> Vec<UsageWindow> {
        let objects = self.platform.objects("usage/windows/");
        let parse = |value| serde_json::from_value(value).expect("a usage window");
        let values = objects.into_iter().map(|object| object.value);
        values.map(parse).collect()
    }

    /// Returns the number of requests in all usage windows.
    pub(crate) fn billed_requests(&self) -> u64 {
        let windows = self.usage_windows();
        let lines = windows.iter().flat_map(|window| &window.lines);
        lines.map(|line| line.figures.requests).sum()
    }

    /// Waits until the usage windows hold at least this many requests.
    pub(crate) async fn wait_for_billed_requests(&self, requests: u64) {
        eventually("the requests to be in usage windows", || async {
            (self.billed_requests() >= requests).then_some(())
        })
        .await;
    }
}
