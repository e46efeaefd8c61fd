//! Runs a deployment's first data centre: the daemons as separate processes and the
//! upstreams as stand-ins.

use super::session::OperatorSession;
use crate::support::{
    Caller, DaemonProcess, HostSettings, entry_program, eventually, loopback, steward_program,
};
use lagoonlift::types::UpstreamRole;
use lagoonlift_standins::engine::{EngineConfig, EngineStandin};
use lagoonlift_standins::service::ServiceStandin;
use reqwest::Response;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;

/// Stand-ins for the upstreams of a questionnaire. They listen on free ports, whose
/// addresses replace those of the example in a copy of the questionnaire.
pub(super) struct DataCentreUpstreams {
    _engines: Vec<EngineStandin>,
    _service: ServiceStandin,
    /// Pairs of an address in the example and its replacement in the copy.
    changes: Vec<(String, String)>,
}

/// The daemons of one data centre with two hosts.
pub(super) struct DataCentreDaemons {
    stewards: Vec<DaemonProcess>,
    entries: Vec<DaemonProcess>,
}

impl DataCentreUpstreams {
    /// Starts a stand-in for each section of the questionnaire with an address.
    pub(super) fn start(questionnaire: &str) -> Self {
        let text = fs::read_to_string(questionnaire).expect("the example can be read");
        let service = ServiceStandin::start(loopback()).expect("loopback has a free port");
        let mut engines = Vec::new();
        let mut changes = Vec::new();
        for section in text.split("\n[").skip(1) {
            let Some(address) = setting_value(section, "address") else {
                continue;
            };
            let started = match setting_value(section, "models") {
                Some(model) => {
                    engines.push(start_engine(model, setting_value(section, "role")));
                    engines[engines.len() - 1].addr()
                }
                None => service.addr(),
            };
            changes.push((address.to_owned(), started.to_string()));
        }
        Self {
            _engines: engines,
            _service: service,
            changes,
        }
    }

    /// Proposes the questionnaire with the addresses of these upstreams; returns the
    /// proposal's identifier.
    pub(super) async fn propose(&self, session: &mut OperatorSession, file: &str) -> String {
        for (example, started) in &self.changes {
            session.replace(started, example);
        }
        let changes = self.changes.iter();
        let changes: Vec<(&str, &str)> = changes
            .map(|(from, to)| (from.as_str(), to.as_str()))
            .collect();
        let proposal = session.propose_with_changes(file, &changes).await;
        session.replace(&proposal, "PROPOSAL");
        proposal
    }
}

fn setting_value<'a>(section: &'a str, key: &str) -> Option<&'a str> {
    let mut lines = section.lines().filter_map(|line| line.split_once('='));
    let (_, value) = lines.find(|(name, _)| name.trim() == key)?;
    Some(value.trim())
}

fn start_engine(model: &str, role: Option<&str>) -> EngineStandin {
    let model = model.parse().expect("a valid name");
    let mut config = EngineConfig::new(BTreeSet::from([model]));
    config.role = match role {
        Some("prefill") => UpstreamRole::Prefill,
        Some("decode") => UpstreamRole::Decode,
        _ => UpstreamRole::Mixed,
    };
    EngineStandin::start(loopback(), config).expect("loopback has a free port")
}

impl DataCentreDaemons {
    /// Starts a steward and an entry daemon on each of two hosts, and writes their
    /// addresses to the operator's settings.
    pub(super) fn start(session: &mut OperatorSession) -> Self {
        let platform = session.platform().addr();
        let settings = |name: &str| {
            HostSettings::new(name, "dc1", platform).with_lines("[usage]\nwindow = 1s")
        };
        let first = DaemonProcess::start(steward_program(), &settings("a1").text());
        let second = settings("a2").with_seed("a1", &first);
        let second = DaemonProcess::start(steward_program(), &second.text());
        let entry = |name: &str, seed: &str, steward: &DaemonProcess| {
            let settings = settings(name).with_seed(seed, steward);
            DaemonProcess::start(entry_program(), &settings.text())
        };
        let entries = vec![entry("a1", "a2", &second), entry("a2", "a1", &first)];
        let stewards = vec![first, second];
        let hosts = ["a1", "a2"].into_iter().zip(&entries).zip(&stewards);
        let sections = hosts.map(|((name, entry), steward)| {
            let (entry, steward) = (entry.ready().admin, steward.ready().admin);
            format!("[admin.{name}]\nentry = {entry}\nsteward = {steward}\n")
        });
        session.write_settings(&sections.collect::<String>());
        Self { stewards, entries }
    }

    /// Returns a caller of the first entry daemon, once that accepts the key.
    pub(super) async fn caller(&self, key: &str) -> Caller {
        let caller = Caller::new(self.entries[0].callers_url(), key);
        eventually("the key to be in force", || async {
            let response = caller.get("/v1/models").send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await;
        caller
    }

    /// Returns the concatenated metrics of all daemons.
    pub(super) async fn metrics(&self) -> String {
        let mut metrics = String::new();
        for process in self.entries.iter().chain(&self.stewards) {
            let url = format!("{}/metrics", process.admin_url());
            let response = reqwest::get(url).await.expect("the daemon responds");
            metrics.push_str(&response.text().await.expect("the complete page"));
        }
        metrics
    }

    /// Kills the daemons, the entry daemons first.
    pub(super) fn end(self) {
        drop(self.entries);
        drop(self.stewards);
    }
}

/// Sends one chat request of a class, checks that it succeeds, and returns its
/// identifier.
pub(super) async fn send_chat_request(caller: &Caller, class: &str, model: &str) -> String {
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": "what is it like tonight" }],
        "max_tokens": 3,
    });
    let request = caller.chat(&body).header("lagoonlift-class", class);
    let response = request.send().await.expect("a response");
    assert!(response.status().is_success(), "{response:?}");
    let id = header(&response, "lagoonlift-request-id");
    response.bytes().await.expect("the complete response");
    id
}

fn header(response: &Response, name: &str) -> String {
    let value = response.headers().get(name).expect("the header is set");
    value
        .to_str()
        .expect("the header value is ASCII")
        .to_owned()
}

/// Waits until the usage reports at the platform hold at least `requests` requests;
/// returns the lines of the reports.
pub(super) async fn wait_for_usage_lines(session: &OperatorSession, requests: u64) -> Vec<Value> {
    eventually("the requests to be in the usage reports", || async {
        let reports = session.platform().usage_reports();
        let lines = reports
            .iter()
            .filter_map(|report| report["lines"].as_array());
        let lines: Vec<Value> = lines.flatten().cloned().collect();
        let counted = lines.iter().filter_map(|line| line["requests"].as_u64());
        (counted.sum::<u64>() >= requests).then_some(lines)
    })
    .await
}
