//! HTTP client of one model engine.

use crate::body::read_json;
use crate::connection::{ConnectionUse, UpstreamConnections};
use crate::error::SendError;
use crate::report::{CacheEvents, EngineLoad};
use crate::stream::EngineStream;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, StatusCode};
use lagoonlift_types::RequestId;
use reqwest::{Client, Response};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Request header to upstreams: the identifier of the request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Request header to upstreams: the number of the attempt, starting at 1.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-attempt");

/// Request header to engines: the priority in the engine's queue, where lower
/// values are scheduled first.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// Maximum number of bytes that are kept of an error response's body.
const MAX_ERROR_BYTES: usize = 512;

/// Timeout for reading an error response's body.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// One attempt to run a chat completion on an engine.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Identifier of the request, the same for all its attempts.
    pub request: RequestId,
    /// Number of this attempt, starting at 1.
    pub attempt: u32,
    /// Priority in the engine's queue, where lower values are scheduled first.
    pub priority: u8,
    /// The request body, as JSON text.
    pub body: Bytes,
    /// The connection on which the attempt is sent.
    pub connection: ConnectionUse,
    /// Timeout for the arrival of the response's status and headers.
    pub header_timeout: Duration,
}

/// HTTP client of one model engine.
#[derive(Debug)]
pub struct EngineClient {
    connections: UpstreamConnections,
}

impl EngineClient {
    /// Creates a client without connecting to the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let connections = UpstreamConnections::new(address)?;
        Ok(Self { connections })
    }

    /// Returns the engine's connections, for example to evict idle ones.
    pub fn connections(&self) -> &UpstreamConnections {
        &self.connections
    }

    /// Sends a chat completion request and waits for the headers of its
    /// streamed response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which says whether the engine may have run the
    /// request.
    pub async fn send_chat(&self, call: ChatCall) -> Result<EngineStream, SendError> {
        let client = self.connections.client(call.connection);
        let request = client
            .post(self.connections.url("/v1/chat/completions"))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_HEADER, call.request.to_string())
            .header(ATTEMPT_HEADER, call.attempt.to_string())
            .header(PRIORITY_HEADER, call.priority.to_string())
            .body(call.body);
        let response = timeout(call.header_timeout, request.send())
            .await
            .map_err(|_| SendError::Timeout(call.header_timeout))??;
        match response.status() {
            StatusCode::OK => Ok(EngineStream::new(response)),
            StatusCode::TOO_MANY_REQUESTS => Err(SendError::Busy {
                retry_after: retry_after(&response),
            }),
            status => Err(SendError::Status {
                status,
                text: error_body(response).await,
            }),
        }
    }

    /// Requests that the engine stops running a request and frees its slot.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond within `max_wait`.
    pub async fn cancel(&self, request: RequestId, max_wait: Duration) -> Result<(), SendError> {
        let url = self.connections.url(&format!("/v1/requests/{request}"));
        let client = self.connections.client(ConnectionUse::Pooled);
        let sent = timeout(max_wait, client.delete(url).send()).await;
        sent.map_err(|_| SendError::Timeout(max_wait))??;
        Ok(())
    }

    /// Fetches the engine's load. On a pooled connection, this also checks that
    /// the connection still works.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond with a load report within
    /// `max_wait`.
    pub async fn load(
        &self,
        connection: ConnectionUse,
        max_wait: Duration,
    ) -> Result<EngineLoad, SendError> {
        let client = self.connections.client(connection);
        self.get(&client, "/load", max_wait).await
    }

    /// Fetches the events of the engine's prefix cache that follow the event
    /// numbered `sequence`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't respond with a list of events
    /// within `max_wait`.
    pub async fn cache_events(
        &self,
        sequence: u64,
        max_wait: Duration,
    ) -> Result<CacheEvents, SendError> {
        let client = self.connections.client(ConnectionUse::Pooled);
        let path = format!("/cache-events?after={sequence}");
        self.get(&client, &path, max_wait).await
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        client: &Client,
        path: &str,
        max_wait: Duration,
    ) -> Result<T, SendError> {
        let request = client.get(self.connections.url(path));
        let response = async { read_json(request.send().await?.error_for_status()?).await };
        let value = timeout(max_wait, response).await;
        value.map_err(|_| SendError::Timeout(max_wait))?
    }
}

fn retry_after(response: &Response) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

/// Reads the beginning of an error response's body. The size and the time are
/// bounded, so that a slow engine can't delay the retry.
async fn error_body(mut response: Response) -> String {
    let mut body = Vec::new();
    let read = async {
        while let Ok(Some(bytes)) = response.chunk().await {
            body.extend_from_slice(&bytes);
            if body.len() >= MAX_ERROR_BYTES {
                break;
            }
        }
    };
    // After a timeout, the part of the body that has arrived is still returned.
    let _ = timeout(ERROR_BODY_TIMEOUT, read).await;
    body.truncate(MAX_ERROR_BYTES);
    String::from_utf8_lossy(&body).into_owned()
}
