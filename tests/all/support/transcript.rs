//! A whole session as text, with addresses, times and identifiers redacted.

use reqwest::{RequestBuilder, Response};
use serde_json::Value;
use std::fmt::Write;

/// Headers that are part of the protocol and so of the transcript.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "lagoonlift-outcome",
    "lagoonlift-request-id",
    "retry-after",
    "www-authenticate",
];
/// Length of a UUID's text.
const UUID_LENGTH: usize = 36;

/// Records requests and what came back.
#[derive(Debug, Default)]
pub(crate) struct SessionTranscript {
    text: String,
}

impl SessionTranscript {
    /// Creates an empty transcript.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Sends the request and records it with its response.
    pub(crate) async fn record(&mut self, title: &str, request: RequestBuilder) {
        let (client, request) = request.build_split();
        let request = request.expect("a valid request");
        self.line(&format!("# {title}"));
        self.line(&format!("> {} {}", request.method(), request.url().path()));
        let response = client.execute(request).await.expect("a response");
        self.line(&format!("< {}", response.status()));
        self.headers(&response);
        let body = response.text().await.expect("a whole body");
        self.line(body.trim_end());
        self.line("");
    }

    /// Records a value.
    pub(crate) fn note(&mut self, title: &str, value: &Value) {
        self.line(&format!("# {title}"));
        let text = serde_json::to_string_pretty(value).expect("plain values");
        self.line(&text);
        self.line("");
    }

    /// Returns the transcript with identifiers and times redacted.
    pub(crate) fn text(&self) -> String {
        redact_times(&redact_uuids(&self.text))
    }

    fn headers(&mut self, response: &Response) {
        for name in SHOWN_HEADERS {
            if let Some(value) = response.headers().get(name) {
                let value = value.to_str().expect("plain text").to_owned();
                self.line(&format!("< {name}: {value}"));
            }
        }
    }

    fn line(&mut self, line: &str) {
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

/// Replaces the number behind `"created":`.
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
