//! Checks the guarantees of the gateway against what callers, upstreams and the
//! platform observed during a run.

use crate::announcements::{self, Disruption};
use crate::engines;
use crate::load::{RequestKind, SentRequest, TakenUpStream};
use crate::rates;
use crate::support::duty::DutyCall;
use crate::support::upstream::Received;
use crate::support::{KEY, OTHER_KEY};
use crate::versions;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time that a withdrawn key may still be accepted.
const REVOCATION_BOUND: Duration = Duration::from_secs(2);

/// Number of events in a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 6;

/// Observations of one run, which the checks evaluate.
pub(crate) struct RunReport {
    pub(crate) requests: Vec<SentRequest>,
    /// Streams that callers took up at another host.
    pub(crate) taken_up: Vec<TakenUpStream>,
    /// Whether engines of two software versions served, and an upstream stated a rate.
    pub(crate) has_versions: bool,
    /// Requests that each upstream received.
    pub(crate) received: Vec<Vec<Received>>,
    /// Faults of hosts and of links to upstreams as scheduled, and crashes of upstreams.
    pub(crate) disruptions: Vec<Disruption>,
    /// Faults of hosts, of the store and of links to upstreams, resets of links included,
    /// until they in fact ended.
    pub(crate) actual_disruptions: Vec<Disruption>,
    /// Times at which each upstream crashed.
    pub(crate) crashes: Vec<Vec<Instant>>,
    /// Times at which each upstream stopped draining, as a new incarnation.
    pub(crate) drain_ends: Vec<Vec<Instant>>,
    /// Prefix block on which the decode engines crashed, if there was one.
    pub(crate) crashing_block: Option<&'static str>,
    pub(crate) usage: Vec<DutyCall>,
    /// Time at which the key [`OTHER_KEY`] was withdrawn; `None` if it wasn't.
    pub(crate) withdrawn_at: Option<Instant>,
    /// Number of hosts that didn't exit with status 0 within the stop timeout.
    pub(crate) unclean_shutdowns: usize,
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = |wanted: u16| {
            let responses = self.requests.iter().filter_map(|one| one.response.as_ref());
            responses
                .filter(|response| response.status == wanted)
                .count()
        };
        write!(
            f,
            "{} requests, {} answered, {} refused, {} unknown, {} usage reports, {} crashes",
            self.requests.len(),
            status(200),
            status(503),
            status(502) + status(504),
            self.usage.len(),
            self.crashes.iter().map(Vec::len).sum::<usize>()
        )
    }
}

fn is_served(request: &SentRequest) -> bool {
    let response = request.response.as_ref();
    response.is_some_and(|response| response.status == 200 && response.is_whole)
}

/// Returns a description of each violated guarantee, with the request or the usage
/// window concerned.
pub(crate) fn find_violations(report: &RunReport) -> Vec<String> {
    let executions = count_executions(report.received.iter().flatten());
    let keys = keys_by_request(&report.requests);
    let mut violations = Vec::new();
    for request in &report.requests {
        check_request(request, &executions, report.withdrawn_at, &mut violations);
    }
    let with_identifier = |one: &&Received| one.header("x-request-id").is_some();
    for received in report.received.iter().flatten().filter(with_identifier) {
        check_received(received, &keys, &mut violations);
    }
    report
        .received
        .iter()
        .for_each(|received| check_connections(received, &mut violations));
    check_usage(&report.usage, &mut violations);
    announcements::check(report, &mut violations);
    engines::check(report, &mut violations);
    if report.has_versions {
        rates::check(report, &mut violations);
        versions::check(report, &mut violations);
    }
    if report.unclean_shutdowns > 0 {
        violations.push(format!(
            "{} hosts did not shut down cleanly in time",
            report.unclean_shutdowns
        ));
    }
    for kind in [
        RequestKind::Idempotent,
        RequestKind::NonIdempotent,
        RequestKind::NonIdempotentStream,
        RequestKind::ResumableStream,
    ] {
        if !report
            .requests
            .iter()
            .any(|one| one.kind == kind && is_served(one))
        {
            violations.push(format!("no request was served: {kind:?}"));
        }
    }
    violations
}

/// Returns a description of each request that may run once and ran twice, or ran though it was
/// refused as not run.
pub(crate) fn find_untrue_refusals(report: &RunReport) -> Vec<String> {
    let executions = count_executions(report.received.iter().flatten());
    let mut violations = Vec::new();
    for request in &report.requests {
        let mut untrue = Vec::new();
        check_promise(request, &executions, &mut untrue);
        let described = untrue
            .into_iter()
            .map(|text| format!("{text}: {}", describe(report, request)));
        violations.extend(described);
    }
    violations
}

/// Returns what the caller and the upstreams saw of a request, with the times since it was sent.
fn describe(report: &RunReport, request: &SentRequest) -> String {
    let id = Some(request.id.as_str());
    let answer = request.response.as_ref().map(|one| (one.status, &one.body));
    let ended_ms = request.ended_at.duration_since(request.sent_at).as_millis();
    let mut text = format!(
        "{:?} at {} answered {answer:?} after {ended_ms} ms",
        request.kind, request.host
    );
    for (upstream, received) in report.received.iter().enumerate() {
        for one in received
            .iter()
            .filter(|one| one.header("x-request-id") == id)
        {
            let at_ms = one
                .at
                .saturating_duration_since(request.sent_at)
                .as_millis();
            text.push_str(&format!(
                "; upstream {upstream} {:?} at {at_ms} ms on connection {} ({})",
                one.behaviour,
                one.connection,
                one.header("x-stage").unwrap_or("run")
            ));
        }
    }
    text
}

