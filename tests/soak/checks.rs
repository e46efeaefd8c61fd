//! The promises, checked against what callers, runners and the platform saw.

use crate::load::{Attempt, RequestKind};
use crate::support::duty::DutyCall;
use crate::support::upstream::Received;
use crate::support::{KEY, OTHER_KEY};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// A withdrawn key stops working within this time.
const REVOCATION: Duration = Duration::from_secs(2);

/// Events of a whole stream.
pub(crate) const STREAM_EVENTS: u64 = 6;

/// What was seen in one run.
pub(crate) struct RunReport {
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) received: Vec<Received>,
    pub(crate) usage: Vec<DutyCall>,
    /// When the key [`OTHER_KEY`] was withdrawn.
    pub(crate) withdrawn_at: Option<Instant>,
    /// Hosts that did not stop in order and in time.
    pub(crate) unclean_stops: usize,
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = |wanted: u16| {
            let replies = self.attempts.iter().filter_map(|one| one.reply.as_ref());
            replies.filter(|reply| reply.status == wanted).count()
        };
        write!(
            f,
            "{} requests, {} answered, {} refused, {} unknown, {} usage reports",
            self.attempts.len(),
            status(200),
            status(503),
            status(502) + status(504),
            self.usage.len()
        )
    }
}

fn is_served(attempt: &Attempt) -> bool {
    let reply = attempt.reply.as_ref();
    reply.is_some_and(|reply| reply.status == 200 && reply.is_whole)
}

/// Returns each promise that was broken, with the request or window.
pub(crate) fn broken_promises(report: &RunReport) -> Vec<String> {
    let runs = count_runs(&report.received);
    let keys = keys_by_id(&report.attempts);
    let mut broken = Vec::new();
    for attempt in &report.attempts {
        check_attempt(attempt, &runs, report.withdrawn_at, &mut broken);
    }
    let with_identifier = |one: &&Received| one.header("x-request-id").is_some();
    for received in report.received.iter().filter(with_identifier) {
        check_received(received, &keys, &mut broken);
    }
    check_usage(&report.usage, &mut broken);
    if report.unclean_stops > 0 {
        broken.push(format!(
            "{} hosts did not stop in order",
            report.unclean_stops
        ));
    }
    for kind in [
        RequestKind::Read,
        RequestKind::Book,
        RequestKind::Tell,
        RequestKind::Talk,
    ] {
        if !report
            .attempts
            .iter()
            .any(|one| one.kind == kind && is_served(one))
        {
            broken.push(format!("no request was served: {kind:?}"));
        }
    }
    broken
}

/// Returns whether a runner ran a request: reading a prompt ahead and freeing its
/// memory are none.
fn is_run(received: &Received) -> bool {
    received.has_run
        && received.header("x-stage") != Some("prefill")
        && !received.line.starts_with("DELETE")
}

/// Returns the key that each request was sent with.
fn keys_by_id(attempts: &[Attempt]) -> HashMap<&str, &str> {
    let keys = attempts.iter().map(|one| (one.id.as_str(), one.key));
    keys.collect()
}

fn count_runs(received: &[Received]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for one in received.iter().filter(|one| is_run(one)) {
        let id = one.header("x-request-id").unwrap_or_default();
        *runs.entry(id.to_owned()).or_insert(0) += 1;
    }
    runs
}

fn check_attempt(
    attempt: &Attempt,
    runs: &HashMap<String, usize>,
    withdrawn_at: Option<Instant>,
    broken: &mut Vec<String>,
) {
    let id = &attempt.id;
    let runs = runs.get(id).copied().unwrap_or(0);
    if attempt.kind.runs_once() && runs > 1 {
        broken.push(format!("{id} ran {runs} times"));
    }
    let is_late = withdrawn_at.is_some_and(|at| attempt.sent_at > at + REVOCATION);
    if attempt.key == OTHER_KEY && is_late && runs > 0 {
        broken.push(format!("{id} ran with a withdrawn key"));
    }
    let Some(reply) = &attempt.reply else {
        return;
    };
    let says_not_run = matches!(reply.status, 408 | 421 | 429 | 503);
    if says_not_run && runs > 0 && attempt.kind.runs_once() {
        broken.push(format!("{id} was refused as not run and ran"));
    }
    if reply.status == 503 && reply.header("retry-after").is_none() {
        broken.push(format!("{id} was refused without a time to come back"));
    }
    let is_own = match attempt.kind {
        RequestKind::Read | RequestKind::Book => reply.is_whole && reply.body == format!("ok {id}"),
        RequestKind::Tell | RequestKind::Talk => is_in_order(&reply.body, reply.is_whole),
    };
    if reply.status == 200 && !(is_own && reply.header("x-response-seal").is_some()) {
        broken.push(format!("{id} got another answer: {}", reply.body));
    }
    if attempt.key == KEY && matches!(reply.status, 401 | 404) {
        broken.push(format!("{id} was denied with {}", reply.status));
    }
}

/// Returns whether the events of a stream come one after the other, and all of
/// them if it ends as complete. The last event of one that breaks off may be cut.
fn is_in_order(body: &str, is_whole: bool) -> bool {
    let event = |number: u64| format!("id: {number}\ndata: t{number}\n\n");
    let mut rest = body;
    let mut number = 0;
    while let Some(after) = rest.strip_prefix(&event(number + 1)) {
        rest = after;
        number += 1;
    }
    match is_whole {
        true => rest.is_empty() && number == STREAM_EVENTS,
        false => !rest.contains("\n\n"),
    }
}

fn check_received(received: &Received, keys: &HashMap<&str, &str>, broken: &mut Vec<String>) {
    let id = received.header("x-request-id").unwrap_or_default();
    if received.header("authorization").is_some() {
        broken.push(format!("{id} reached a runner with its key"));
    }
    let workspace = match keys.get(id) {
        Some(key) if *key == OTHER_KEY => "south",
        _ => "north",
    };
    if received.header("x-tenant") != Some(workspace) {
        broken.push(format!("{id} ran for another workspace"));
    }
}

/// A window has one figure, a number one holder, and numbers never fall.
fn check_usage(calls: &[DutyCall], broken: &mut Vec<String>) {
    let mut windows = BTreeMap::new();
    let mut holders = BTreeMap::new();
    let mut highest = 0;
    for call in calls {
        let window = call.body["windowSeq"].to_string();
        let counts = windows
            .entry(window.clone())
            .or_insert_with(|| call.body["counts"].clone());
        if *counts != call.body["counts"] {
            broken.push(format!("window {window} was reported with two figures"));
        }
        let number = call.fencing_token;
        let holder = holders.entry(number).or_insert_with(|| call.holder.clone());
        if *holder != call.holder {
            broken.push(format!("two holders act under the number {number}"));
        }
        if number < highest {
            broken.push(format!("number {number} came after {highest}"));
        }
        highest = highest.max(number);
    }
}
