//! Measures how many platform calls the stewards of one data centre make, and how
//! long a takeover takes after the lease holder has crashed.
//!
//! `cargo run --release -p lagoonlift-steward --example authority_costs` starts
//! deployments of different sizes, each with its own platform, counts the
//! platform's calls for half a minute and prints calls per second. Then it drops
//! lease holders without a shutdown, with different lease terms.

use eyre::{Result, WrapErr};
use futures::future::try_join_all;
use lagoonlift_settings::Settings;
use lagoonlift_standins::platform::{CallCounts, PlatformStandin};
use lagoonlift_standins::sample::SampleConfiguration;
use lagoonlift_steward::Steward;
use lagoonlift_telemetry::Metrics;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, interval, sleep};

/// Time for the lease to be acquired and the call rate to become steady.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Time during which calls are counted.
const MEASURE_TIME: Duration = Duration::from_secs(30);

/// Polling interval for the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of takeovers measured for each term.
const TAKEOVERS: usize = 10;
/// Lease terms for which takeovers are measured.
const TERMS: &[Duration] = &[
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(5),
    Duration::from_secs(10),
];

/// One deployment to measure.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    hosts: usize,
    workspaces: usize,
    changes_per_second: u32,
}

const DEPLOYMENTS: &[Deployment] = &[
    Deployment::new(1, 8, 0),
    Deployment::new(3, 8, 0),
    Deployment::new(9, 8, 0),
    Deployment::new(27, 8, 0),
    Deployment::new(9, 64, 0),
    Deployment::new(9, 256, 0),
    Deployment::new(9, 8, 1),
    Deployment::new(9, 8, 2),
    Deployment::new(9, 8, 4),
    Deployment::new(27, 8, 4),
];

impl Deployment {
    const fn new(hosts: usize, workspaces: usize, changes_per_second: u32) -> Self {
        Self {
            hosts,
            workspaces,
            changes_per_second,
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let rows = DEPLOYMENTS.iter().map(|deployment| measure(*deployment));
    let rows = try_join_all(rows).await?;
    println!("| hosts | workspaces | changes/s | reads/s | watches/s | writes/s | fleet lists/s |");
    println!("|---|---|---|---|---|---|---|");
    for (deployment, calls) in DEPLOYMENTS.iter().zip(rows) {
        let rate = |count: u64| count as f64 / MEASURE_TIME.as_secs_f64();
        println!(
            "| {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
            deployment.hosts,
            deployment.workspaces,
            deployment.changes_per_second,
            rate(calls.reads),
            rate(calls.watches),
            rate(calls.writes),
            rate(calls.fleet_lists),
        );
    }
    println!("\n| term | until taken over, of {TAKEOVERS} |");
    println!("|---|---|");
    // The second column has the shortest and the longest of the measured times.
    for term in TERMS {
        let runs = (0..TAKEOVERS).map(|_| measure_takeover(*term));
        let mut times = try_join_all(runs).await?;
        times.sort();
        let (shortest, longest) = (times[0], times[TAKEOVERS - 1]);
        println!("| {term:?} | {shortest:.2?} to {longest:.2?} |");
    }
    Ok(())
}

/// Drops a lease holder without a shutdown and returns the time until another
/// steward holds the lease.
async fn measure_takeover(term: Duration) -> Result<Duration> {
    let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let mut holder = settings(0, platform.addr(), None)?;
    set_term(&mut holder, term);
    let holder = Steward::start(&holder, Metrics::new()?).await?;
    wait_for_lease(&holder).await;
    let mut successor = settings(1, platform.addr(), Some(holder.peer_addr()))?;
    set_term(&mut successor, term);
    let successor = Steward::start(&successor, Metrics::new()?).await?;
    // Spreads the crash uniformly over the time between two renewals.
    sleep(term.mul_f64(rand::random_range(1.0..2.0))).await;
    drop(holder);
    let begin = Instant::now();
    wait_for_lease(&successor).await;
    Ok(begin.elapsed())
}

fn set_term(settings: &mut Settings, term: Duration) {
    if let Some(steward) = &mut settings.steward {
        steward.lease_term = term;
    }
}

async fn wait_for_lease(steward: &Steward) {
    while steward.authority().epoch().is_none() {
        sleep(POLL_INTERVAL).await;
    }
}

async fn measure(deployment: Deployment) -> Result<CallCounts> {
    let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    publish(&platform, deployment, 1);
    let mut stewards: Vec<Steward> = Vec::new();
    for host in 0..deployment.hosts {
        let seed = stewards.first().map(Steward::peer_addr);
        let settings = settings(host, platform.addr(), seed)?;
        let steward = Steward::start(&settings, Metrics::new()?);
        stewards.push(steward.await.wrap_err("failed to start a steward")?);
    }
    sleep(SETTLE_TIME).await;
    let before = platform.calls();
    tokio::select! {
        () = sleep(MEASURE_TIME) => {}
        () = change(&platform, deployment) => {}
    }
    let after = platform.calls();
    Ok(CallCounts {
        reads: after.reads - before.reads,
        watches: after.watches - before.watches,
        writes: after.writes - before.writes,
        fleet_lists: after.fleet_lists - before.fleet_lists,
        ..CallCounts::default()
    })
}

/// Publishes changes of one workspace each until dropped.
async fn change(platform: &PlatformStandin, deployment: Deployment) {
    if deployment.changes_per_second == 0 {
        return std::future::pending().await;
    }
    let mut ticks = interval(Duration::from_secs(1) / deployment.changes_per_second);
    for revision in 2.. {
        ticks.tick().await;
        publish(platform, deployment, revision);
    }
}

/// Publishes a configuration. Each revision gives the first workspace a new key.
fn publish(platform: &PlatformStandin, deployment: Deployment, revision: u64) {
    let mut sample = SampleConfiguration::new().with_revision(revision);
    for workspace in 0..deployment.workspaces {
        let key = match workspace {
            0 => format!("key-{revision}"),
            _ => "key".to_owned(),
        };
        sample = sample.with_workspace(&format!("w{workspace}"), &key, "tide-7b");
    }
    for (key, value) in sample.objects() {
        platform.put_object(&key, value);
    }
}

fn settings(host: usize, platform: SocketAddr, seed: Option<SocketAddr>) -> Result<Settings> {
    let seed = seed.map_or(String::new(), |seed| {
        format!("[peer.first]\nsteward = {seed}\n")
    });
    let key = "11".repeat(32);
    let text = format!(
        "[host]\nname = h{host:03}\ndata-centre = dc1\n\
         [platform]\naddress = {platform}\ntoken = steward\n\
         [peers]\nkey = {key}\n{seed}\
         [steward]\nadmin-listen = 127.0.0.1:0\npeer-listen = 127.0.0.1:0\n"
    );
    Ok(Settings::parse(Path::new("measured.ini"), &text)?)
}
