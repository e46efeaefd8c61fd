//! Checks that hosts heed upstreams that announce draining or hold off requests.

use crate::checks::RunReport;
use crate::faults::HOLD_OFF_S;
use crate::load::SentRequest;
use crate::support::Behaviour;
use crate::support::upstream::Received;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a response that announces draining has been passed on, from which on no
/// request that a caller sends may reach the upstream.
const DRAINING_BOUND: Duration = Duration::from_millis(500);

/// Time after a refusal within which requests that were sent before may arrive.
const HOLD_OFF_GRACE: Duration = Duration::from_millis(500);

/// Requests of one host that may reach an upstream between that time and the end of
/// the hold-off.
const MAX_ARRIVALS_IN_HOLD_OFF: usize = 2;

/// Longest time for which a delayed chunk affects a link after the fault.
const LINK_RECOVERY: Duration = Duration::from_secs(1);

/// What a disruption affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisruptionTarget {
    /// The host that listens for callers at this address.
    Host(SocketAddr),
    /// The link to the upstream with this index.
    Upstream(usize),
    /// The store, or the link to it.
    Store,
}

/// A fault of a host or of a link to an upstream, or the crash of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disruption {
    pub(crate) target: DisruptionTarget,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A request that an upstream received, with the request of the caller.
struct Arrival<'a> {
    sent: &'a SentRequest,
    received: &'a Received,
}

/// Appends a description of each announcement that a host did not heed.
pub(crate) fn check(report: &RunReport, violations: &mut Vec<String>) {
    let sent: HashMap<&str, &SentRequest> = report
        .requests
        .iter()
        .map(|one| (one.id.as_str(), one))
        .collect();
    for (upstream, received) in report.received.iter().enumerate() {
        let arrivals: Vec<Arrival<'_>> = received
            .iter()
            .filter_map(|received| {
                let sent = *sent.get(received.header("x-request-id")?)?;
                Some(Arrival { sent, received })
            })
            .collect();
        for (index, announced) in arrivals.iter().enumerate() {
            let later = &arrivals[index + 1..];
            match announced.received.behaviour {
                Behaviour::Draining => {
                    let ends = report.drain_ends[upstream].iter();
                    let ends = ends.chain(&report.crashes[upstream]).copied();
                    let end = ends.filter(|at| *at > announced.received.at).min();
                    check_draining(report, announced, later, end, violations);
                }
                Behaviour::HoldOff(_) => {
                    check_hold_off(report, upstream, announced, later, violations);
                }
                _ => {}
            }
        }
    }
}

/// `incarnation_end` is the end of the incarnation that has announced it. The next one may
/// announce anew that it drains.
fn check_draining(
    report: &RunReport,
    announced: &Arrival<'_>,
    later: &[Arrival<'_>],
    incarnation_end: Option<Instant>,
    violations: &mut Vec<String>,
) {
    let was_passed_on = matches!(&announced.sent.response, Some(one) if one.status == 200);
    let host = announced.sent.host;
    let bound = announced.sent.ended_at + DRAINING_BOUND;
    let is_of_next = |at: Instant| incarnation_end.is_some_and(|end| at >= end);
    // An arrival with another behaviour may be at the next incarnation.
    let too_late = later.iter().filter(|one| {
        one.received.behaviour == Behaviour::Draining
            && !is_of_next(one.received.at)
            && one.sent.host == host
            && one.sent.sent_at > bound
            && !is_disrupted(
                report,
                DisruptionTarget::Host(host),
                announced.sent.sent_at,
                one.received.at,
            )
    });
    if let (true, Some(one)) = (was_passed_on, too_late.into_iter().next()) {
        violations.push(format!(
            "{} reached an upstream after {} had been answered that it drains",
            one.sent.id, announced.sent.id
        ));
    }
}

fn check_hold_off(
    report: &RunReport,
    upstream: usize,
    announced: &Arrival<'_>,
    later: &[Arrival<'_>],
    violations: &mut Vec<String>,
) {
    let time = HOLD_OFF_S.parse().expect("a number of seconds");
    let start = announced.received.at;
    let end = start + Duration::from_secs_f64(time);
    let host = announced.sent.host;
    let targets = [
        DisruptionTarget::Host(host),
        DisruptionTarget::Upstream(upstream),
    ];
    let since = start - LINK_RECOVERY;
    if targets
        .iter()
        .any(|target| is_disrupted(report, *target, since, end))
    {
        return;
    }
    let in_hold_off = later.iter().filter(|one| {
        let at = one.received.at;
        one.sent.host == host && at > start + HOLD_OFF_GRACE && at < end
    });
    let count = in_hold_off.count();
    if count > MAX_ARRIVALS_IN_HOLD_OFF {
        violations.push(format!(
            "{count} requests reached an upstream that held off after {}",
            announced.sent.id
        ));
    }
}

/// Returns whether a disruption of `target` overlaps the time from `from` to `until`.
fn is_disrupted(
    report: &RunReport,
    target: DisruptionTarget,
    from: Instant,
    until: Instant,
) -> bool {
    has_overlap(&report.disruptions, target, from, until)
}

/// Returns whether one of `disruptions` of `target` overlaps the time from `from` to
/// `until`.
pub(crate) fn has_overlap(
    disruptions: &[Disruption],
    target: DisruptionTarget,
    from: Instant,
    until: Instant,
) -> bool {
    let mut of_target = disruptions.iter().filter(|one| one.target == target);
    of_target.any(|one| one.from <= until && from <= one.until)
}
