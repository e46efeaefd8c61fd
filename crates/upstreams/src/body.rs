//! Reads the responses to control calls, whose size is bounded: a faulty engine may send bytes
//! without end.

use crate::SendError;
use reqwest::Response;
use serde::de::DeserializeOwned;

/// Largest body of the response to a control call, in bytes. A list of cache events is the
/// longest one.
const MAX_CONTROL_BYTES: usize = 4 * 1024 * 1024;

/// Reads a whole body and decodes it from JSON.
///
/// # Errors
///
/// Returns [`SendError::ConnectionLost`] if the body is too long, isn't complete or is malformed.
pub(crate) async fn read_json<T: DeserializeOwned>(mut response: Response) -> Result<T, SendError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > MAX_CONTROL_BYTES {
            let detail = format!("the response exceeds {MAX_CONTROL_BYTES} bytes");
            return Err(SendError::ConnectionLost(detail));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).map_err(|error| SendError::ConnectionLost(error.to_string()))
}
