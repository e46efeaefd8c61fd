//! Relays an event stream to the caller and resumes a broken stream at another
//! upstream if the route allows it.

use crate::clock;
use crate::connection::describe;
use crate::events::EventScanner;
use crate::reply::{RelayError, ReplyBody};
use crate::run::{RequestRun, RunOutcome};
use crate::send::UpstreamResponse;
use crate::trace::{RequestLog, SUCCESS_OUTCOME};
use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use lagoonlift_adapter::upstream::forwarded_response_headers;
use lagoonlift_policy::dispatch::{NextStep, RetrySafety, SendResult};
use std::time::Duration;
use tokio::time::timeout;

/// Time without an event after which a resumable stream is resumed at another
/// upstream.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A stream that is being relayed.
pub(crate) struct StreamRelay {
    run: RequestRun,
    response: Option<Box<UpstreamResponse>>,
    scanner: EventScanner,
    request_log: RequestLog,
    has_started: bool,
}

/// Next item read from the upstream's connection.
enum StreamItem {
    Events(Bytes),
    End,
    Broken(String),
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
        let parts = response.parts.clone();
        let mut relay = Self {
            run,
            response: Some(response),
            scanner: EventScanner::new(last_event),
            request_log,
            has_started: false,
        };
        match relay.next_item().await {
            StreamItem::Broken(detail) => {
                relay.request_log.record_break(&detail);
                let step = relay.run.history.record_send(SendResult::Unknown);
                let Self {
                    run, request_log, ..
                } = relay;
                Err(Box::new(StartFailure {
                    run,
                    request_log,
                    step,
                }))
            }
            first => Ok(relay.into_response(parts, first)),
        }
    }

    fn into_response(
        mut self,
        parts: http::response::Parts,
        first: StreamItem,
    ) -> Response<ReplyBody> {
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
        *response.status_mut() = parts.status;
        *response.headers_mut() = forwarded_response_headers(&parts.headers);
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
                StreamItem::Events(events) => return Ok(Some(events)),
                StreamItem::End => return Ok(None),
                StreamItem::Broken(detail) => {
                    self.request_log.record_break(&detail);
                    self.resume(detail).await?;
                }
            }
        }
    }

    /// Waits for the next complete events. Bytes that complete no event don't extend the
    /// time for them.
    async fn next_item(&mut self) -> StreamItem {
        let deadline = self.run.admitted.deadline;
        let next_event_by = match self.is_resumable() {
            true => deadline.min(clock::now() + EVENT_GAP_TIMEOUT),
            false => deadline,
        };
        loop {
            let limit = clock::time_until(next_event_by);
            let Some(response) = self.response.as_mut() else {
                return StreamItem::Broken("no upstream".to_owned());
            };
            match timeout(limit, response.body.frame()).await {
                Err(_) => return StreamItem::Broken("no event in time".to_owned()),
                Ok(Some(Err(error))) => return StreamItem::Broken(describe(&error)),
                Ok(None) => return self.end(),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.record_start();
                    let events = match self.scanner.push(&data) {
                        Ok(events) => events,
                        Err(error) => return StreamItem::Broken(error.to_string()),
                    };
                    if !events.is_empty() {
                        return StreamItem::Events(events);
                    }
                }
            }
        }
    }

    fn record_start(&mut self) {
        if self.has_started {
            return;
        }
        self.has_started = true;
        let workspace = self.run.admitted.outgoing.workspace.as_deref();
        self.run.state.count_usage(clock::now(), workspace);
        if let Some(response) = self.response.as_mut() {
            response.work.end_prefill();
        }
    }

    fn end(&mut self) -> StreamItem {
        if self.scanner.is_inside_event() {
            return StreamItem::Broken("the stream ended inside an event".to_owned());
        }
        if let Some(response) = self.response.take()
            && response.head.is_framed
            && !response.head.is_closing
        {
            response
                .connection
                .return_to_pool(response.head.idle_timeout);
        }
        StreamItem::End
    }

    fn is_resumable(&self) -> bool {
        self.run.admitted.route.retry_safety == RetrySafety::Stream { resumable: true }
    }

    /// Resumes the stream at another upstream after the last complete event.
    async fn resume(&mut self, detail: String) -> Result<(), RelayError> {
        // Closing the old connection first makes the old upstream stop generating.
        self.response = None;
        self.scanner.drop_partial();
        if !self.is_resumable()
            || self.run.history.record_send(SendResult::Unknown) != NextStep::Retry
        {
            return Err(RelayError(detail));
        }
        self.run.resume_after = self.scanner.last_id();
        match self.run.next_outcome().await {
            RunOutcome::Stream(response) => {
                self.request_log.record_resume();
                self.response = Some(response);
                Ok(())
            }
            RunOutcome::Complete(..) | RunOutcome::Reply(_) => Err(RelayError(detail)),
        }
    }
}
