//! A whole deployment as separate processes.

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

/// A stand-in as a process of its own. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct StandinProcess {
    child: Child,
    addr: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct StandinLine {
    listen: SocketAddr,
}

impl StandinProcess {
    /// Starts a stand-in of this kind.
    pub(crate) fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(operator_program())
            .arg("standin")
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program is built");
        let output = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        let result = BufReader::new(output).read_line(&mut line);
        result.expect("the stand-in's output can be read");
        let line: StandinLine = serde_json::from_str(&line).expect("the address as JSON");
        Self {
            child,
            addr: line.listen,
        }
    }

    /// Returns the address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends the process.
    pub(crate) fn stop(&mut self) {
        // Fails only if it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Platform, two engines, a plain service, two stewards and three entries:
/// entries 0 and 1 in `dc1`, entry 2 in `dc2`.
pub(crate) struct Fleet {
    platform: StandinProcess,
    engines: Vec<StandinProcess>,
    service: StandinProcess,
    stewards: Vec<DaemonProcess>,
    entries: Vec<DaemonProcess>,
    client: Client,
}

impl Fleet {
    /// Starts everything, with engines that answer at once.
    pub(crate) async fn start() -> Self {
        Self::start_with("0", |sample| sample).await
    }

    /// Starts everything with these limits of the workspace.
    pub(crate) async fn start_limited(limits: Limits) -> Self {
        Self::start_with("0", |sample| sample.with_limits("plumbers", limits)).await
    }

    /// Starts everything, with engines that take 50 ms a token.
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
        let fleet = Self {
            platform,
            engines,
            service,
            stewards: vec![first, second],
            entries,
            client: Client::new(),
        };
        fleet.wait_until_ready().await;
        fleet
    }

    /// Returns the callers' address of an entry.
    pub(crate) fn callers_url(&self, entry: usize) -> String {
        self.entries[entry].callers_url()
    }

    /// Returns an entry's process.
    pub(crate) fn entry(&mut self, entry: usize) -> &mut DaemonProcess {
        &mut self.entries[entry]
    }

    /// Returns a steward's process.
    pub(crate) fn steward(&mut self, steward: usize) -> &mut DaemonProcess {
        &mut self.stewards[steward]
    }

    /// Ends the platform's process.
    pub(crate) fn stop_platform(&mut self) {
        self.platform.stop();
    }

    /// Waits until this many requests are in the platform's usage reports;
    /// returns their figures by workspace.
    pub(crate) async fn wait_for_billed_requests(&self, count: u64) -> Value {
        eventually("the usage reports", || async {
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

    /// Returns how many tokens each execution of any engine generated.
    pub(crate) async fn executions(&self) -> Vec<u64> {
        let mut tokens = Vec::new();
        for engine in &self.engines {
            let log = self.get(engine.addr(), "/standin/log").await;
            let log = log.as_array().cloned().unwrap_or_default();
            tokens.extend(log.iter().filter_map(|run| run["tokens"].as_u64()));
        }
        tokens
    }

    /// Returns how many calls reached upstreams, and how many held a key.
    pub(crate) async fn keys_seen(&self) -> (usize, usize) {
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
        let response = response.expect("the stand-in answers");
        response.json().await.expect("JSON")
    }

    async fn wait_until_ready(&self) {
        for entry in &self.entries {
            let url = format!("{}/ready", entry.admin_url());
            eventually("an entry to be ready", || async {
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
            .expect("the platform is up");
    }
}

/// Sums requests, prompt tokens and output tokens by workspace and class.
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
