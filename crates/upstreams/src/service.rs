//! HTTP client of one plain service.

use crate::StreamError;
use crate::connection::{ConnectionUse, UpstreamConnections};
use crate::engine::{ATTEMPT_HEADER, REQUEST_HEADER};
use crate::error::{SendError, format_with_causes};
use crate::upload::{UploadBody, UploadProgress};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode, header};
use lagoonlift_types::RequestId;
use reqwest::{Body, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Headers that aren't forwarded between callers and services, because they apply
/// to a single connection or are set by this system.
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
    // Set by this system. A caller could otherwise forge them.
    REQUEST_HEADER,
    ATTEMPT_HEADER,
];

/// One attempt to send a request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifier of the request, the same for all its attempts.
    pub request: RequestId,
    /// Number of this attempt, starting at 1.
    pub attempt: u32,
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query of the URL, starting with `/`.
    pub path: String,
    /// The caller's headers. Those that must not reach the service, above all
    /// the caller's API key, are removed before sending.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// The connection on which the attempt is sent.
    pub connection: ConnectionUse,
    /// Timeout for the arrival of the response's status and headers.
    pub header_timeout: Duration,
}

/// A service's response, whose body hasn't been read yet.
#[derive(Debug)]
pub struct ServiceResponse {
    response: Response,
    upload: UploadProgress,
}

/// HTTP client of one plain service.
#[derive(Debug)]
pub struct ServiceClient {
    connections: UpstreamConnections,
}

impl ServiceClient {
    /// Creates a client without connecting to the service.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let connections = UpstreamConnections::new(address)?;
        Ok(Self { connections })
    }

    /// Returns the service's connections, for example to evict idle ones.
    pub fn connections(&self) -> &UpstreamConnections {
        &self.connections
    }

    /// Sends a request and waits for the status and headers of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which says whether the service may have run the
    /// request.
    pub async fn send(&self, call: ServiceCall) -> Result<ServiceResponse, SendError> {
        let client = self.connections.client(call.connection);
        let (body, upload) = UploadBody::new(call.body);
        let request = client
            .request(call.method, self.connections.url(&call.path))
            .headers(forwarded_headers(call.headers))
            .header(REQUEST_HEADER, call.request.to_string())
            .header(ATTEMPT_HEADER, call.attempt.to_string())
            .body(Body::wrap(body));
        let response = timeout(call.header_timeout, request.send())
            .await
            .map_err(|_| SendError::Timeout(call.header_timeout))??;
        Ok(ServiceResponse { response, upload })
    }
}

impl ServiceResponse {
    /// Returns the status that the service responded with, of any class.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers that are forwarded to the caller.
    pub fn headers(&self) -> HeaderMap {
        forwarded_headers(self.response.headers().clone())
    }

    /// Waits up to `max_wait` for the next part of the body. Returns `None` at
    /// the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is interrupted or no data arrives in time.
    pub async fn next(&mut self, max_wait: Duration) -> Result<Option<Bytes>, StreamError> {
        let part = timeout(max_wait, self.response.chunk())
            .await
            .map_err(|_| StreamError::Timeout(max_wait))?;
        match part {
            Ok(None) if !self.is_framed() && self.upload.is_unfinished() => {
                let detail = "the connection ended before the request was written";
                Err(StreamError::Interrupted(detail.to_owned()))
            }
            Ok(part) => Ok(part),
            Err(error) => Err(StreamError::Interrupted(format_with_causes(&error))),
        }
    }

    /// Returns whether the response states its end by a length or chunks, or has no body.
    fn is_framed(&self) -> bool {
        let has_chunks = self
            .response
            .headers()
            .contains_key(header::TRANSFER_ENCODING);
        has_chunks || self.response.content_length().is_some()
    }
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    // Headers named in `Connection` also apply to that connection only.
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&DROPPED_HEADERS) {
        headers.remove(name);
    }
    headers
}
