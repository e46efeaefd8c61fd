//! The upstream's side of a relayed stream.

use crate::clock;
use crate::connection::describe;
use crate::events::EventScanner;
use crate::held::{HeldGuard, HeldRequest, NoRoom};
use crate::send::UpstreamResponse;
use bytes::Bytes;
use http_body_util::BodyExt;
use lagoonlift_policy::dispatch::VersionDigest;
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::rc::Rc;
use thiserror::Error;
use tokio::time::timeout;

/// Next item of a stream.
pub(super) enum StreamItem {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream can't go on.
    Broken(StreamBreak),
}

/// Why a stream can't go on.
#[derive(Debug, Error)]
pub(super) enum StreamBreak {
    /// The response broke off, stayed away or isn't sound.
    #[error("{0}")]
    Upstream(String),
    /// The host had no room for an event. That says nothing about the upstream.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

impl StreamBreak {
    /// Returns whether the upstream broke the stream.
    pub(super) fn is_of_upstream(&self) -> bool {
        matches!(self, Self::Upstream(_))
    }
}

impl StreamItem {
    /// Returns the item of a stream that its upstream broke.
    pub(super) fn broken(detail: impl Into<String>) -> Self {
        Self::Broken(StreamBreak::Upstream(detail.into()))
    }
}

/// Reads complete events from the response of one upstream.
pub(super) struct EventSource {
    response: Option<Box<UpstreamResponse>>,
    version: Option<VersionDigest>,
    scanner: EventScanner,
    held: Rc<HeldRequest>,
    /// Counts what has been read of an event.
    partial: HeldGuard,
    has_started: bool,
    /// Whether it goes on with a stream of which the caller has got a part.
    is_continuation: bool,
    has_events: bool,
    /// Whether the response, once it has ended, had a length or chunks.
    was_framed: bool,
}

impl EventSource {
    /// Creates a source of the events after `last_event`.
    pub(super) fn new(response: Box<UpstreamResponse>, last_event: Option<u64>) -> Self {
        Self {
            version: response.version,
            held: Rc::clone(&response.held),
            partial: response.held.guard(),
            response: Some(response),
            scanner: EventScanner::new(last_event),
            has_started: false,
            is_continuation: false,
            has_events: false,
            was_framed: false,
        }
    }

    /// Creates a source that goes on with a stream after `last_event`, which the caller has
    /// got.
    pub(super) fn continuing(response: Box<UpstreamResponse>, last_event: Option<u64>) -> Self {
        Self {
            is_continuation: last_event.is_some(),
            ..Self::new(response, last_event)
        }
    }

    /// Returns whether any data has arrived.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns whether the end of the stream was stated, by a length or by chunks, and not
    /// only by the end of the connection.
    pub(super) fn was_framed(&self) -> bool {
        self.was_framed
    }

    /// Returns the ID of the last complete event.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.scanner.last_id()
    }

    /// Returns the software version of the upstream, if it is known.
    pub(super) fn version(&self) -> Option<VersionDigest> {
        self.version
    }

    /// Returns the current upstream, if there is one and this host has sent the request there.
    pub(super) fn upstream(&self) -> Option<UpstreamKey> {
        self.response.as_ref()?.upstream()
    }

    /// Closes the connection to the current upstream, which makes it stop generating.
    pub(super) fn close(&mut self) {
        self.response = None;
        self.scanner.drop_partial();
        self.partial = self.held.guard();
    }

    /// Reads the next complete events. Returns `None` if there are none until the time
    /// `by`, which bytes that complete no event don't extend.
    pub(super) async fn next(&mut self, by: Timestamp) -> Option<StreamItem> {
        loop {
            // A timeout that starts anew at each chunk may never end while chunks come.
            let limit = clock::time_until(by);
            if limit.is_zero() {
                return None;
            }
            let Some(response) = self.response.as_mut() else {
                return Some(StreamItem::broken("no upstream"));
            };
            let frame = match timeout(limit, response.body.frame()).await {
                Err(_) => return None,
                Ok(Some(Err(error))) => return Some(StreamItem::broken(describe(&error))),
                Ok(None) => return Some(self.end()),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.has_started = true;
            if let Some(work) = response.work.as_mut() {
                work.end_prefill();
            }
            let events = match self.scanner.push(&data) {
                Ok(events) => events,
                Err(error) => return Some(StreamItem::broken(error.to_string())),
            };
            let room = self
                .held
                .hold_partial(&mut self.partial, self.scanner.held_bytes());
            if !events.is_empty() {
                self.has_events = true;
                return Some(StreamItem::Events(events));
            }
            if let Err(no_room) = room {
                return Some(StreamItem::Broken(no_room.into()));
            }
        }
    }

    fn end(&mut self) -> StreamItem {
        if self.scanner.is_inside_event() {
            return StreamItem::broken("the stream ended inside an event");
        }
        let is_stated = self.response.as_ref().is_none_or(|one| one.head.is_framed);
        if self.is_continuation && !self.has_events && !is_stated {
            return StreamItem::broken("neither an event nor an end is stated");
        }
        if let Some(response) = self.response.take() {
            self.was_framed = response.head.is_framed;
            if response.head.is_framed && !response.head.is_closing {
                let idle_timeout = response.head.idle_timeout;
                response.connection.return_to_pool(idle_timeout);
            }
        }
        StreamItem::End
    }
}
