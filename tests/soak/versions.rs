//! Checks that streams go on only at the software version that began them.

use crate::checks::RunReport;
use crate::faults::{UpstreamRole, roles, version_of};
use crate::support::upstream::Received;
use std::collections::HashMap;

/// A request that a decode engine received.
struct Arrival<'a> {
    version: &'static str,
    received: &'a Received,
}

impl Arrival<'_> {
    fn is_resumed(&self) -> bool {
        self.received.header("last-event-id").is_some()
    }
}

/// Appends a description of each stream that went on at another version.
pub(crate) fn check(report: &RunReport, violations: &mut Vec<String>) {
    let mut arrivals: HashMap<&str, Vec<Arrival<'_>>> = HashMap::new();
    for (upstream, all) in report.received.iter().enumerate() {
        if roles()[upstream] != UpstreamRole::Decode {
            continue;
        }
        for received in all {
            let id = received.header("x-request-id").unwrap_or_default();
            let version = version_of(upstream);
            arrivals
                .entry(id)
                .or_default()
                .push(Arrival { version, received });
        }
    }
    for (id, all) in &arrivals {
        check_versions(id, all, &[], violations);
    }
    let none = Vec::new();
    for stream in &report.taken_up {
        let first = arrivals.get(stream.first.as_str()).unwrap_or(&none);
        let all = arrivals.get(stream.id.as_str()).unwrap_or(&none);
        check_versions(&stream.id, all, first, violations);
    }
    let continued = report.taken_up.iter().filter(|one| one.is_continued);
    println!(
        "streams taken up at another host: {}, continued: {}",
        report.taken_up.len(),
        continued.count()
    );
}

/// Checks that all resumptions of a stream had one version, and that this version had the
/// stream before. `first` are the arrivals of the attempt that the caller takes up.
fn check_versions(
    id: &str,
    all: &[Arrival<'_>],
    first: &[Arrival<'_>],
    violations: &mut Vec<String>,
) {
    let mut resumed = all.iter().filter(|one| one.is_resumed());
    let Some(version) = resumed.clone().map(|one| one.version).next() else {
        return;
    };
    let began = all.iter().filter(|one| !one.is_resumed()).chain(first);
    let has_begun = began.into_iter().any(|one| one.version == version);
    let is_taken_up = id.starts_with('u') && first.is_empty();
    if resumed.any(|one| one.version != version) || !(has_begun || is_taken_up) {
        violations.push(format!("{id} went on at another software version"));
    }
}
