//! Client of one plain service.

use crate::StreamError;
use crate::connection::{ConnectionUse, UpstreamConnections};
use crate::engine::{ATTEMPT_HEADER, REQUEST_HEADER};
use crate::error::{SendError, error_text};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode, header};
use lagoonlift_types::RequestId;
use reqwest::Response;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Headers that belong to one connection or to the system, not to the service.
const DROPPED_HEADERS: [HeaderName; 13] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    // The system's own; a caller's would pass for them.
    REQUEST_HEADER,
    ATTEMPT_HEADER,
];

/// One call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifies the request.
    pub request: RequestId,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers; those that aren't the service's business are
    /// dropped here, the key above all.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Which connection it may use.
    pub connection: ConnectionUse,
    /// Longest wait for the response's head.
    pub header_timeout: Duration,
}

/// A service's answer, whose body is still to be read.
#[derive(Debug)]
pub struct ServiceResponse {
    response: Response,
}

/// Client of one plain service.
#[derive(Debug)]
pub struct ServiceClient {
    connections: UpstreamConnections,
}

impl ServiceClient {
    /// Creates a client; nothing is connected yet.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let connections = UpstreamConnections::new(address)?;
        Ok(Self { connections })
    }

    /// Returns the connections to the service.
    pub fn connections(&self) -> &UpstreamConnections {
        &self.connections
    }

    /// Sends a call.
    ///
    /// # Errors
    ///
    /// The error says whether the service may have run the call.
    pub async fn send(&self, call: ServiceCall) -> Result<ServiceResponse, SendError> {
        let client = self.connections.client(call.connection);
        let request = client
            .request(call.method, self.connections.url(&call.path))
            .headers(forwarded(call.headers))
            .header(REQUEST_HEADER, call.request.to_string())
            .header(ATTEMPT_HEADER, call.attempt.to_string())
            .body(call.body);
        let response = timeout(call.header_timeout, request.send())
            .await
            .map_err(|_| SendError::Timeout(call.header_timeout))??;
        Ok(ServiceResponse { response })
    }
}

impl ServiceResponse {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers that are the caller's business.
    pub fn headers(&self) -> HeaderMap {
        forwarded(self.response.headers().clone())
    }

    /// Waits for the next part of the body, at most for `limit`; `None` at the
    /// end.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off or the service stays silent.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>, StreamError> {
        let part = timeout(limit, self.response.chunk())
            .await
            .map_err(|_| StreamError::Timeout(limit))?;
        part.map_err(|error| StreamError::Interrupted(error_text(&error)))
    }
}

fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    // Names listed in `Connection` belong to that connection, too.
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&DROPPED_HEADERS) {
        headers.remove(name);
    }
    headers
}
