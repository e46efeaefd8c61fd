//! Client of one model engine.

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

/// To upstreams: identifies the request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// To upstreams: number of the attempt, from 1.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-attempt");

/// To engines: priority in their own queue; lower goes first.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// Longest part of an error's body that is kept, in bytes.
const MAX_ERROR_BYTES: usize = 512;

/// Longest wait for an error's body.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// One call of an engine.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Identifies the request.
    pub request: RequestId,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Priority in the engine's own queue; lower goes first.
    pub priority: u8,
    /// The JSON text.
    pub body: Bytes,
    /// Which connection it may use.
    pub connection: ConnectionUse,
    /// Longest wait for the response's head.
    pub header_timeout: Duration,
}

/// Client of one model engine.
#[derive(Debug)]
pub struct EngineClient {
    connections: UpstreamConnections,
}

impl EngineClient {
    /// Creates a client; nothing is connected yet.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let connections = UpstreamConnections::new(address)?;
        Ok(Self { connections })
    }

    /// Returns the connections to the engine.
    pub fn connections(&self) -> &UpstreamConnections {
        &self.connections
    }

    /// Sends a call whose answer is a stream.
    ///
    /// # Errors
    ///
    /// The error says whether the engine may have run the call.
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

    /// Asks the engine to stop running a request and to free its slot.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be asked within `limit`.
    pub async fn cancel(&self, request: RequestId, limit: Duration) -> Result<(), SendError> {
        let url = self.connections.url(&format!("/v1/requests/{request}"));
        let client = self.connections.client(ConnectionUse::Pooled);
        let sent = timeout(limit, client.delete(url).send()).await;
        sent.map_err(|_| SendError::Timeout(limit))??;
        Ok(())
    }

    /// Asks the engine for its load; also serves as a ping of pooled
    /// connections.
    ///
    /// # Errors
    ///
    /// Fails when the engine doesn't answer within `limit`.
    pub async fn load(
        &self,
        connection: ConnectionUse,
        limit: Duration,
    ) -> Result<EngineLoad, SendError> {
        let client = self.connections.client(connection);
        self.get(&client, "/load", limit).await
    }

    /// Asks the engine for announcements of its prefix cache after `sequence`.
    ///
    /// # Errors
    ///
    /// Fails when the engine doesn't answer within `limit`.
    pub async fn cache_events(
        &self,
        sequence: u64,
        limit: Duration,
    ) -> Result<CacheEvents, SendError> {
        let client = self.connections.client(ConnectionUse::Pooled);
        let path = format!("/cache-events?after={sequence}");
        self.get(&client, &path, limit).await
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        client: &Client,
        path: &str,
        limit: Duration,
    ) -> Result<T, SendError> {
        let request = client.get(self.connections.url(path));
        let answer = async { request.send().await?.error_for_status()?.json().await };
        let value = timeout(limit, answer)
            .await
            .map_err(|_| SendError::Timeout(limit))??;
        Ok(value)
    }
}

fn retry_after(response: &Response) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

/// Reads the beginning of an error's body; an engine may not hold us here.
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
    // What came until the timeout is still worth showing.
    let _ = timeout(ERROR_BODY_TIMEOUT, read).await;
    body.truncate(MAX_ERROR_BYTES);
    String::from_utf8_lossy(&body).into_owned()
}
