//! Stand-ins and scripts of the cases of the second review.
//!
//! Usage: `lagoonlift-review-2 CASE RECORD`, in the repository's root. With `TROUBLE=0` the
//! disruption is left out. Exits with 1 if the rule was broken, with 0 if it held, and with 2
//! if the case couldn't run.

mod client;
mod cut_off;
mod deployment;
mod doubtful;
mod hosts;
mod http;
mod in_place;
mod link;
mod long;
mod record;
mod runner;
mod shortened;
mod store;
mod unframed;

use crate::record::Record;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Returns a number from the environment, with which a case is played in another form.
pub fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    let play = || match case.as_str() {
        "cut-off" => cut_off::play(&record, has_trouble),
        "doubtful" => doubtful::play(&record, has_trouble),
        "long" => long::play(&record, has_trouble),
        "shortened" => shortened::play(&record, has_trouble),
        "unframed" => unframed::play(&record, has_trouble),
        "in-place" => in_place::play(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    // A stand-in that fails has played nothing.
    let verdict = catch_unwind(AssertUnwindSafe(play)).unwrap_or(Verdict::CouldNotRun);
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
