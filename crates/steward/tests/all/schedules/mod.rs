//! Promises under arbitrary interleavings.
//!
//! Processes, the platform and an engine exchange messages that may be late or
//! lost; processes stand still for any time, die and come back. Each schedule
//! follows from one number, which a failure prints. The judges read only what
//! the platform and the engine saw, and know nothing of the code.

mod lease;
mod network;
mod orders;
mod sealing;

use quickcheck::QuickCheck;

/// Schedules tried for each promise.
const SCHEDULES: u64 = 2_000;

/// Tries schedules; `run` returns what is wrong with the history of one.
fn try_schedules(run: fn(u64) -> Result<(), String>) {
    fn check(result: &Result<(), String>, seed: u64) -> bool {
        if let Err(fault) = result {
            println!("schedule {seed}: {fault}");
        }
        result.is_ok()
    }
    struct Property(fn(u64) -> Result<(), String>);
    impl quickcheck::Testable for Property {
        fn result(&self, random: &mut quickcheck::Gen) -> quickcheck::TestResult {
            let seed = <u64 as quickcheck::Arbitrary>::arbitrary(random);
            let is_right = check(&(self.0)(seed), seed);
            match is_right {
                true => quickcheck::TestResult::passed(),
                false => quickcheck::TestResult::error(format!("schedule {seed}")),
            }
        }
    }
    QuickCheck::new().tests(SCHEDULES).quickcheck(Property(run));
}
