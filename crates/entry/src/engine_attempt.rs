//! One attempt at an engine, from the send to the end of its stream.

use crate::slot::UpstreamSlot;
use crate::upstream_handle::{UpstreamClient, UpstreamHandle};
use futures::FutureExt;
use futures::future::BoxFuture;
use lagoonlift_policy::{AttemptEnd, UpstreamKey};
use lagoonlift_upstreams::{ChatCall, EngineEvent, EngineStream, SendError, StreamError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// For waits that the caller of a function bounds.
pub(crate) const NO_LIMIT: Duration = Duration::MAX;

/// Why an attempt ended without a complete response.
#[derive(Debug)]
pub(crate) enum AttemptFailure {
    Send(SendError),
    Stream(StreamError),
    CallerDisconnected,
}

/// An attempt at an engine. Dropping it closes the connection and frees the slot.
pub(crate) struct EngineAttempt {
    slot: UpstreamSlot,
    response: EngineResponse,
    has_begun: bool,
}

enum EngineResponse {
    /// The head hasn't arrived yet.
    Awaited(BoxFuture<'static, Result<EngineStream, SendError>>),
    Started(Box<EngineStream>),
}

impl EngineAttempt {
    /// Creates an attempt, which is sent when its response is waited for.
    pub(crate) fn new(slot: UpstreamSlot, call: ChatCall) -> Self {
        let upstream_handle = Arc::clone(slot.upstream_handle());
        let sent = async move {
            match &upstream_handle.client {
                UpstreamClient::Engine(client) => client.send_chat(call).await,
                // The policy places requests for models only on engines.
                UpstreamClient::Service(_) => Err(SendError::NotSent(
                    "the upstream isn't an engine".to_owned(),
                )),
            }
        };
        Self {
            slot,
            response: EngineResponse::Awaited(sent.boxed()),
            has_begun: false,
        }
    }

    pub(crate) fn upstream(&self) -> UpstreamKey {
        self.slot.upstream()
    }

    pub(crate) fn upstream_handle(&self) -> &Arc<UpstreamHandle> {
        self.slot.upstream_handle()
    }

    pub(crate) fn slot(&self) -> &UpstreamSlot {
        &self.slot
    }

    /// Returns whether an event of the response has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Waits for the head of the response, by which the engine accepts the request.
    pub(crate) async fn accepted(&mut self) -> Result<(), SendError> {
        if let EngineResponse::Awaited(sent) = &mut self.response {
            self.response = EngineResponse::Started(Box::new(sent.await?));
        }
        Ok(())
    }

    /// Waits for the next event; returns `None` if there is none by `until`.
    pub(crate) async fn next_by(
        &mut self,
        until: Instant,
    ) -> Option<Result<EngineEvent, AttemptFailure>> {
        timeout_at(until, self.next()).await.ok()
    }

    /// Waits for the next event. Dropping the future loses nothing.
    pub(crate) async fn next(&mut self) -> Result<EngineEvent, AttemptFailure> {
        loop {
            match &mut self.response {
                EngineResponse::Awaited(_) => {
                    self.accepted().await.map_err(AttemptFailure::Send)?;
                }
                EngineResponse::Started(stream) => {
                    let event = stream.next(NO_LIMIT).await;
                    let event = event.map_err(AttemptFailure::Stream)?;
                    self.has_begun = true;
                    return Ok(event);
                }
            }
        }
    }

    /// Ends the attempt, frees its slot and reports how it ended.
    pub(crate) fn finish(self, end: AttemptEnd) {
        // The connection is closed first, so that the engine has room when the
        // policy places the next request.
        drop(self.response);
        self.slot.finish(end);
    }
}
