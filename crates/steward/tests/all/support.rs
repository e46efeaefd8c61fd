//! Stewards and stand-ins in one process.

use lagoonlift_settings::Settings;
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_steward::Steward;
use lagoonlift_telemetry::Metrics;
use std::net::SocketAddr;
use std::path::Path;
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
    let metrics = Metrics::new().expect("an empty registry");
    Steward::start(settings, metrics).await.expect("free ports")
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
