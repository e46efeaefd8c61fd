//! Runs a request by way of another host.

use super::{RequestRun, RunOutcome};
use crate::clock;
use crate::hop::{self, HopOutcome, HopTerms};
use crate::host_paths;
use crate::reply::{GatewayReply, Refusal};
use http::HeaderMap;
use lagoonlift_policy::dispatch::{NextStep, RefusalCause, SendResult};
use rand::RngExt;
use std::net::SocketAddr;

/// Largest number of hosts that are asked to run a request.
const MAX_HOSTS: usize = 2;

impl RequestRun {
    /// Returns whether this host is cut off from the service, so that an attempt of its own
    /// would only take time.
    pub(super) fn is_cut_off(&self) -> bool {
        self.admitted.hop.is_none() && host_paths::is_cut_off(&self.state, &self.admitted.service)
    }

    /// Returns whether a request that this host refuses may have a better chance at another
    /// one, because this one couldn't reach its upstreams.
    pub(super) fn may_be_out_of_reach(&self, refusal: &Refusal) -> bool {
        let paths = self.state.host_paths.borrow();
        let is_out_of_reach = paths.is_out_of_reach(&self.admitted.service);
        refusal.is_for_lack_of_upstreams && (self.had_path_failure || is_out_of_reach)
    }

    /// Returns whether the request may go by way of another host: it is one of this host's own
    /// callers, and another attempt is allowed.
    fn may_use_other_host(&self) -> bool {
        self.admitted.hop.is_none()
            && self.tried_hosts.len() < MAX_HOSTS
            && self.pass_stop().is_ok()
            && self.silent_upstream.is_none()
            && self.history.may_retry()
            && clock::now() < self.admitted.deadline
    }

    /// Sends the request to another host. Returns `None` if it may not go there, or no host
    /// reaches the service; otherwise the outcome, or the next step after a failure.
    pub(super) async fn run_elsewhere(&mut self) -> Option<Result<RunOutcome, NextStep>> {
        if !self.may_use_other_host() {
            return None;
        }
        let host = self.other_host()?;
        let terms = HopTerms {
            config: self.state.config()?.version().0,
            service: self.admitted.service.clone(),
            runs: self.history.runs_left(),
            is_retry: self.history.next_is_retry(),
            caller_wait: self.admitted.caller_deadline.map(clock::time_until),
        };
        self.tried_hosts.push(host);
        self.sent_to = None;
        self.sent_decode = None;
        self.release_kv_cache();
        let deadline = self.admitted.deadline;
        let outcome = hop::send(self, host, &terms, self.resume_after, deadline).await;
        self.summary.sends += 1;
        self.summary.upstream = None;
        self.summary.version = None;
        self.summary.other_host = Some(host);
        let result = match outcome {
            HopOutcome::Responded(response) => match self.process_response(response).await {
                Ok(outcome) => return Some(Ok(outcome)),
                Err(result) => result,
            },
            HopOutcome::NotRun(wait) => {
                self.other_hosts_wait = wait.or(self.other_hosts_wait);
                SendResult::NotRun
            }
            HopOutcome::NotSent(_) => SendResult::NotSent,
            HopOutcome::Lost(_) => SendResult::Unknown,
            HopOutcome::TimedOut => {
                self.has_timed_out = true;
                SendResult::Unknown
            }
        };
        Some(Err(self.history.record_send(result)))
    }

    fn other_host(&self) -> Option<SocketAddr> {
        let paths = self.state.host_paths.borrow();
        let draws = [rand::rng().random(), rand::rng().random()];
        let service = &self.admitted.service;
        paths.relay_target(clock::now(), service, &self.tried_hosts, draws)
    }

    /// Returns the refusal of a request that other hosts refused, with their time to come
    /// back; `None` if none did.
    pub(super) fn refused_elsewhere(&self) -> Option<Refusal> {
        if self.tried_hosts.is_empty() {
            return None;
        }
        let refusal = self.refusal(
            "neither this host nor another one reaches an upstream with room",
            RefusalCause::NoUpstream,
        );
        Some(Refusal {
            retry_after: self.other_hosts_wait.unwrap_or(refusal.retry_after),
            ..refusal
        })
    }

    /// Tells another host that sent the request here which upstream has answered it.
    pub(crate) fn describe_to_host(&self, headers: &mut HeaderMap) {
        if self.admitted.hop.is_some() {
            let upstream = self.summary.upstream.as_deref();
            let is_certain = self.sent_to.as_ref().is_some_and(|(key, _)| {
                let table = self.state.table.borrow();
                table
                    .get(*key)
                    .is_some_and(|one| !one.is_version_doubtful())
            });
            let version = self.summary.version.as_deref().filter(|_| is_certain);
            hop::describe_upstream(headers, upstream, version);
        }
    }

    /// Returns why this host declines a request of another one, if it does.
    pub(crate) fn declines(&self) -> Option<GatewayReply> {
        let paths = self.state.host_paths.borrow();
        let may_serve = !paths.is_out_of_reach(&self.admitted.service);
        let is_sendable = self.admitted.hop.is_none() || may_serve;
        (!is_sendable).then(|| {
            let refusal = self.refusal(
                "this host doesn't reach the service either",
                RefusalCause::NoUpstream,
            );
            self.reply(refusal)
        })
    }
}
