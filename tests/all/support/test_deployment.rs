//! A complete deployment as separate processes, with stand-ins for the platform and
//! the upstreams.

use super::daemon::{entry_program, steward_program};
use super::{DaemonProcess, HANG_GUARD, HostSettings, eventually, operator_program};
use lagoonlift::platform::PlatformClient;
use lagoonlift::types::{Limits, RouteAccess};
use lagoonlift_standins::sample::SampleConfiguration;
use reqwest::Client;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A stand-in that runs as a separate process. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct StandinProcess {
    child: Child,
    addr: SocketAddr,
}

/// First line of a stand-in's output, in JSON.
#[derive(Debug, Deserialize)]
struct StandinReadyLine {
    listen: SocketAddr,
}

impl StandinProcess {
    /// Runs `lagoonlift standin` with these arguments and waits until it prints its
    /// address.
    pub(crate) fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(operator_program())
            .arg("standin")
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary can be started");
        let output = child.stdout.take().expect("the standard output is piped");
        let mut line = String::new();
        let result = BufReader::new(output).read_line(&mut line);
        result.expect("the stand-in's output can be read");
        let line: StandinReadyLine =
            serde_json::from_str(&line).expect("the stand-in prints its address as JSON");
        Self {
            child,
            addr: line.listen,
        }
    }

    /// Returns the address that the stand-in listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Kills the process.
    pub(crate) fn stop(&mut self) {
        // Killing fails only if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A platform, two engines, a plain service, two steward daemons (0 in `dc1`, 1 in
/// `dc2`) and three entry daemons (0 and 1 in `dc1`, 2 in `dc2`).
pub(crate) struct TestDeployment {
    platform: StandinProcess,
    engines: Vec<StandinProcess>,
    service: StandinProcess,
    stewards: Vec<DaemonProcess>,
    entries: Vec<DaemonProcess>,
    client: Client,
}

impl TestDeployment {
    /// Starts a deployment whose engines generate tokens without delay.
    pub(crate) async fn start() -> Self {
        Self::start_with("0", |sample| sample).await
    }

    /// Starts a deployment whose workspace has these limits.
    pub(crate) async fn start_limited(limits: Limits) -> Self {
        Self::start_with("0", |sample| sample.with_limits("plumbers", limits)).await
    }

    /// Starts a deployment whose engines take 50 ms per token.
    pub(crate) async fn start_slow() -> Self {
        Self::start_with("50", |sample| sample).await
    }

    async fn start_with(
        milliseconds: &str,
        change: impl FnOnce(SampleConfiguration) -> SampleConfiguration,
    ) -> Self {
        let platform = StandinProcess::start(&["platform"]);
        let engine = || {
            let pace = ["--token-interval", milliseconds];
            StandinProcess::start(&["engine", "--model", "tide-7b", pace[0], pace[1]])
        };
        let engines = vec![engine(), engine()];
        let service = StandinProcess::start(&["service"]);
        let sample = change(configuration(&engines, &service));
        publish(platform.addr(), &sample).await;
        let settings = |name: &str, data_centre: &str| {
            HostSettings::new(name, data_centre, platform.addr()).with_lines("[usage]\nwindow = 1s")
        };
        let first = settings("s1", "dc1");
        let first = DaemonProcess::start(steward_program(), &first.text());
        let second = settings("s2", "dc2").with_seed("s1", &first);
        let second = DaemonProcess::start(steward_program(), &second.text());
        let start_entry = |name: &str, data_centre: &str| {
            let settings = settings(name, data_centre);
            let settings = settings.with_seed("s1", &first).with_seed("s2", &second);
            DaemonProcess::start(entry_program(), &settings.text())
        };
        let entries = vec![
            start_entry("a1", "dc1"),
            start_entry("a2", "dc1"),
            start_entry("b1", "dc2"),
        ];
        let deployment = Self {
            platform,
            engines,
            service,
            stewards: vec![first, second],
            entries,
            client: Client::new(),
        };
        deployment.wait_until_ready().await;
        deployment
    }

    /// Returns the base URL for callers of an entry daemon.
    pub(crate) fn callers_url(&self, entry: usize) -> String {
        self.entries[entry].callers_url()
    }

    /// Returns the process of an entry daemon.
    pub(crate) fn entry(&mut self, entry: usize) -> &mut DaemonProcess {
        &mut self.entries[entry]
    }

    /// Returns the process of a steward daemon.
    pub(crate) fn steward(&mut self, steward: usize) -> &mut DaemonProcess {
        &mut self.stewards[steward]
    }

    /// Kills the platform's process.
    pub(crate) fn stop_platform(&mut self) {
        self.platform.stop();
    }

    /// Waits until the platform's usage reports hold at least `count` requests;
    /// returns the summed figures by workspace and class.
    pub(crate) async fn wait_for_billed_requests(&self, count: u64) -> Value {
        eventually("the requests to be in the usage reports", || async {
            let figures = sum_reports(
                &self
                    .get(self.platform.addr(), "/standin/usage-reports")
                    .await,
            );
            let requests: u64 = figures.values().map(|sums| sums[0]).sum();
            (requests >= count).then(|| json!(figures))
        })
        .await
    }

    /// Returns the number of generated tokens of each execution on either engine.
    pub(crate) async fn tokens_by_execution(&self) -> Vec<u64> {
        let mut tokens = Vec::new();
        for engine in &self.engines {
            let log = self.get(engine.addr(), "/standin/log").await;
            let log = log.as_array().cloned().unwrap_or_default();
            tokens.extend(log.iter().filter_map(|run| run["tokens"].as_u64()));
        }
        tokens
    }

    /// Returns the number of calls that reached upstreams, and the number of those
    /// that carried a key.
    pub(crate) async fn count_upstream_calls(&self) -> (usize, usize) {
        let mut calls = Vec::new();
        for engine in &self.engines {
            let log = self.get(engine.addr(), "/standin/log").await;
            calls.extend(log.as_array().cloned().unwrap_or_default());
        }
        let log = self.get(self.service.addr(), "/standin/calls").await;
        calls.extend(log.as_array().cloned().unwrap_or_default());
        let with_key = calls.iter().filter(|call| call["had_key"] == true).count();
        (calls.len(), with_key)
    }

    async fn get(&self, addr: SocketAddr, path: &str) -> Value {
        let response = self.client.get(format!("http://{addr}{path}")).send().await;
        let response = response.expect("the stand-in responds");
        response.json().await.expect("the response is JSON")
    }

    async fn wait_until_ready(&self) {
        for entry in &self.entries {
            let url = format!("{}/ready", entry.admin_url());
            eventually("an entry daemon to be ready", || async {
                let response = self.client.get(&url).send().await.ok()?;
                response.status().is_success().then_some(())
            })
            .await;
        }
    }
}

fn configuration(engines: &[StandinProcess], service: &StandinProcess) -> SampleConfiguration {
    SampleConfiguration::new()
        .with_workspace("plumbers", "key-of-the-plumbers", "tide-7b")
        .with_engine("dc1", "engine-1", engines[0].addr(), "tide-7b")
        .with_engine("dc2", "engine-2", engines[1].addr(), "tide-7b")
        .with_service("dc1", "desk", service.addr())
        .with_route("plumbers", "bookings", "desk", RouteAccess::Keyed)
        .with_route("plumbers", "status", "desk", RouteAccess::Open)
}

async fn publish(platform: SocketAddr, sample: &SampleConfiguration) {
    let client = PlatformClient::new(platform, "operator-token".to_owned(), HANG_GUARD);
    for (key, value) in sample.objects() {
        client
            .create(&key, &value)
            .await
            .expect("the platform creates the object");
    }
}

/// Sums the usage reports; returns requests, prompt tokens and output tokens by
/// workspace and class.
fn sum_reports(reports: &Value) -> BTreeMap<String, [u64; 3]> {
    let mut sums = BTreeMap::<String, [u64; 3]>::new();
    let reports = reports.as_array().map_or(&[][..], Vec::as_slice);
    for line in reports
        .iter()
        .filter_map(|report| report["lines"].as_array())
        .flatten()
    {
        let text = |name: &str| line[name].as_str().unwrap_or_default();
        let name = format!("{}/{}", text("workspace"), text("class"));
        let sum = sums.entry(name).or_default();
        for (index, figure) in ["requests", "prompt_tokens", "output_tokens"]
            .iter()
            .enumerate()
        {
            sum[index] += line[*figure].as_u64().unwrap_or_default();
        }
    }
    sums
}
