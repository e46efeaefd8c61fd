//! Relays an event stream to the caller and continues an interrupted stream at another
//! upstream if the route allows it.
//!
//! An upstream that is silent may be sound and go on, and nothing may be able to replace
//! it: the route's attempts or the retry budget may be used up, or all engines busy. A
//! silent upstream is therefore kept until another one has accepted the request. Nothing
//! else ends its stream but the end of its connection or the caller's deadline.
//!
//! A request must not run on two upstreams for long. The silent one is closed as soon as
//! the other one sends its first event, or when [`MAX_OVERLAP`] has passed and the head of
//! the other one's response has arrived. Without a head by then, the other one is given up.

mod source;

use self::source::{EventSource, StreamBreak, StreamItem};
use crate::clock;
use crate::reply::{RelayError, ReplyBody};
use crate::run::{RequestRun, RunOutcome};
use crate::send::UpstreamResponse;
use crate::trace::{RequestLog, SUCCESS_OUTCOME};
use crate::upstream_health::record_break;
use bytes::Bytes;
use futures::stream;
use http::Response;
use http::response::Parts;
use http_body_util::StreamBody;
use hyper::body::Frame;
use lagoonlift_adapter::upstream::forwarded_response_headers;
use lagoonlift_policy::Timestamp;
use lagoonlift_policy::dispatch::{NextStep, SendResult};
use std::time::Duration;
use tokio::time::timeout;

/// Time without an event after which another upstream is looked for, if the stream is
/// resumable. A sound upstream may be silent for about a second; callers leave after two.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time after its first event from which on a stream shows that its prompt crashes no
/// engine.
const SUCCESS_TIME: Duration = Duration::from_secs(1);

/// Time after its first event from which on a stream isn't suspected of the crash of its
/// engine.
const MAX_CRASH_DELAY: Duration = Duration::from_millis(500);

/// Longest time for which the request may be at a silent upstream and at the one that
/// should replace it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// A stream that is being relayed.
pub(crate) struct StreamRelay {
    run: RequestRun,
    source: EventSource,
    /// Head of the response that the caller gets: that of the upstream that sends the
    /// first event.
    head: Parts,
    request_log: RequestLog,
    is_usage_counted: bool,
    /// Time of the first event of the current upstream.
    first_event_at: Option<Timestamp>,
    /// Whether an engine has answered the prompt without a crash.
    has_succeeded: bool,
    /// Whether the history of the request has the run of the current upstream.
    is_run_recorded: bool,
    /// Whether the current response comes by way of another host, which counts the run and
    /// judges the prompt.
    is_from_host: bool,
    /// Whether the caller has got events.
    has_passed_events: bool,
}

/// Result of the search for an upstream that replaces a silent one.
enum Replacement {
    /// Another upstream continues the stream, with this item if it has arrived.
    Accepted(Option<StreamItem>),
    /// No upstream could replace the silent one, which may still go on.
    None,
    /// The silent upstream sent this before another one sent anything.
    Needless(StreamItem),
}

/// A stream that broke before its first event.
pub(crate) struct StartFailure {
    pub(crate) run: RequestRun,
    pub(crate) request_log: RequestLog,
    pub(crate) step: NextStep,
}

impl StreamRelay {
    /// Waits for the first events before the response to the caller starts, so that
    /// a stream that breaks earlier can be retried or refused with a status.
    pub(crate) async fn start(
        run: RequestRun,
        response: Box<UpstreamResponse>,
        request_log: RequestLog,
    ) -> Result<Response<ReplyBody>, Box<StartFailure>> {
        let last_event = run.admitted.outgoing.request.last_event_id;
        let mut relay = Self {
            run,
            head: response.parts.clone(),
            is_from_host: response.upstream().is_none(),
            source: EventSource::new(response, last_event),
            request_log,
            is_usage_counted: false,
            first_event_at: None,
            has_succeeded: false,
            is_run_recorded: false,
            has_passed_events: false,
        };
        match relay.next_item().await {
            StreamItem::Broken(cause) => {
                relay.record_break(&cause);
                let step = relay.record_run();
                let Self {
                    run, request_log, ..
                } = relay;
                Err(Box::new(StartFailure {
                    run,
                    request_log,
                    step,
                }))
            }
            first => Ok(relay.into_response(first)),
        }
    }

