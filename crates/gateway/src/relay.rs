//! Passes a stream of events on, and lets it go on at another upstream when it
//! breaks, where its route allows that.

use crate::clock;
use crate::connection::describe;
use crate::events::EventScanner;
use crate::reply::{RelayError, ReplyBody};
use crate::run::{Run, RunEnd};
use crate::send::Answer;
use crate::trace::{ANSWERED, RequestTrace};
use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use lagoonlift_adapter::upstream::forwarded_response_headers;
use lagoonlift_policy::dispatch::{NextStep, RetrySafety, SendResult};
use std::time::Duration;
use tokio::time::timeout;

/// Pause between two events after which a resumable stream goes on elsewhere.
const RESUME_GAP: Duration = Duration::from_millis(1_000);

/// A stream under way.
pub(crate) struct StreamRelay {
    run: Run,
    answer: Option<Box<Answer>>,
    scanner: EventScanner,
    trace: RequestTrace,
    has_started: bool,
}

/// What the upstream's connection gave.
enum Piece {
    Events(Bytes),
    End,
    Broken(String),
}

/// How a stream could not start.
pub(crate) struct NotStarted {
    pub(crate) run: Run,
    pub(crate) trace: RequestTrace,
    pub(crate) step: NextStep,
}

impl StreamRelay {
    /// Waits for the first events, so that a stream that breaks before them can
    /// still end as something else.
    pub(crate) async fn start(
        run: Run,
        answer: Box<Answer>,
        trace: RequestTrace,
    ) -> Result<Response<ReplyBody>, Box<NotStarted>> {
        let last_event = run.admitted.outgoing.request.last_event_id;
        let parts = answer.parts.clone();
        let mut relay = Self {
            run,
            answer: Some(answer),
            scanner: EventScanner::new(last_event),
            trace,
            has_started: false,
        };
        match relay.next_piece().await {
            Piece::Broken(detail) => {
                relay.trace.note_break(&detail);
                let step = relay.run.ledger.record_send(SendResult::Unknown);
                let Self { run, trace, .. } = relay;
                Err(Box::new(NotStarted { run, trace, step }))
            }
            first => Ok(relay.into_response(parts, first)),
        }
    }

    fn into_response(mut self, parts: http::response::Parts, first: Piece) -> Response<ReplyBody> {
        self.trace.note_first_byte();
        let pieces = stream::unfold((Some(self), Some(first)), |(relay, first)| async move {
            let mut relay = relay?;
            match relay.next_events(first).await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), (Some(relay), None))),
                Ok(None) => {
                    relay.trace.end(ANSWERED);
                    None
                }
                Err(error) => {
                    relay.trace.end("broken-off");
                    Some((Err(error), (None, None)))
                }
            }
        });
        let body: ReplyBody = Box::pin(StreamBody::new(pieces));
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = forwarded_response_headers(&parts.headers);
        response
    }

    /// Returns the next events for the caller, `None` at the end.
    async fn next_events(&mut self, first: Option<Piece>) -> Result<Option<Bytes>, RelayError> {
        let mut piece = first;
        loop {
            let current = match piece.take() {
                Some(piece) => piece,
                None => self.next_piece().await,
            };
            match current {
                Piece::Events(events) => return Ok(Some(events)),
                Piece::End => return Ok(None),
                Piece::Broken(detail) => {
                    self.trace.note_break(&detail);
                    self.resume(detail).await?;
                }
            }
        }
    }

    async fn next_piece(&mut self) -> Piece {
        loop {
            let left = clock::time_until(self.run.admitted.until);
            let limit = match self.is_resumable() {
                true => left.min(RESUME_GAP),
                false => left,
            };
            let Some(answer) = self.answer.as_mut() else {
                return Piece::Broken("no upstream".to_owned());
            };
            match timeout(limit, answer.body.frame()).await {
                Err(_) => return Piece::Broken("no event in time".to_owned()),
                Ok(Some(Err(error))) => return Piece::Broken(describe(&error)),
                Ok(None) => return self.end(),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.note_start();
                    let events = self.scanner.push(&data);
                    if !events.is_empty() {
                        return Piece::Events(events);
                    }
                }
            }
        }
    }

    fn note_start(&mut self) {
        if self.has_started {
            return;
        }
        self.has_started = true;
        let workspace = self.run.admitted.outgoing.workspace.as_deref();
        self.run.host.count_usage(clock::now(), workspace);
        if let Some(answer) = self.answer.as_mut() {
            answer.work.end_reading();
        }
    }

    fn end(&mut self) -> Piece {
        if self.scanner.is_inside_event() {
            return Piece::Broken("the stream ended inside an event".to_owned());
        }
        if let Some(answer) = self.answer.take()
            && answer.head.is_framed
            && !answer.head.is_closing
        {
            answer.connection.keep(answer.head.idle_timeout);
        }
        Piece::End
    }

    fn is_resumable(&self) -> bool {
        self.run.admitted.route.retry_safety == RetrySafety::Stream { resumable: true }
    }

    /// Lets the stream go on at another upstream after the last whole event.
    async fn resume(&mut self, detail: String) -> Result<(), RelayError> {
        // Closing the connection first makes the old upstream stop.
        self.answer = None;
        self.scanner.drop_partial();
        if !self.is_resumable()
            || self.run.ledger.record_send(SendResult::Unknown) != NextStep::Retry
        {
            return Err(RelayError(detail));
        }
        self.run.resume_after = self.scanner.last_id();
        match self.run.finish().await {
            RunEnd::Stream(answer) => {
                self.trace.note_resume();
                self.answer = Some(answer);
                Ok(())
            }
            RunEnd::Whole(..) | RunEnd::Refused(_) => Err(RelayError(detail)),
        }
    }
}
