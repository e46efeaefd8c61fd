//! Runs one entry daemon against stand-ins.

mod configuration;

pub(crate) use configuration::{configuration, settings};

use lagoonlift_entry::{Entry, EntryTuning};
use lagoonlift_hosts::{OfferOutcome, PeerConfig, PeerNode};
use lagoonlift_standins::engine::{EngineConfig, EngineStandin};
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_standins::service::ServiceStandin;
use lagoonlift_telemetry::Metrics;
use lagoonlift_types::{
    Configuration, DataCentreName, HostName, Incarnation, Limits, Manifest, ModelName, ProcessId,
    ProcessRole,
};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Key of the workspace `harbour`.
pub(crate) const KEY: &str = "key-of-harbour";
/// Key of the workspace `reef`.
pub(crate) const OTHER_KEY: &str = "key-of-reef";
/// The only model.
pub(crate) const MODEL: &str = "tide-7b";
/// Timeout after which a test counts as hanging.
pub(crate) const HANG_GUARD: Duration = Duration::from_secs(30);

const PEER_KEY: [u8; 32] = [7; 32];
const HEARTBEAT: Duration = Duration::from_millis(20);

/// An entry daemon with its engines and plain service, and a peer that holds
/// the configuration and the copies of usage records.
pub(crate) struct EntryFixture {
    pub(crate) entry: Option<Entry>,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) service: ServiceStandin,
    pub(crate) platform: PlatformStandin,
    pub(crate) peer: PeerNode,
    pub(crate) metrics: Metrics,
    pub(crate) configuration: Configuration,
    pub(crate) client: Client,
}

/// Parameters of an [`EntryFixture`].
pub(crate) struct FixtureOptions {
    pub(crate) engines: Vec<EngineConfig>,
    pub(crate) tuning: EntryTuning,
    pub(crate) limits: Limits,
    pub(crate) max_body: u64,
}

impl Default for FixtureOptions {
    fn default() -> Self {
        Self {
            engines: vec![engine_config(), engine_config()],
            tuning: quick_tuning(),
            limits: wide_limits(),
            max_body: 64 * 1024,
        }
    }
}

/// Returns timeouts that are short enough for tests and long enough for a busy
/// machine.
pub(crate) fn quick_tuning() -> EntryTuning {
    EntryTuning {
        header_timeout: Duration::from_millis(700),
        body_chunk_timeout: Duration::from_millis(500),
        caller_stall_timeout: Duration::from_millis(700),
        first_token_timeout: Duration::from_millis(800),
        token_gap_timeout: Duration::from_millis(600),
        service_timeout: Duration::from_millis(800),
        poll_interval: Duration::from_millis(50),
        poll_timeout: Duration::from_millis(300),
        ..EntryTuning::default()
    }
}

pub(crate) fn wide_limits() -> Limits {
    Limits {
        requests_per_second: 100_000.0,
        tokens_per_second: 100_000_000.0,
        burst_seconds: 2.0,
    }
}

pub(crate) fn engine_config() -> EngineConfig {
    EngineConfig::new(BTreeSet::from([model()]))
}

fn model() -> ModelName {
    ModelName::new(MODEL).expect("a valid name")
}

pub(crate) fn data_centre() -> DataCentreName {
    DataCentreName::new("north").expect("a valid name")
}

pub(crate) fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

impl EntryFixture {
    pub(crate) async fn start(plan: FixtureOptions) -> Self {
        let engines: Vec<EngineStandin> = plan
            .engines
            .into_iter()
            .map(|config| EngineStandin::start(loopback(), config).expect("a free port"))
            .collect();
        let service = ServiceStandin::start(loopback()).expect("a free port");
        let platform = PlatformStandin::start(loopback())
            .await
            .expect("a free port");
        let peer = peer(Vec::new()).await;
        let settings = settings("a", &platform, peer.local_addr(), plan.max_body);
        let metrics = Metrics::new().expect("new metrics");
        let entry = Entry::with_tuning(&settings, metrics.clone(), plan.tuning)
            .await
            .expect("the entry starts");
        let configuration = configuration(&engines, service.addr(), plan.limits);
        let mut fixture = Self {
            entry: Some(entry),
            engines,
            service,
            platform,
            peer,
            metrics,
            configuration: Configuration::default(),
            client: Client::builder().build().expect("a client"),
        };
        fixture.publish_configuration(configuration).await;
        fixture.wait_ready(fixture.entry()).await;
        fixture
    }

