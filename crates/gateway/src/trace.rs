//! Log line and metrics of one request.

use crate::admit::Admitted;
use crate::clock;
use crate::held::HeldRequest;
use crate::run::AttemptSummary;
use crate::state::GatewayState;
use lagoonlift_policy::Timestamp;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Outcome of a request with a successful response. In the `outcome` of a single
/// send, the same word covers any response, including 5xx.
pub(crate) const SUCCESS_OUTCOME: &str = "answered";

/// Outcome of a request to which an upstream has responded with a failure.
pub(crate) const FAILURE_OUTCOME: &str = "failed";

/// Writes one log line and updates the metrics when the request ends, also if the
/// caller disconnects. Of requests that succeeded at the first attempt, only a
/// sample is logged at high request rates.
pub(crate) struct RequestLog {
    state: Rc<GatewayState>,
    held: Option<Rc<HeldRequest>>,
    request_id: String,
    route: String,
    workspace: Option<String>,
    /// The attempt that the caller takes up again, if it does.
    resumed_attempt: Option<String>,
    arrived: Timestamp,
    first_byte: Option<Duration>,
    summary: AttemptSummary,
    resumes: u32,
    reason: &'static str,
    is_ended: bool,
}

impl RequestLog {
    pub(crate) fn new(state: &Rc<GatewayState>, request_id: &str, arrived: Timestamp) -> Self {
        Self {
            state: Rc::clone(state),
            held: None,
            request_id: request_id.to_owned(),
            route: String::new(),
            workspace: None,
            resumed_attempt: None,
            arrived,
            first_byte: None,
            summary: AttemptSummary::default(),
            resumes: 0,
            reason: "",
            is_ended: false,
        }
    }

    pub(crate) fn record_admitted(&mut self, admitted: &Admitted) {
        self.held = Some(Rc::clone(&admitted.outgoing.held));
        self.route.clone_from(&admitted.route.name);
        self.workspace.clone_from(&admitted.outgoing.workspace);
        let resumed_attempt = &admitted.outgoing.request.resumed_attempt;
        self.resumed_attempt.clone_from(resumed_attempt);
    }

    pub(crate) fn record_attempts(&mut self, summary: AttemptSummary) {
        self.summary = summary;
    }

    pub(crate) fn record_reason(&mut self, reason: &'static str) {
        self.reason = reason;
    }

    /// Records that the response to the caller starts now. A complete response starts
    /// after the whole body of the upstream's response has been read.
    pub(crate) fn record_first_byte(&mut self) {
        let latency = clock::now().since(self.arrived);
        self.first_byte = Some(latency);
        self.state.metrics.count_first_byte(&self.route, latency);
    }

    /// Logs that a stream from `upstream` was interrupted: its connection ended, or no
    /// event came in time. The log line of the end says whether it was continued.
    pub(crate) fn record_break(&self, detail: &str, upstream: Option<String>) {
        tracing::info!(
            request = self.request_id,
            upstream,
            detail,
            "stream interrupted"
        );
    }

    /// Logs how the silence of an upstream in a stream ended, or why no other upstream
    /// could replace it.
    pub(crate) fn record_silence(&self, result: &str) {
        tracing::info!(request = self.request_id, result, "stream was silent");
    }

    pub(crate) fn record_resume(&mut self) {
        self.resumes += 1;
    }

    /// Records the end of the request, once.
    pub(crate) fn end(&mut self, outcome: &'static str) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let now = clock::now();
        let duration = now.since(self.arrived);
        self.state
            .metrics
            .count_request(&self.route, outcome, duration);
        if matches!(outcome, SUCCESS_OUTCOME | FAILURE_OUTCOME) {
            let mut stop_admission = self.state.stop_admission.borrow_mut();
            stop_admission.record_response(now, &self.route, duration);
        }
        let left_out = match outcome {
            SUCCESS_OUTCOME if self.summary.sends <= 1 && self.resumes == 0 => self
                .state
                .success_log_sampler
                .borrow_mut()
                .sample(Instant::now()),
            _ => Some(0),
        };
        let Some(left_out) = left_out else {
            return;
        };
        let config = self.state.config().map(|config| config.version().0);
        let confirmation_age = self.state.confirmation().age(now);
        tracing::info!(
            request = self.request_id,
            route = self.route,
            workspace = self.workspace,
            outcome,
            reason = self.reason,
            sends = self.summary.sends,
            reader = self.summary.prefill_engine,
            read_ms = self
                .summary
                .prefill_time
                .map(|time| time.as_millis() as u64),
            upstream = self.summary.upstream,
            other_host = self.summary.other_host.map(|host| host.to_string()),
            version = self.summary.version,
            resumed_attempt = self.resumed_attempt,
            resumes = self.resumes,
            first_byte_ms = self.first_byte.map(|latency| latency.as_millis() as u64),
            duration_ms = duration.as_millis() as u64,
            config,
            proof_age_ms = confirmation_age.map(|age| age.as_millis() as u64),
            left_out = (left_out > 0).then_some(left_out),
            "request ended"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let is_cut = self.held.as_ref().is_some_and(|held| held.is_cut());
        let stops_by = self.state.stops_by();
        let has_stopped = stops_by.is_some_and(|at| clock::now() >= at);
        self.end(match is_cut {
            true => "cut",
            false if has_stopped => "stopped",
            false => "caller-left",
        });
    }
}
