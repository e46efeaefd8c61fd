//! Measures what the protocol costs a node and how soon a change is in force.
//!
//! Runs a number of nodes on loopback in one process and prints one line:
//! bytes, processor time and memory of one node, first at rest, then while the
//! configuration of 260 workspaces changes once a second, and how long each
//! change took to be in force on all nodes.
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
/// Time that the nodes have to meet and to learn the first configuration.
const SETTLE: Duration = Duration::from_secs(15);
/// Further time for each node.
const SETTLE_PER_NODE: Duration = Duration::from_millis(500);
const MEASURE: Duration = Duration::from_secs(20);
const CHANGES: u64 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
const WORKSPACES: u64 = 260;
const DATA_CENTRES: usize = 15;
/// Keys of one workspace.
const KEYS: u64 = 8;
/// IP and UDP headers of one datagram.
const HEADER_BYTES: u64 = 28;
/// Clock ticks a second in `/proc/self/stat`.
const TICKS: f64 = 100.0;
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
        keys: (0..KEYS)
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

/// What all nodes together used since their start.
#[derive(Clone, Copy)]
struct Usage {
    at: Instant,
    cpu: f64,
    datagrams: u64,
    datagram_bytes: u64,
    stream_bytes: u64,
}

impl Usage {
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

    /// Describes what one node used in a second since `earlier`; each byte is
    /// counted once where it was sent, and once more where it arrived.
    fn per_node(&self, earlier: &Self, nodes: usize) -> String {
        let share = (self.at - earlier.at).as_secs_f64() * nodes as f64;
        let datagrams = (self.datagrams - earlier.datagrams) as f64;
        let headers = datagrams * HEADER_BYTES as f64;
        let datagram_bytes = (self.datagram_bytes - earlier.datagram_bytes) as f64 + headers;
        let stream_bytes = (self.stream_bytes - earlier.stream_bytes) as f64;
        format!(
            "{:.1} datagrams/s {:.0} B/s out {:.0} B/s streams out {:.0} B/s both ways {:.3}% of a core",
            datagrams / share,
            datagram_bytes / share,
            stream_bytes / share,
            2.0 * (datagram_bytes + stream_bytes) / share,
            100.0 * (self.cpu - earlier.cpu) / share,
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
    // Fields 14 and 15 of the line; the first two stand before the bracket.
    Ok((fields[11].parse::<f64>()? + fields[12].parse::<f64>()?) / TICKS)
}

fn resident_bytes() -> Result<f64, AnyError> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

/// Makes a change at one node and waits until it is in force on all.
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
        offer => return Err(format!("the change was {offer:?}").into()),
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
    tokio::time::sleep(SETTLE + SETTLE_PER_NODE * count as u32).await;
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

    let rest = Usage::now(&nodes)?;
    tokio::time::sleep(MEASURE).await;
    let changing = Usage::now(&nodes)?;
    println!("nodes {count}: at rest {}", changing.per_node(&rest, count));

    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let next = Instant::now() + CHANGE_INTERVAL;
        times.push(change_everywhere(&nodes, &mut configuration).await?);
        tokio::time::sleep_until(next).await;
    }
    let end = Usage::now(&nodes)?;
    println!(
        "nodes {count}: one change a second {}",
        end.per_node(&changing, count)
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