    /// Publishes a configuration through the peer, as its next revision.
    pub(crate) async fn publish_configuration(&mut self, mut configuration: Configuration) {
        configuration.revision = self.configuration.revision.next();
        let (manifest, chunks) = Manifest::split(&configuration).expect("it can be written");
        let offer = self.peer.store().offer(manifest, chunks);
        assert_eq!(offer, OfferOutcome::Accepted);
        self.configuration = configuration;
    }

    /// Starts an entry daemon on another host.
    pub(crate) async fn start_another(&self, name: &str) -> Entry {
        let seed = self.peer.local_addr();
        let settings = settings(name, &self.platform, seed, 64 * 1024);
        let metrics = Metrics::new().expect("new metrics");
        let entry = Entry::with_tuning(&settings, metrics, quick_tuning()).await;
        let entry = entry.expect("the entry starts");
        self.wait_ready(&entry).await;
        entry
    }

    async fn wait_ready(&self, entry: &Entry) {
        let url = format!("http://{}/ready", entry.admin_addr());
        let ready = async {
            loop {
                let response = self.client.get(&url).send().await;
                if response.is_ok_and(|response| response.status().is_success()) {
                    return;
                }
                tokio::task::yield_now().await;
            }
        };
        timeout(HANG_GUARD, ready)
            .await
            .expect("the entry is ready");
    }

    pub(crate) fn entry(&self) -> &Entry {
        self.entry.as_ref().expect("the entry runs")
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry().caller_addr())
    }

    /// Creates a request to the plain route whose class isn't idempotent.
    pub(crate) fn book(&self, entry: &Entry, key: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/services/harbour/book/7", entry.caller_addr());
        let request = self.client.post(url).bearer_auth(KEY);
        request.header("idempotency-key", key).body("pump")
    }

    pub(crate) fn chat(&self, class: &str, stream: bool, tokens: u64) -> RequestBuilder {
        let body = chat_body(stream, tokens);
        self.client
            .post(self.url("/v1/chat/completions"))
            .bearer_auth(KEY)
            .header("lagoonlift-class", class)
            .json(&body)
    }

    /// Returns the number of requests in the engines' logs that ran at least
    /// `tokens` tokens.
    pub(crate) fn runs(&self, tokens: u64) -> usize {
        let logs = self.engines.iter().map(|engine| engine.log().snapshot());
        logs.flatten()
            .filter(|execution| execution.tokens >= tokens)
            .count()
    }

    /// Returns the value of a counter, summed over the label sets that contain
    /// `label`.
    pub(crate) fn metric(&self, name: &str, label: &str) -> f64 {
        let text = self.metrics.render().expect("metrics can be rendered");
        text.lines()
            .filter(|line| line.starts_with(name) && line.contains(label))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

/// Crashes an engine and waits until nothing listens on its address, because
/// the engine's runtime ends in the background.
pub(crate) async fn crash(engine: &mut EngineStandin) {
    engine.crash();
    let refused = async {
        while TcpStream::connect(engine.addr()).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(HANG_GUARD, refused)
        .await
        .expect("it stops listening");
}

/// The prompt of every chat request in these tests.
pub(crate) const PROMPT: &str = "which pipe failed before";

pub(crate) fn chat_body(stream: bool, tokens: u64) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Returns the concatenated text of a streamed body's chunks.
pub(crate) fn streamed_text(body: &str) -> String {
    let chunks = body.lines().filter_map(|line| line.strip_prefix("data: "));
    chunks
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

pub(crate) fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().expect("a text"))
}

/// Starts a peer that only stores what other processes send.
pub(crate) async fn peer(seeds: Vec<SocketAddr>) -> PeerNode {
    let config = PeerConfig {
        process: ProcessId {
            host: HostName::new("neighbour").expect("a valid name"),
            role: ProcessRole::Entry,
        },
        data_centre: data_centre(),
        incarnation: Incarnation(1),
        listen: loopback(),
        seeds,
        key: PEER_KEY,
        other_key: None,
        heartbeat_interval: HEARTBEAT,
    };
    PeerNode::start(config).await.expect("a free port")
}