/// Checks that no connection to an upstream carried the same identifier twice, since a response
/// to the earlier one could be taken for that to the later one.
fn check_connections(received: &[Received], violations: &mut Vec<String>) {
    let mut carried = HashSet::new();
    for one in received {
        let id = one.header("x-request-id");
        if !carried.insert((one.connection, id)) {
            violations.push(format!(
                "connection {} of an upstream carried {} twice",
                one.connection,
                id.unwrap_or("a control call")
            ));
        }
    }
}

/// Returns whether an upstream executed the request itself. Prefill requests and
/// releases of a KV cache don't count as executions.
fn is_execution(received: &Received) -> bool {
    received.has_run
        && received.header("x-stage") != Some("prefill")
        && !received.line.starts_with("DELETE")
}

/// Returns the key of each request by request identifier.
fn keys_by_request(requests: &[SentRequest]) -> HashMap<&str, &str> {
    let keys = requests.iter().map(|one| (one.id.as_str(), one.key));
    keys.collect()
}

fn count_executions<'a>(received: impl Iterator<Item = &'a Received>) -> HashMap<String, usize> {
    let mut executions = HashMap::new();
    for one in received.filter(|one| is_execution(one)) {
        let id = one.header("x-request-id").unwrap_or_default();
        *executions.entry(id.to_owned()).or_insert(0) += 1;
    }
    executions
}

/// Checks that a request that may run once ran once at most, and not at all if it was refused.
fn check_promise(
    request: &SentRequest,
    executions: &HashMap<String, usize>,
    violations: &mut Vec<String>,
) {
    let id = &request.id;
    let executions = executions.get(id).copied().unwrap_or(0);
    if request.kind.is_at_most_once() && executions > 1 {
        violations.push(format!("{id} was executed {executions} times"));
    }
    let status = request.response.as_ref().map(|response| response.status);
    let reports_not_executed = matches!(status, Some(408 | 421 | 429 | 503));
    if reports_not_executed && executions > 0 && request.kind.is_at_most_once() {
        violations.push(format!("{id} was refused as not executed but was executed"));
    }
}

fn check_request(
    request: &SentRequest,
    executions: &HashMap<String, usize>,
    withdrawn_at: Option<Instant>,
    violations: &mut Vec<String>,
) {
    check_promise(request, executions, violations);
    let id = &request.id;
    let executions = executions.get(id).copied().unwrap_or(0);
    let is_late = withdrawn_at.is_some_and(|at| request.sent_at > at + REVOCATION_BOUND);
    if request.key == OTHER_KEY && is_late && executions > 0 {
        violations.push(format!("{id} was executed with a withdrawn key"));
    }
    let Some(response) = &request.response else {
        return;
    };
    if response.status == 503 && response.header("retry-after").is_none() {
        violations.push(format!("{id} was refused without a Retry-After header"));
    }
    let is_expected = match request.kind {
        RequestKind::Idempotent | RequestKind::NonIdempotent | RequestKind::CrashingRequest => {
            response.is_whole && response.body == format!("ok {id}")
        }
        RequestKind::NonIdempotentStream
        | RequestKind::ResumableStream
        | RequestKind::CrashingStream => is_in_order(&response.body, response.is_whole),
    };
    if response.status == 200 && !(is_expected && response.header("x-response-seal").is_some()) {
        violations.push(format!(
            "{id} received an unexpected response: {}",
            response.body
        ));
    }
    if request.key == KEY && matches!(response.status, 401 | 404) {
        violations.push(format!("{id} was denied with {}", response.status));
    }
}

/// Returns whether the events of a stream are consecutive from 1. A complete stream
/// must hold all of them; the last event of an interrupted stream may be truncated.
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

fn check_received(received: &Received, keys: &HashMap<&str, &str>, violations: &mut Vec<String>) {
    let id = received.header("x-request-id").unwrap_or_default();
    if received.header("authorization").is_some() {
        violations.push(format!("{id} reached an upstream with the caller's key"));
    }
    let workspace = match keys.get(id) {
        Some(key) if *key == OTHER_KEY => "south",
        _ => "north",
    };
    if received.header("x-tenant") != Some(workspace) {
        violations.push(format!("{id} was executed for the wrong workspace"));
    }
}

/// Checks that each usage window is reported with one set of figures, that each
/// fencing token belongs to one lease holder, and that fencing tokens never decrease.
fn check_usage(calls: &[DutyCall], violations: &mut Vec<String>) {
    let mut windows = BTreeMap::new();
    let mut holders = BTreeMap::new();
    let mut highest = 0;
    for call in calls {
        let window = call.body["windowSeq"].to_string();
        let counts = windows
            .entry(window.clone())
            .or_insert_with(|| call.body["counts"].clone());
        if *counts != call.body["counts"] {
            violations.push(format!(
                "window {window} was reported with different figures"
            ));
        }
        let token = call.fencing_token;
        let holder = holders.entry(token).or_insert_with(|| call.holder.clone());
        if *holder != call.holder {
            violations.push(format!("two lease holders used the fencing token {token}"));
        }
        if token < highest {
            violations.push(format!("fencing token {token} was used after {highest}"));
        }
        highest = highest.max(token);
    }
}
