//! Measures the slopes of configuration, decisions and operators' calls that
//! `docs/CAPACITY.md` multiplies up to the target size.
//!
//! Run it with `cargo run --release --example capacity -- PART`, where PART is
//! `configuration`, `decisions` or `operators`. `publish ADDRESS [ENGINES]`
//! puts a configuration of the target size, or with that many engines in each
//! data centre, in force at a platform without one, so that daemons can be
//! measured under it. Memory is what the process holds
//! more than before, so each part has a process of its own. Each line is one
//! figure: its name, its value and its unit.

mod configuration;
mod decisions;
mod operator_calls;

use std::time::{Duration, Instant};

/// Runs of which the middle one counts.
const REPEATS: usize = 5;

fn main() -> eyre::Result<()> {
    match std::env::args().nth(1).as_deref() {
        Some("configuration") => configuration::measure(),
        Some("decisions") => decisions::measure(),
        Some("operators") => operator_calls::measure(),
        Some("publish") => {
            let address = std::env::args().nth(2).unwrap_or_default();
            let engines = std::env::args().nth(3);
            let engines = engines.map(|engines| engines.parse()).transpose()?;
            configuration::publish(address.parse()?, engines)
        }
        _ => Err(eyre::eyre!("there is no such part")),
    }
}

/// Prints one figure.
fn report(name: &str, value: f64, unit: &str) {
    println!("{name:<58} {value:>14.1} {unit}");
}

/// Returns the middle duration of several runs.
fn median_time(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..REPEATS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[REPEATS / 2]
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> eyre::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kibibytes: u64 = kibibytes
        .ok_or_else(|| eyre::eyre!("the kernel doesn't tell the memory"))?
        .parse()?;
    Ok(kibibytes * 1024)
}