    fn into_response(mut self, first: StreamItem) -> Response<ReplyBody> {
        let status = self.head.status;
        let mut headers = forwarded_response_headers(&self.head.headers);
        self.run.describe_to_host(&mut headers);
        self.request_log.record_first_byte();
        let items = stream::unfold((Some(self), Some(first)), |(relay, first)| async move {
            let mut relay = relay?;
            match relay.next_events(first).await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), (Some(relay), None))),
                Ok(None) => {
                    relay.request_log.end(SUCCESS_OUTCOME);
                    None
                }
                Err(error) => {
                    relay.request_log.end("broken-off");
                    Some((Err(error), (None, None)))
                }
            }
        });
        let body: ReplyBody = Box::pin(StreamBody::new(items));
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next events for the caller, or `None` at the end of the stream.
    async fn next_events(
        &mut self,
        first: Option<StreamItem>,
    ) -> Result<Option<Bytes>, RelayError> {
        let mut item = first;
        loop {
            let current = match item.take() {
                Some(item) => item,
                None => self.next_item().await,
            };
            match current {
                StreamItem::Events(events) => {
                    self.run.record_event(self.source.version()).await;
                    self.has_passed_events = true;
                    return Ok(Some(self.run.admitted.outgoing.held.hold(events)));
                }
                StreamItem::End => return Ok(None),
                StreamItem::Broken(cause) => {
                    self.record_break(&cause);
                    self.resume(cause.to_string()).await?;
                }
            }
        }
    }

    /// Waits for the next complete events, for the end or for the break of the stream.
    /// If the upstream is silent, another one is looked for once.
    async fn next_item(&mut self) -> StreamItem {
        let deadline = self.run.admitted.deadline;
        let mut next_event_by = match self.is_resumable() {
            true => deadline.min(clock::now() + EVENT_GAP_TIMEOUT),
            false => deadline,
        };
        loop {
            let item = self.source.next(next_event_by).await;
            self.count_usage();
            self.record_progress(item.as_ref());
            match item {
                Some(item) => return item,
                None if clock::now() >= deadline => {
                    return StreamItem::broken("no event in time");
                }
                None => {}
            }
            next_event_by = match self.replace_silent_upstream().await {
                Replacement::Accepted(None) => deadline.min(clock::now() + EVENT_GAP_TIMEOUT),
                Replacement::None => deadline,
                Replacement::Accepted(Some(item)) | Replacement::Needless(item) => return item,
            };
        }
    }

    /// Looks for another upstream, and continues with it if it accepts the request.
    async fn replace_silent_upstream(&mut self) -> Replacement {
        if !self.can_be_continued() || self.record_run() != NextStep::Retry {
            return Replacement::None;
        }
        self.run.silent_upstream = self.source.upstream();
        self.run.resume_after = self.source.last_event();
        let replacement = self.look_for_replacement().await;
        self.run.silent_upstream = None;
        self.count_usage();
        match &replacement {
            Replacement::Accepted(Some(item)) | Replacement::Needless(item) => {
                self.record_progress(Some(item));
            }
            Replacement::Accepted(None) | Replacement::None => {}
        }
        replacement
    }

    async fn look_for_replacement(&mut self) -> Replacement {
        let deadline = self.run.admitted.deadline;
        loop {
            // Until the request is sent to the other upstream, the silent one may go on.
            let attempt = tokio::select! {
                biased;
                item = self.source.next(deadline) => {
                    self.run.record_cancelled_send();
                    return self.keep_upstream("went on", item);
                }
                attempt = self.run.prepare_attempt() => attempt,
            };
            let attempt = match attempt {
                Ok(attempt) => attempt,
                Err(refusal) => return self.keep_upstream(refusal.reason, None),
            };
            let overlap_end = clock::now() + MAX_OVERLAP;
            let step = match timeout(MAX_OVERLAP, self.run.send(attempt)).await {
                Ok(Ok(RunOutcome::Stream(response))) => {
                    match self.hand_over(response, overlap_end).await {
                        Ok(replacement) => return replacement,
                        Err(step) => step,
                    }
                }
                Ok(Ok(_)) => self.run.history.record_send(SendResult::Failed),
                Ok(Err(step)) => step,
                Err(_) => {
                    self.run.record_cancelled_send();
                    return self.keep_upstream("the other upstream didn't respond", None);
                }
            };
            if step != NextStep::Retry {
                return self.keep_upstream("no attempt is left", None);
            }
        }
    }

    /// Continues with the response of another upstream once its first item has arrived, or
    /// at the time `by`, unless the silent upstream goes on first. If the other one breaks
    /// off, the silent one is kept, and the error is the next step.
    async fn hand_over(
        &mut self,
        response: Box<UpstreamResponse>,
        by: Timestamp,
    ) -> Result<Replacement, NextStep> {
        let upstream = response.upstream();
        let head = response.parts.clone();
        let mut other = EventSource::continuing(response, self.source.last_event());
        let item = tokio::select! {
            biased;
            item = other.next(by) => item,
            item = self.source.next(by) => match item {
                Some(StreamItem::Broken(_)) | None => None,
                Some(item) => {
                    self.run.history.record_send(SendResult::Unknown);
                    return Ok(self.keep_upstream("went on", Some(item)));
                }
            },
        };
        if let Some(StreamItem::Broken(cause)) = &item {
            if let Some(upstream) = upstream.filter(|_| cause.is_of_upstream()) {
                self.run.record_interruption(upstream);
            }
            let name = upstream.and_then(|upstream| self.run.name_of(upstream));
            self.request_log.record_break(&cause.to_string(), name);
            return Err(self.run.history.record_send(SendResult::Unknown));
        }
        self.request_log.record_silence("replaced");
        self.continue_with(other, head);
        Ok(Replacement::Accepted(item))
    }

    /// Stays with the silent upstream, which may have sent `item` meanwhile. `result`
    /// says why.
    fn keep_upstream(&mut self, result: &str, item: Option<StreamItem>) -> Replacement {
        self.run.release_kv_cache();
        self.request_log.record_silence(result);
        item.map_or(Replacement::None, Replacement::Needless)
    }

    /// Records what the next item says about the prompt: whether an engine has answered it,
    /// or may have crashed on it.
    fn record_progress(&mut self, item: Option<&StreamItem>) {
        let now = clock::now();
        let is_success = match item {
            Some(StreamItem::Events(_)) => {
                self.run.record_first_event();
                let first_event_at = *self.first_event_at.get_or_insert(now);
                now.since(first_event_at) >= SUCCESS_TIME
            }
            Some(StreamItem::End) => self.source.was_framed(),
            Some(StreamItem::Broken(cause)) => {
                if cause.is_of_upstream() {
                    self.record_interruption(now);
                }
                false
            }
            None => false,
        };
        if is_success && !self.has_succeeded && !self.is_from_host {
            self.has_succeeded = true;
            self.run.record_success();
        }
    }

    /// Records that the upstream may have crashed on the prompt. Crashes that a prompt
    /// causes come when its generation begins.
    fn record_interruption(&mut self, now: Timestamp) {
        let has_begun_before = self
            .first_event_at
            .is_some_and(|at| now.since(at) >= MAX_CRASH_DELAY);
        match self.source.upstream() {
            Some(upstream) if !has_begun_before => self.run.record_interruption(upstream),
            Some(_) | None => {}
        }
    }

    /// Continues the stream with the response of another upstream, which has this head.
    /// Closes the connection to the current one.
    fn continue_with(&mut self, source: EventSource, head: Parts) {
        self.request_log.record_resume();
        self.head = head;
        self.source = source;
        self.is_from_host = false;
        self.first_event_at = None;
        self.has_succeeded = false;
        self.is_run_recorded = false;
    }

    /// Counts the run for the usage report, once, when the first data has arrived.
    fn count_usage(&mut self) {
        if self.is_usage_counted || !self.source.has_started() || self.is_from_host {
            return;
        }
        self.is_usage_counted = true;
        let workspace = self.run.admitted.outgoing.workspace.as_deref();
        self.run.state.count_usage(clock::now(), workspace);
    }

    fn record_break(&self, cause: &StreamBreak) {
        let upstream = self.source.upstream();
        if let Some(upstream) = upstream.filter(|_| cause.is_of_upstream()) {
            record_break(&self.run.state, upstream);
        }
        let name = upstream.and_then(|upstream| self.run.name_of(upstream));
        self.request_log.record_break(&cause.to_string(), name);
    }

    /// Records the run of the current upstream, once, and returns the next step.
    fn record_run(&mut self) -> NextStep {
        if !self.is_run_recorded {
            self.is_run_recorded = true;
            return self.run.history.record_send(SendResult::Unknown);
        }
        match self.run.history.may_retry() {
            true => NextStep::Retry,
            false => self.run.history.step_without_retry(),
        }
    }

    fn is_resumable(&self) -> bool {
        self.run.admitted.route.retry_safety.is_resumable()
    }

    /// Returns whether another upstream can be told after which event to go on.
    fn can_be_continued(&self) -> bool {
        !self.has_passed_events || self.source.last_event().is_some()
    }

    /// Resumes the stream at another upstream after the last complete event.
    async fn resume(&mut self, detail: String) -> Result<(), RelayError> {
        self.source.close();
        self.run.end_crash_check().await;
        if !self.is_resumable() {
            return self.fail(detail, "the stream is not resumable");
        }
        if !self.can_be_continued() {
            return self.fail(detail, "the events have no identifiers");
        }
        if self.record_run() != NextStep::Retry {
            return self.fail(detail, "no attempt is left");
        }
        self.run.resume_after = self.source.last_event();
        match self.run.next_outcome().await {
            RunOutcome::Stream(response) => {
                let head = response.parts.clone();
                let is_from_host = response.upstream().is_none();
                let source = EventSource::continuing(response, self.source.last_event());
                self.continue_with(source, head);
                self.is_from_host = is_from_host;
                Ok(())
            }
            RunOutcome::Complete(..) => self.fail(detail, "the upstream failed"),
            RunOutcome::Reply(reply) => self.fail(detail, reply.reason),
        }
    }

    /// Ends the caller's response before its end. `reason` says why no upstream could
    /// continue it.
    fn fail(&mut self, detail: String, reason: &'static str) -> Result<(), RelayError> {
        self.request_log.record_reason(reason);
        Err(RelayError(detail))
    }
}
