//! Checks that the hosts together keep the rate that an upstream states.

use crate::announcements::{DisruptionTarget, has_overlap};
use crate::checks::RunReport;
use crate::faults::{LIMITED_UPSTREAM, STATED_RATE};
use crate::load::SentRequest;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the first response that states the rate, after which hosts must keep it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after a host has passed the rate on, from which on its requests count.
const TOLD_TIME: Duration = Duration::from_millis(500);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor by which the requests in a window may exceed the rate, and requests beyond that.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Appends a description of a window in which the upstream got too many requests.
pub(crate) fn check(report: &RunReport, violations: &mut Vec<String>) {
    let states_rate = |one: &&SentRequest| {
        let response = one.response.as_ref();
        response.is_some_and(|response| response.header("server-limit").is_some())
    };
    let told: Vec<&SentRequest> = report.requests.iter().filter(states_rate).collect();
    let Some(first) = told.iter().map(|one| one.ended_at).min() else {
        return;
    };
    let sent: HashMap<&str, &SentRequest> = report
        .requests
        .iter()
        .map(|one| (one.id.as_str(), one))
        .collect();
    let is_told = |host, at: Instant| {
        told.iter().any(|one| {
            let target = DisruptionTarget::Host(host);
            one.host == host
                && one.ended_at + TOLD_TIME <= at
                && !has_overlap(&report.actual_disruptions, target, one.ended_at, at)
        })
    };
    let arrivals = report.received[LIMITED_UPSTREAM].iter().filter(|one| {
        let request = one.header("x-request-id").and_then(|id| sent.get(id));
        request.is_some_and(|request| is_told(request.host, one.at))
    });
    let times: Vec<Instant> = arrivals.map(|one| one.at).collect();
    let count_from = |start: Instant| {
        let in_window = |at: &&Instant| start <= **at && **at < start + WINDOW;
        times.iter().filter(in_window).count()
    };
    let starts = times.iter().filter(|at| **at >= first + CONTACT_TIME);
    let most = starts.map(|start| count_from(*start)).max().unwrap_or(0);
    let rate: f64 = STATED_RATE.parse().expect("a number");
    let allowed = TOLERANCE * rate * WINDOW.as_secs_f64() + SLACK;
    println!("stated rate: at most {most} requests in a window, {allowed} allowed");
    if most as f64 > allowed {
        violations.push(format!(
            "{most} requests in a window reached an upstream that states {rate}/s"
        ));
    }
}
