//! Keepers on loopback before a stand-in for the platform.

use lagoonlift_hosts::{PeerConfig, PeerNode};
use lagoonlift_platform::PlatformClient;
use lagoonlift_standins::platform::PlatformStandin;
use lagoonlift_types::{
    ClassName, DataCentreName, HostName, Incarnation, ProcessId, ProcessRole, RequestId,
    UsageFigures, WorkspaceName,
};
use lagoonlift_usage::{UsageRecorder, UsageWindow, windows_prefix};
use std::net::SocketAddr;
use std::time::Duration;

/// Ends a test that hangs; nothing is concluded from the time.
const HANG_GUARD: Duration = Duration::from_secs(30);
pub(crate) const WINDOW: Duration = Duration::from_millis(200);

pub(crate) struct Host {
    pub(crate) node: PeerNode,
    pub(crate) keeper: UsageRecorder,
}

pub(crate) fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

pub(crate) fn data_centre() -> DataCentreName {
    DataCentreName::new("dc1").expect("a valid name")
}

pub(crate) fn process(host: &str) -> ProcessId {
    ProcessId {
        host: HostName::new(host).expect("a valid name"),
        role: ProcessRole::Entry,
    }
}

pub(crate) async fn start_platform() -> PlatformStandin {
    let platform = PlatformStandin::start(loopback()).await;
    platform.expect("loopback has ports")
}

pub(crate) async fn start_host(name: &str, seeds: &[SocketAddr], platform: SocketAddr) -> Host {
    let config = PeerConfig {
        process: process(name),
        data_centre: data_centre(),
        incarnation: Incarnation(1),
        listen: loopback(),
        seeds: seeds.to_vec(),
        key: [7; 32],
        other_key: None,
        heartbeat_interval: Duration::from_millis(50),
    };
    let node = PeerNode::start(config).await.expect("loopback has ports");
    let keeper = UsageRecorder::start(
        node.clone(),
        PlatformClient::new(platform, name.to_owned(), Duration::from_secs(1)),
        process(name),
        Incarnation(1),
        data_centre(),
        WINDOW,
    );
    Host { node, keeper }
}

/// Starts two hosts that know each other.
pub(crate) async fn start_pair(platform: SocketAddr) -> (Host, Host) {
    let first = start_host("h0", &[], platform).await;
    let second = start_host("h1", &[first.node.local_addr()], platform).await;
    for host in [&first, &second] {
        let mut members = host.node.members();
        let met = members.wait_for(|members| members.len() == 1);
        within_guard(met).await.expect("the node lives");
    }
    (first, second)
}

pub(crate) fn figures(output_tokens: u64) -> UsageFigures {
    UsageFigures {
        requests: 1,
        prompt_tokens: 10,
        output_tokens,
    }
}

pub(crate) async fn record(host: &Host, output_tokens: u64) {
    let result = host.keeper.record(
        RequestId::new(),
        WorkspaceName::new("plumbers").expect("a valid name"),
        ClassName::new("default").expect("a valid name"),
        figures(output_tokens),
    );
    assert_eq!(result.await, Ok(()));
}

/// Returns the windows that the platform holds.
pub(crate) fn windows(platform: &PlatformStandin) -> Vec<UsageWindow> {
    let objects = platform.objects(&windows_prefix(&data_centre()));
    let parse = |value| serde_json::from_value(value).expect("a window");
    objects
        .into_iter()
        .map(|object| parse(object.value))
        .collect()
}

/// Returns the requests and output tokens over all windows.
pub(crate) fn billed(platform: &PlatformStandin) -> (u64, u64) {
    let windows = windows(platform);
    let lines = windows.iter().flat_map(|window| &window.lines);
    lines.fold((0, 0), |(requests, tokens), line| {
        let figures = line.figures;
        (requests + figures.requests, tokens + figures.output_tokens)
    })
}

pub(crate) async fn within_guard<T>(future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(HANG_GUARD, future).await;
    result.expect("the test doesn't hang")
}

/// Waits until `condition` holds for what the platform holds.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    within_guard(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}
