//! Starts stewards and stand-ins in the test process.

use lagoonlift_settings::Settings;
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_steward::Steward;
use lagoonlift_telemetry::Metrics;
use lagoonlift_types::{
    Configuration, DataCentreCapacity, DataCentreName, FencingSupport, Manifest, ModelName,
    Revision, Supply, Upstream, UpstreamKind, UpstreamName, UpstreamRole,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after which a wait fails the test instead of hanging.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval for conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) async fn start_platform() -> PlatformStandin {
    let listen = "127.0.0.1:0".parse().expect("an address");
    PlatformStandin::start(listen).await.expect("a free port")
}

/// Returns the settings of a steward on `host` of data centre `dc1`.
pub(crate) fn settings(host: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let seeds: String = seeds
        .iter()
        .enumerate()
        .map(|(index, seed)| format!("[peer.seed{index}]\nsteward = {seed}\n"))
        .collect();
    let key = "11".repeat(32);
    let text = format!(
        "[host]\nname = {host}\ndata-centre = dc1\n\
         [platform]\naddress = {platform}\ntoken = steward\ntimeout = 300ms\n\
         [peers]\nkey = {key}\nheartbeat = 50ms\n{seeds}\
         [steward]\nadmin-listen = 127.0.0.1:0\npeer-listen = 127.0.0.1:0\n\
         lease-term = 600ms\n[usage]\nwindow = 1s\n"
    );
    Settings::parse(Path::new("test.ini"), &text).expect("valid settings")
}

pub(crate) async fn start_steward(settings: &Settings) -> Steward {
    start_with_metrics(settings).await.0
}

/// Starts a steward and returns it with its metrics.
pub(crate) async fn start_with_metrics(settings: &Settings) -> (Steward, Metrics) {
    let metrics = Metrics::new().expect("an empty registry");
    let steward = Steward::start(settings, metrics.clone()).await;
    (steward.expect("free ports"), metrics)
}

/// Polls a condition until it holds, for conditions without a notification.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_TIMEOUT, poll)
        .await
        .expect("the condition holds before the timeout");
}

/// Returns the name of the only engine of `dc1`.
pub(crate) fn upstream_name() -> UpstreamName {
    UpstreamName::new("e1").expect("a valid name")
}

/// Publishes a configuration with revision 1 and one engine in `dc1`.
pub(crate) fn publish_engine(
    platform: &PlatformStandin,
    address: SocketAddr,
    fencing: FencingSupport,
) {
    let engine = Upstream {
        address,
        kind: UpstreamKind::Engine {
            models: BTreeSet::from([ModelName::new("large").expect("a valid name")]),
            role: UpstreamRole::Mixed,
            fencing,
        },
        supply: Supply::Reserved,
    };
    let capacity = DataCentreCapacity {
        upstreams: BTreeMap::from([(upstream_name(), engine)]),
        order_limit: 0,
    };
    publish(platform, 1, capacity);
}

/// Publishes a configuration with these upstreams in `dc1`.
pub(crate) fn publish(platform: &PlatformStandin, revision: u64, capacity: DataCentreCapacity) {
    let name = DataCentreName::new("dc1").expect("a valid name");
    let configuration = Configuration {
        revision: Revision(revision),
        workspaces: BTreeMap::new(),
        data_centres: BTreeMap::from([(name, Arc::new(capacity))]),
    };
    let (manifest, chunks) = Manifest::split(&configuration).expect("plain values");
    for (digest, text) in chunks {
        let value = serde_json::from_slice(&text).expect("JSON text");
        platform.put_object(&Manifest::chunk_key(digest), value);
    }
    let manifest = serde_json::to_value(&manifest).expect("plain values");
    platform.put_object(Manifest::KEY, manifest);
}
