//! Runs one case of the review: `review-standin CASE FOLDER`.

mod cloud;
mod common;
mod crashing_part;
mod extra_answer;
mod gateway;
mod http;
mod record;
mod stale_version;
mod store;
mod streams;
mod taken_up;
mod unreadable_entry;

use record::Record;
use std::env;
use std::path::{Path, PathBuf};
use std::process::exit;

/// What a run needs: the repository, the folder of the case, a temporary folder, the record,
/// and whether the disruption comes.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

/// How a run ended.
pub enum Outcome {
    Held,
    Broken,
    Impossible(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let case_folder = Path::new(&arguments[2]).to_owned();
    let root = env::current_dir().expect("the repository is the current folder");
    let folder = env::temp_dir().join(format!("lagoonlift-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Record::new(&case_folder.join("record.txt"));
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("TROUBLE={}", u8::from(has_trouble)));
    let run = Run {
        root,
        folder: folder.clone(),
        record: record.clone(),
        has_trouble,
    };
    let outcome = match arguments[1].as_str() {
        "extra-answer" => extra_answer::run(&run),
        "stale-version" => stale_version::run(&run),
        "old-stream" => taken_up::run_old(&run),
        "crashing-part" => crashing_part::run(&run),
        "all-killed" => taken_up::run_all_killed(&run),
        "split-route" => taken_up::run_split(&run),
        "unreadable-entry" => unreadable_entry::run(&run),
        other => Outcome::Impossible(format!("no case {other}")),
    };
    if env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&folder).ok();
    } else {
        println!("{}", folder.display());
    }
    let (text, status) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Outcome::Impossible(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(status);
}
