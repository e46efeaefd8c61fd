//! Measures how long a usage record waits for its second copy.
//!
//! Runs three nodes of one data centre on the loopback interface in one process.
//! One node makes records at a steady rate. Its windows are closed once per
//! second, or never with `outage`, which shows the memory use of a record.
//!
//! ```text
//! cargo run --release -p lagoonlift-hosts --example copy_costs -- 370
//! cargo run --release -p lagoonlift-hosts --example copy_costs -- 3700 outage
//! ```

use lagoonlift_hosts::{ClosedWindow, PeerConfig, PeerCounter, PeerNode, UsageRange};
use lagoonlift_types::{
    Incarnation, ProcessId, ProcessRole, RequestId, Sequence, UsageFigures, UsageRecord, WindowId,
};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

const HOSTS: usize = 3;
const DURATION_SECONDS: u64 = 10;
const PAGE_BYTES: f64 = 4096.0;
const HEARTBEAT: Duration = Duration::from_secs(1);

type AnyError = Box<dyn Error + Send + Sync>;

fn process(index: usize) -> Result<ProcessId, AnyError> {
    Ok(ProcessId {
        host: format!("host-{index:04}").parse()?,
        role: ProcessRole::Entry,
    })
}

async fn start(index: usize, seeds: Vec<SocketAddr>) -> Result<PeerNode, AnyError> {
    let config = PeerConfig {
        process: process(index)?,
        data_centre: "region-dc1".parse()?,
        incarnation: Incarnation(1),
        listen: "127.0.0.1:0".parse()?,
        seeds,
        key: [7; 32],
        other_key: None,
        heartbeat_interval: HEARTBEAT,
    };
    Ok(PeerNode::start(config).await?)
}

fn record(sequence: u64) -> Result<UsageRecord, AnyError> {
    Ok(UsageRecord {
        process: process(0)?,
        incarnation: Incarnation(1),
        sequence: Sequence(sequence),
        request: RequestId::new(),
        workspace: format!("workspace-{}", sequence % 260).parse()?,
        class: "default".parse()?,
        figures: UsageFigures {
            requests: 1,
            prompt_tokens: 2_000,
            output_tokens: 400,
        },
    })
}

fn resident_bytes() -> Result<f64, AnyError> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let rate: u64 = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "37".to_owned())
        .parse()?;
    let is_outage = std::env::args().nth(2).is_some_and(|word| word == "outage");
    let mut nodes = vec![start(0, Vec::new()).await?];
    let seeds = vec![nodes[0].local_addr()];
    for index in 1..HOSTS {
        nodes.push(start(index, seeds.clone()).await?);
    }
    let mut members = nodes[0].members();
    members
        .wait_for(|members| members.len() == HOSTS - 1)
        .await?;
    let sender = &nodes[0];
    let before = sender.counters().get(PeerCounter::StreamBytesSent);
    let memory_before = resident_bytes()?;
    let mut copies = JoinSet::new();
    let mut times: Vec<Duration> = Vec::with_capacity((rate * DURATION_SECONDS) as usize);
    let mut failed = 0;
    let mut open = UsageRange::default();
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate as u32);
    for sequence in 0..rate * DURATION_SECONDS {
        interval.tick().await;
        let started = Instant::now();
        let pending = sender.enqueue_usage(record(sequence)?);
        copies.spawn(async move { (pending.wait().await, started.elapsed()) });
        while let Some(joined) = copies.try_join_next() {
            let (result, time) = joined?;
            times.push(time);
            failed += u64::from(result.is_err());
        }
        open.add(&record(sequence)?);
        if sequence % rate == rate - 1 && !is_outage {
            let next = UsageRange::new(open.to);
            let closed = ClosedWindow {
                window: WindowId(sequence / rate),
                range: std::mem::replace(&mut open, next),
            };
            if !sender.close_usage_window(&closed) {
                return Err("the window doesn't match the queued records".into());
            }
        }
    }
    let memory = resident_bytes()? - memory_before;
    while let Some(joined) = copies.join_next().await {
        let (result, time) = joined?;
        times.push(time);
        failed += u64::from(result.is_err());
    }
    times.sort();
    let bytes = sender.counters().get(PeerCounter::StreamBytesSent) - before;
    println!(
        "{rate} records/s: second copy after median {:?}, 99 in 100 within {:?}, slowest {:?}; {failed} failed; {} bytes a record",
        times[times.len() / 2],
        times[times.len() * 99 / 100],
        times[times.len() - 1],
        bytes / times.len() as u64,
    );
    println!(
        "memory grew by {:.0} bytes a record, at its process and the peer that holds the copies together",
        memory / times.len() as f64
    );
    Ok(())
}
