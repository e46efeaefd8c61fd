//! Records a session of requests and responses as text for a snapshot. Request
//! identifiers and times are redacted, since they differ from run to run.

use reqwest::{RequestBuilder, Response};
use serde_json::Value;
use std::fmt::Write;

/// Response headers that belong to the protocol and are therefore recorded.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "lagoonlift-outcome",
    "lagoonlift-request-id",
    "retry-after",
    "www-authenticate",
];
/// Length of a UUID's text, in bytes.
const UUID_LENGTH: usize = 36;

/// Text of the requests and responses of a session.
#[derive(Debug, Default)]
pub(crate) struct SessionTranscript {
    text: String,
}

impl SessionTranscript {
    /// Creates an empty transcript.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Sends a request and records it with its response under a title.
    pub(crate) async fn record(&mut self, title: &str, request: RequestBuilder) {
        let (client, request) = request.build_split();
        let request = request.expect("a valid request");
        self.push_line(&format!("# {title}"));
        self.push_line(&format!("> {} {}", request.method(), request.url().path()));
        let response = client.execute(request).await.expect("a response");
        self.push_line(&format!("< {}", response.status()));
        self.record_headers(&response);
        let body = response.text().await.expect("the complete body");
        self.push_line(body.trim_end());
        self.push_line("");
    }

    /// Records a JSON value under a title.
    pub(crate) fn record_value(&mut self, title: &str, value: &Value) {
        self.push_line(&format!("# {title}"));
        let text = serde_json::to_string_pretty(value).expect("plain values");
        self.push_line(&text);
        self.push_line("");
    }

    /// Returns the transcript with request identifiers and times redacted.
    pub(crate) fn text(&self) -> String {
        redact_times(&redact_uuids(&self.text))
    }

    fn record_headers(&mut self, response: &Response) {
        for name in SHOWN_HEADERS {
            if let Some(value) = response.headers().get(name) {
                let value = value.to_str().expect("plain text").to_owned();
                self.push_line(&format!("< {name}: {value}"));
            }
        }
    }

    fn push_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").expect("writing to a string");
    }
}

fn redact_uuids(text: &str) -> String {
    let mut redacted = String::new();
    let mut rest = text;
    while let Some(next) = rest.chars().next() {
        let head = rest.get(..UUID_LENGTH);
        if head.is_some_and(is_uuid) {
            redacted.push_str("[id]");
            rest = &rest[UUID_LENGTH..];
        } else {
            redacted.push(next);
            rest = &rest[next.len_utf8()..];
        }
    }
    redacted
}

/// Replaces each number after `"created":`.
fn redact_times(text: &str) -> String {
    let mut parts = text.split("\"created\":");
    let mut redacted = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        redacted.push_str("\"created\":[time]");
        redacted.push_str(part.trim_start_matches(|c: char| c.is_ascii_digit() || c == ' '));
    }
    redacted
}

fn is_uuid(text: &str) -> bool {
    text.parse::<lagoonlift::types::RequestId>().is_ok()
}
