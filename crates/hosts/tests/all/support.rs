//! Nodes on loopback, and configurations for them.

use lagoonlift_hosts::{PeerConfig, PeerNode, UsageRange};
use lagoonlift_types::{
    Configuration, DataCentreName, HostName, Incarnation, KeyDigest, Limits, Manifest, ProcessId,
    ProcessRole, RequestId, Revision, Sequence, UsageFigures, UsageRecord, Workspace,
    WorkspaceName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Ends a test that hangs; nothing is concluded from the time.
const HANG_GUARD: Duration = Duration::from_secs(20);

pub(crate) const KEY: [u8; 32] = [7; 32];

pub(crate) fn process(host: &str) -> ProcessId {
    ProcessId {
        host: HostName::new(host).expect("a valid name"),
        role: ProcessRole::Entry,
    }
}

pub(crate) fn data_centre(name: &str) -> DataCentreName {
    DataCentreName::new(name).expect("a valid name")
}

pub(crate) fn config(host: &str, seeds: &[SocketAddr]) -> PeerConfig {
    PeerConfig {
        process: process(host),
        data_centre: data_centre("dc1"),
        incarnation: Incarnation(1),
        listen: "127.0.0.1:0".parse().expect("a valid address"),
        seeds: seeds.to_vec(),
        key: KEY,
        other_key: None,
        heartbeat_interval: Duration::from_millis(50),
    }
}

pub(crate) async fn start(config: PeerConfig) -> PeerNode {
    PeerNode::start(config).await.expect("loopback has ports")
}

/// Starts nodes `h0`, `h1`, .. that all know the first one's address.
pub(crate) async fn start_all(count: usize) -> Vec<PeerNode> {
    let mut nodes = vec![start(config("h0", &[])).await];
    let seed = nodes[0].local_addr();
    for index in 1..count {
        nodes.push(start(config(&format!("h{index}"), &[seed])).await);
    }
    nodes
}

/// Waits until the watched value satisfies `condition`.
pub(crate) async fn wait_for<T: Clone>(
    receiver: &mut watch::Receiver<T>,
    condition: impl FnMut(&T) -> bool,
) -> T {
    let waiting = receiver.wait_for(condition);
    let result = tokio::time::timeout(HANG_GUARD, waiting).await;
    let value = result
        .expect("the condition comes true")
        .expect("the node lives");
    value.clone()
}

pub(crate) async fn within_guard<T>(future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(HANG_GUARD, future).await;
    result.expect("the test doesn't hang")
}

pub(crate) fn workspace(keys: &[&str]) -> Arc<Workspace> {
    Arc::new(Workspace {
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        models: BTreeSet::new(),
        classes: BTreeMap::new(),
        routes: BTreeMap::new(),
        limits: Limits {
            requests_per_second: 1.0,
            tokens_per_second: 10.0,
            burst_seconds: 2.0,
        },
        weight: 1,
    })
}

pub(crate) fn configuration(revision: u64, workspaces: &[(&str, &[&str])]) -> Configuration {
    let workspaces = workspaces.iter().map(|(name, keys)| {
        let name = WorkspaceName::new(name).expect("a valid name");
        (name, workspace(keys))
    });
    Configuration {
        revision: Revision(revision),
        workspaces: workspaces.collect(),
        data_centres: BTreeMap::new(),
    }
}

pub(crate) fn cut(
    configuration: &Configuration,
) -> (Manifest, BTreeMap<lagoonlift_types::ChunkDigest, Vec<u8>>) {
    Manifest::split(configuration).expect("plain values")
}

pub(crate) fn record(host: &str, sequence: u64) -> UsageRecord {
    UsageRecord {
        process: process(host),
        incarnation: Incarnation(1),
        sequence: Sequence(sequence),
        request: RequestId::new(),
        workspace: WorkspaceName::new("plumbers").expect("a valid name"),
        class: "default".parse().expect("a valid name"),
        figures: UsageFigures {
            requests: 1,
            prompt_tokens: 10,
            output_tokens: 5,
        },
    }
}

/// Returns a random seed after printing it, so that a failure can be repeated.
pub(crate) fn print_seed() -> u64 {
    let seed = rand::random();
    println!("seed {seed}");
    seed
}

/// Sums records up that follow each other.
pub(crate) fn range_of(records: &[UsageRecord]) -> UsageRange {
    let mut range = UsageRange::new(records[0].sequence);
    for record in records {
        range.add(record);
    }
    range
}
