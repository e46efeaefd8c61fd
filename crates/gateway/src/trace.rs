//! The log line and the metrics of one request.

use crate::admit::Admitted;
use crate::clock;
use crate::host::Host;
use crate::run::RunPath;
use lagoonlift_policy::Timestamp;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Outcome of a request that an upstream answered with success.
pub(crate) const ANSWERED: &str = "answered";

/// Writes one line when the request ends, however it ends. Of those that went
/// well at the first send only a sample is written while there are many.
pub(crate) struct RequestTrace {
    host: Rc<Host>,
    request_id: String,
    route: String,
    workspace: Option<String>,
    arrived: Timestamp,
    first_byte: Option<Duration>,
    path: RunPath,
    resumes: u32,
    reason: &'static str,
    is_ended: bool,
}

impl RequestTrace {
    pub(crate) fn new(host: &Rc<Host>, request_id: &str, arrived: Timestamp) -> Self {
        Self {
            host: Rc::clone(host),
            request_id: request_id.to_owned(),
            route: String::new(),
            workspace: None,
            arrived,
            first_byte: None,
            path: RunPath::default(),
            resumes: 0,
            reason: "",
            is_ended: false,
        }
    }

    pub(crate) fn note_admitted(&mut self, admitted: &Admitted) {
        self.route.clone_from(&admitted.route.name);
        self.workspace.clone_from(&admitted.outgoing.workspace);
    }

    pub(crate) fn note_path(&mut self, path: RunPath) {
        self.path = path;
    }

    pub(crate) fn note_reason(&mut self, reason: &'static str) {
        self.reason = reason;
    }

    pub(crate) fn note_first_byte(&mut self) {
        let latency = clock::now().since(self.arrived);
        self.first_byte = Some(latency);
        self.host.metrics.count_first_byte(&self.route, latency);
    }

    pub(crate) fn note_break(&mut self, detail: &str) {
        tracing::info!(request = self.request_id, detail, "stream broke off");
    }

    pub(crate) fn note_resume(&mut self) {
        self.resumes += 1;
    }

    /// Ends the request.
    pub(crate) fn end(&mut self, outcome: &'static str) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let now = clock::now();
        let duration = now.since(self.arrived);
        self.host
            .metrics
            .count_request(&self.route, outcome, duration);
        let left_out = match outcome {
            ANSWERED if self.path.sends <= 1 && self.resumes == 0 => {
                self.host.success_lines.borrow_mut().sample(Instant::now())
            }
            _ => Some(0),
        };
        let Some(left_out) = left_out else {
            return;
        };
        let config = self.host.config().map(|config| config.version().0);
        let proof_age = self.host.proof().age(now);
        tracing::info!(
            request = self.request_id,
            route = self.route,
            workspace = self.workspace,
            outcome,
            reason = self.reason,
            sends = self.path.sends,
            reader = self.path.reader,
            read_ms = self.path.read_time.map(|time| time.as_millis() as u64),
            upstream = self.path.upstream,
            resumes = self.resumes,
            first_byte_ms = self.first_byte.map(|latency| latency.as_millis() as u64),
            duration_ms = duration.as_millis() as u64,
            config,
            proof_age_ms = proof_age.map(|age| age.as_millis() as u64),
            left_out = (left_out > 0).then_some(left_out),
            "request ended"
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.end("caller-left");
    }
}
