//! History of one request, extracted from a gateway's log.
//!
//! A gateway writes one log line when a request ends and one for each send that
//! got no response. Other causes of the outcome, such as a change of an upstream
//! or an unavailable store, are in lines that don't carry the request's
//! identifier. A history includes both kinds of lines.
//!
//! A log may have been written by an older build, so the messages matched here must
//! stay as they are even if the gateway's current messages change.

use serde::Deserialize;
use std::fmt;

/// Maximum number of context lines with the same message and upstream. The latest
/// ones are kept.
const MAX_CONTEXT_LINES_PER_SUBJECT: usize = 3;

/// One line of a gateway's log.
#[derive(Clone, Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    #[serde(default)]
    request: Option<String>,
    #[serde(default)]
    upstream: Option<String>,
    #[serde(flatten)]
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Lines of a gateway's log that explain what happened to one request.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    request: String,
    /// Lines with the request's identifier.
    request_lines: Vec<LogLine>,
    /// Related lines without the request's identifier, oldest first.
    context_lines: Vec<LogLine>,
    /// Number of lines that could not be parsed as a gateway's JSON.
    unparsed_lines: usize,
}

impl RequestHistory {
    /// Extracts the history of the request with the identifier `request`.
    ///
    /// `lines` are the lines of the log, oldest first. Lines that cannot be parsed
    /// are skipped and counted.
    pub fn from_log_lines<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Self {
        let mut unparsed_lines = 0;
        let mut parsed: Vec<LogLine> = Vec::new();
        for line in lines.filter(|line| !line.trim().is_empty()) {
            // A log collector may prepend the time and the host to the line.
            let json = line.find('{').map_or(line, |start| &line[start..]);
            match serde_json::from_str(json) {
                Ok(line) => parsed.push(line),
                Err(_) => unparsed_lines += 1,
            }
        }
        let is_request_line = |line: &&LogLine| line.request.as_deref() == Some(request);
        let request_lines: Vec<LogLine> = parsed.iter().filter(is_request_line).cloned().collect();
        let context_lines = match request_lines.last() {
            Some(last) => context_of(&request_lines, &parsed, &last.timestamp),
            None => Vec::new(),
        };
        Self {
            request: request.to_owned(),
            request_lines,
            context_lines,
            unparsed_lines,
        }
    }

    /// Returns whether any line of the log carries the request's identifier.
    pub fn is_found(&self) -> bool {
        !self.request_lines.is_empty()
    }
}

/// Reason of a request that was refused because all upstreams hold off requests. No line
/// of such a request names an upstream.
const HOLD_OFF_REASON: &str = "the upstreams hold off";

/// Returns the lines up to the timestamp `end` about the configuration, the store
/// and the upstreams that the request was sent to or could not be sent to.
fn context_of(request_lines: &[LogLine], all_lines: &[LogLine], end: &str) -> Vec<LogLine> {
    let upstreams: Vec<&str> = request_lines
        .iter()
        .filter_map(|line| line.upstream.as_deref())
        .collect();
    let is_before = |line: &&LogLine| line.request.is_none() && line.timestamp.as_str() <= end;
    let is_held_off = request_lines.iter().any(|line| {
        let reason = line.fields.get("reason").and_then(|reason| reason.as_str());
        reason == Some(HOLD_OFF_REASON)
    });
    let is_relevant = |line: &LogLine| match (&line.upstream, line.message.as_str()) {
        (Some(_), "the upstream holds off requests") if is_held_off => true,
        (Some(upstream), _) => upstreams.contains(&upstream.as_str()),
        (None, "configuration in force" | "the store gave no answer") => true,
        (None, "the watch of the upstreams is behind" | "upstreams ordered") => true,
        (None, "the store was restored from a copy") => true,
        _ => false,
    };
    let mut selected: Vec<LogLine> = Vec::new();
    for line in all_lines
        .iter()
        .rev()
        .filter(is_before)
        .filter(|line| is_relevant(line))
    {
        let similar_lines = selected
            .iter()
            .filter(|other| other.message == line.message && other.upstream == line.upstream);
        if similar_lines.count() < MAX_CONTEXT_LINES_PER_SUBJECT {
            selected.push(line.clone());
        }
    }
    selected.reverse();
    selected
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.request_lines {
            writeln!(f, "  {line}")?;
        }
        if !self.is_found() {
            writeln!(f, "  no line names it")?;
        }
        if !self.context_lines.is_empty() {
            writeln!(f, "before its end")?;
        }
        for line in &self.context_lines {
            writeln!(f, "  {line}")?;
        }
        if self.unparsed_lines > 0 {
            writeln!(f, "{} lines could not be read", self.unparsed_lines)?;
        }
        Ok(())
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.timestamp, self.message)?;
        if let Some(upstream) = &self.upstream {
            write!(f, " upstream={upstream}")?;
        }
        let is_shown = |(name, value): &(&String, &serde_json::Value)| {
            *name != "level" && !value.is_null() && *value != ""
        };
        for (name, value) in self.fields.iter().filter(is_shown) {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
