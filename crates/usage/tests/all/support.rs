//! Starts usage recorders on loopback with a stand-in for the platform.

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

/// Timeout that ends a hanging test; no assertion depends on it.
const HANG_GUARD: Duration = Duration::from_secs(30);
pub(crate) const WINDOW: Duration = Duration::from_millis(200);

pub(crate) struct Host {
    pub(crate) node: PeerNode,
    pub(crate) recorder: UsageRecorder,
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
    platform.expect("a free port on loopback")
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
    let node = PeerNode::start(config)
        .await
        .expect("a free port on loopback");
    let recorder = UsageRecorder::start(
        node.clone(),
        PlatformClient::new(platform, name.to_owned(), Duration::from_secs(1)),
        process(name),
        Incarnation(1),
        data_centre(),
        WINDOW,
    );
    Host { node, recorder }
}

/// Starts two hosts and waits until each is a member at the other.
pub(crate) async fn start_pair(platform: SocketAddr) -> (Host, Host) {
    let first = start_host("h0", &[], platform).await;
    let second = start_host("h1", &[first.node.local_addr()], platform).await;
    for host in [&first, &second] {
        let mut members = host.node.members();
        let joined = members.wait_for(|members| members.len() == 1);
        within_guard(joined).await.expect("the node runs");
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
    let result = host.recorder.record(
        RequestId::new(),
        WorkspaceName::new("plumbers").expect("a valid name"),
        ClassName::new("default").expect("a valid name"),
        figures(output_tokens),
    );
    assert_eq!(result.await, Ok(()));
}

/// Returns the windows that the platform stores.
pub(crate) fn windows(platform: &PlatformStandin) -> Vec<UsageWindow> {
    let objects = platform.objects(&windows_prefix(&data_centre()));
    let parse = |value| serde_json::from_value(value).expect("a window");
    objects
        .into_iter()
        .map(|object| parse(object.value))
        .collect()
}

/// Returns the total requests and output tokens of all closed windows.
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

/// Polls until `condition` returns true.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    within_guard(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}
