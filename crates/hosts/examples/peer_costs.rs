//! Measures the resource use of a node and the propagation time of a change.
//!
//! Runs a number of nodes on the loopback interface in one process. Prints the
//! network traffic, processor time and memory of one node, first at rest, then
//! while the configuration of 260 workspaces changes once per second. Also prints
//! how long each change took to be in force on all nodes.
//!
//! ```text
//! cargo run --release -p lagoonlift-hosts --example peer_costs -- 27
//! ```

use lagoonlift_hosts::{OfferOutcome, PeerConfig, PeerCounter, PeerNode};
use lagoonlift_types::{
    Class, Configuration, DataCentreName, HostName, Incarnation, KeyDigest, Limits, Manifest,
    ModelName, ProcessId, ProcessRole, Revision, Urgency, Workspace, WorkspaceName,
};
use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time in which the nodes find each other and receive the first configuration.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Additional settling time per node.
const SETTLE_TIME_PER_NODE: Duration = Duration::from_millis(500);
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
const CHANGE_COUNT: u64 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
const WORKSPACES: u64 = 260;
const DATA_CENTRES: usize = 15;
/// Number of keys of one workspace.
const KEYS_PER_WORKSPACE: u64 = 8;
/// Size of the IP and UDP headers of one datagram.
const HEADER_BYTES: u64 = 28;
/// Clock ticks per second in `/proc/self/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

type AnyError = Box<dyn Error + Send + Sync>;

fn workspace(index: u64, revision: u64) -> Result<Workspace, AnyError> {
    let class = |urgency| Class {
        urgency,
        idempotent: true,
        deadline: Duration::from_secs(30),
    };
    let models = ["m1", "m2", "m3"].map(ModelName::new);
    Ok(Workspace {
        keys: (0..KEYS_PER_WORKSPACE)
            .map(|key| KeyDigest::of(&format!("{index}-{key}-{revision}")))
            .collect(),
        models: models.into_iter().collect::<Result<_, _>>()?,
        classes: BTreeMap::from([
            ("default".parse()?, class(Urgency::Normal)),
            ("triage".parse()?, class(Urgency::Urgent)),
            ("summary".parse()?, class(Urgency::Background)),
        ]),
        routes: BTreeMap::new(),
        limits: Limits {
            requests_per_second: 100.0,
            tokens_per_second: 50_000.0,
            burst_seconds: 2.0,
        },
        weight: 1,
    })
}

fn change(configuration: &mut Configuration) -> Result<(), AnyError> {
    configuration.revision = configuration.revision.next();
    let revision = configuration.revision.0;
    let index = revision % WORKSPACES;
    let name = WorkspaceName::new(&format!("workspace-{index}"))?;
    let workspace = Arc::new(workspace(index, revision)?);
    configuration.workspaces.insert(name, workspace);
    Ok(())
}

async fn start(index: usize, seeds: Vec<SocketAddr>) -> Result<PeerNode, AnyError> {
    let config = PeerConfig {
        process: ProcessId {
            host: HostName::new(&format!("host-{index:04}"))?,
            role: ProcessRole::Entry,
        },
        data_centre: DataCentreName::new(&format!("region-dc{}", index % DATA_CENTRES))?,
        incarnation: Incarnation(1_800_000_000_000 + index as u64),
        listen: "127.0.0.1:0".parse()?,
        seeds,
        key: [7; 32],
        other_key: None,
        heartbeat_interval: HEARTBEAT,
    };
    Ok(PeerNode::start(config).await?)
}

/// Resources that all nodes together have used since their start.
#[derive(Clone, Copy)]
struct ResourceUsage {
    at: Instant,
    cpu: f64,
    datagrams: u64,
    datagram_bytes: u64,
    stream_bytes: u64,
}

impl ResourceUsage {
    fn now(nodes: &[PeerNode]) -> Result<Self, AnyError> {
        let sum = |counter| nodes.iter().map(|node| node.counters().get(counter)).sum();
        Ok(Self {
            at: Instant::now(),
            cpu: cpu_seconds()?,
            datagrams: sum(PeerCounter::DatagramsSent),
            datagram_bytes: sum(PeerCounter::DatagramBytesSent),
            stream_bytes: sum(PeerCounter::StreamBytesSent),
        })
    }

