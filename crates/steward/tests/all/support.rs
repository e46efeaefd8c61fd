//! Stewards and stand-ins in one process.

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

/// Hang guard of waits.
pub(crate) const GUARD: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

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
    Settings::parse(Path::new("test.ini"), &text).expect("settings without faults")
}

pub(crate) async fn start_steward(settings: &Settings) -> Steward {
    start_measured(settings).await.0
}

/// Starts a steward; returns its metrics too.
pub(crate) async fn start_measured(settings: &Settings) -> (Steward, Metrics) {
    let metrics = Metrics::new().expect("an empty registry");
    let steward = Steward::start(settings, metrics.clone()).await;
    (steward.expect("free ports"), metrics)
}

/// Waits until a condition holds that nothing announces.
pub(crate) async fn wait_until(holds: impl Fn() -> bool) {
    let look = async {
        while !holds() {
            sleep(LOOK_INTERVAL).await;
        }
    };
    timeout(GUARD, look)
        .await
        .expect("the condition holds in time");
}

/// The only engine of `dc1`.
pub(crate) fn upstream_name() -> UpstreamName {
    UpstreamName::new("e1").expect("a valid name")
}

/// Publishes a configuration, revision 1, with one engine in `dc1`.
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
    let (manifest, chunks) = Manifest::cut(&configuration).expect("plain values");
    for (digest, text) in chunks {
        let value = serde_json::from_slice(&text).expect("JSON text");
        platform.put_object(&Manifest::chunk_key(digest), value);
    }
    let manifest = serde_json::to_value(&manifest).expect("plain values");
    platform.put_object(Manifest::KEY, manifest);
}
