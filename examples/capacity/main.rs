//! Measures the cost per item of configurations, recorded decisions and
//! operators' commands, from which `docs/CAPACITY.md` extrapolates to the target
//! size.
//!
//! Run it with `cargo run --release --example capacity -- PART`, where PART is
//! `configuration`, `decisions` or `operators`. Memory is measured as the growth
//! of the process's resident memory, so each part runs in a separate process.
//! Each line of the output is one figure: its name, its value and its unit.
//!
//! With `publish ADDRESS [ENGINES]` it publishes a configuration of the target
//! size, or with ENGINES engines in each data centre, to a platform that has none
//! yet, so that daemons can be measured with it.

mod configuration;
mod decisions;
mod operator_calls;

use std::time::{Duration, Instant};

/// Number of runs from which the median time is taken.
const REPETITIONS: usize = 5;

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
        _ => Err(eyre::eyre!(
            "expected `configuration`, `decisions`, `operators` or `publish ADDRESS [ENGINES]`"
        )),
    }
}

/// Prints a figure with its name and unit.
fn report(name: &str, value: f64, unit: &str) {
    println!("{name:<58} {value:>14.1} {unit}");
}

/// Returns the median duration of [`REPETITIONS`] runs.
fn median_time(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[REPETITIONS / 2]
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> eyre::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kibibytes: u64 = kibibytes
        .ok_or_else(|| eyre::eyre!("/proc/self/status has no `VmRSS` line in kB"))?
        .parse()?;
    Ok(kibibytes * 1024)
}