    /// Describes the resources that one node used per second since `earlier`.
    /// Each byte counts once where it was sent and once where it was received.
    fn per_node(&self, earlier: &Self, nodes: usize) -> String {
        let node_seconds = (self.at - earlier.at).as_secs_f64() * nodes as f64;
        let datagrams = (self.datagrams - earlier.datagrams) as f64;
        let headers = datagrams * HEADER_BYTES as f64;
        let datagram_bytes = (self.datagram_bytes - earlier.datagram_bytes) as f64 + headers;
        let stream_bytes = (self.stream_bytes - earlier.stream_bytes) as f64;
        format!(
            "{:.1} datagrams/s {:.0} B/s out {:.0} B/s streams out {:.0} B/s both ways {:.3}% of a core",
            datagrams / node_seconds,
            datagram_bytes / node_seconds,
            stream_bytes / node_seconds,
            2.0 * (datagram_bytes + stream_bytes) / node_seconds,
            100.0 * (self.cpu - earlier.cpu) / node_seconds,
        )
    }
}

fn cpu_seconds() -> Result<f64, AnyError> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    // Fields 14 and 15 of the line. The first two fields precede the closing
    // parenthesis.
    Ok((fields[11].parse::<f64>()? + fields[12].parse::<f64>()?) / CLOCK_TICKS_PER_SECOND)
}

fn resident_bytes() -> Result<f64, AnyError> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

/// Changes the configuration at one node and waits until it is in force on all
/// nodes.
async fn change_everywhere(
    nodes: &[PeerNode],
    configuration: &mut Configuration,
) -> Result<Duration, AnyError> {
    change(configuration)?;
    let (manifest, chunks) = Manifest::split(configuration)?;
    let started = Instant::now();
    let origin = configuration.revision.0 as usize % nodes.len();
    match nodes[origin].store().offer(manifest, chunks) {
        OfferOutcome::Accepted => {}
        offer => return Err(format!("the configuration was rejected: {offer:?}").into()),
    }
    for node in nodes {
        let mut receiver = node.store().subscribe();
        let revision = configuration.revision;
        receiver.wait_for(|held| held.revision >= revision).await?;
    }
    Ok(started.elapsed())
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let count: usize = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "9".to_owned())
        .parse()?;
    let before = resident_bytes()?;
    let mut nodes = vec![start(0, Vec::new()).await?];
    let seeds = vec![nodes[0].local_addr()];
    for index in 1..count {
        nodes.push(start(index, seeds.clone()).await?);
    }
    tokio::time::sleep(SETTLE_TIME + SETTLE_TIME_PER_NODE * count as u32).await;
    let without_configuration = resident_bytes()?;
    let known = nodes.iter().map(|node| node.members().borrow().len() + 1);
    println!(
        "nodes {count}: members known by the fewest {}",
        known.min().unwrap_or(0)
    );

    let mut configuration = Configuration::default();
    for _ in 0..WORKSPACES {
        change(&mut configuration)?;
    }
    configuration.revision = Revision(WORKSPACES);
    let first = change_everywhere(&nodes, &mut configuration).await?;
    let with_configuration = resident_bytes()?;

    let before_idle = ResourceUsage::now(&nodes)?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let before_changes = ResourceUsage::now(&nodes)?;
    println!(
        "nodes {count}: at rest {}",
        before_changes.per_node(&before_idle, count)
    );

    let mut times = Vec::new();
    for _ in 0..CHANGE_COUNT {
        let next = Instant::now() + CHANGE_INTERVAL;
        times.push(change_everywhere(&nodes, &mut configuration).await?);
        tokio::time::sleep_until(next).await;
    }
    let end = ResourceUsage::now(&nodes)?;
    println!(
        "nodes {count}: one change a second {}",
        end.per_node(&before_changes, count)
    );
    times.sort();
    println!(
        "nodes {count}: in force everywhere after median {:?}, slowest {:?}; first whole configuration {first:?}",
        times[times.len() / 2],
        times[times.len() - 1],
    );
    println!(
        "nodes {count}: memory of a node {:.0} KB without configuration, {:.0} KB with it",
        (without_configuration - before) / 1024.0 / count as f64,
        (with_configuration - before) / 1024.0 / count as f64,
    );
    Ok(())
}
