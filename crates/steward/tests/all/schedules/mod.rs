//! Checks safety properties in simulations with random schedules.
//!
//! Processes, the platform and an engine exchange messages that may be delayed or
//! lost, and processes pause, crash and restart. Each schedule is derived from one
//! seed, which a failure prints. The checks use only the history that the platform
//! and the engine saw, not the state of the code under test.

mod lease;
mod network;
mod orders;
mod sealing;

use quickcheck::QuickCheck;

/// Number of schedules for each property.
const SCHEDULES: u64 = 2_000;

/// Environment variable with the number of schedules for [`run_many_schedules`].
const SCHEDULES_VARIABLE: &str = "LAGOONLIFT_SCHEDULES";

/// Number of schedules that [`run_many_schedules`] runs by default.
const MANY_SCHEDULES: u64 = 10_000;

/// Runs random schedules. `run` returns an error that describes the violation in the
/// history of one.
fn run_schedules(run: fn(u64) -> Result<(), String>) {
    run_random(run, SCHEDULES);
}

/// Runs as many random schedules as the environment states, or 10,000.
fn run_many_schedules(run: fn(u64) -> Result<(), String>) {
    let stated = std::env::var(SCHEDULES_VARIABLE).ok();
    let count = stated.map_or(MANY_SCHEDULES, |text| text.parse().expect("a number"));
    run_random(run, count);
}

fn run_random(run: fn(u64) -> Result<(), String>, count: u64) {
    fn passes(result: &Result<(), String>, seed: u64) -> bool {
        if let Err(fault) = result {
            println!("schedule {seed}: {fault}");
        }
        result.is_ok()
    }
    struct Property(fn(u64) -> Result<(), String>);
    impl quickcheck::Testable for Property {
        fn result(&self, random: &mut quickcheck::Gen) -> quickcheck::TestResult {
            let seed = <u64 as quickcheck::Arbitrary>::arbitrary(random);
            let is_correct = passes(&(self.0)(seed), seed);
            match is_correct {
                true => quickcheck::TestResult::passed(),
                false => quickcheck::TestResult::error(format!("schedule {seed}")),
            }
        }
    }
    QuickCheck::new()
        .tests(count)
        .max_tests(count)
        .quickcheck(Property(run));
}
