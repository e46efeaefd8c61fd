//! The story of one request, told from a gateway's log.
//!
//! A gateway writes one line when a request ends and one for each send that gave
//! no answer. What else decided its fate, a change of an upstream or a store that
//! gave no answer, stands in lines that don't name it. The story gathers both.

use serde::Deserialize;
use std::fmt;

/// Lines without the request's identifier that are told, latest first, for each
/// thing that they are about.
const CONTEXT_LINES: usize = 3;

/// A line of the log, with the fields that stories are made of.
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

/// What a log says of one request.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    request: String,
    own: Vec<LogLine>,
    context: Vec<LogLine>,
    /// Lines that are no JSON of a gateway.
    skipped: usize,
}

impl RequestHistory {
    /// Gathers what `lines` say of the request with the identifier `request`.
    /// Lines that can't be read are counted.
    pub fn from_log_lines<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Self {
        let mut skipped = 0;
        let mut parsed: Vec<LogLine> = Vec::new();
        for line in lines.filter(|line| !line.trim().is_empty()) {
            // A collector may put the time and the host before the line.
            let json = line.find('{').map_or(line, |start| &line[start..]);
            match serde_json::from_str(json) {
                Ok(line) => parsed.push(line),
                Err(_) => skipped += 1,
            }
        }
        let is_own = |line: &&LogLine| line.request.as_deref() == Some(request);
        let own: Vec<LogLine> = parsed.iter().filter(is_own).cloned().collect();
        let context = match own.last() {
            Some(last) => context_of(&own, &parsed, &last.timestamp),
            None => Vec::new(),
        };
        Self {
            request: request.to_owned(),
            own,
            context,
            skipped,
        }
    }

    /// Returns whether the log names the request at all.
    pub fn is_found(&self) -> bool {
        !self.own.is_empty()
    }
}

/// Returns the lines up to `end` on the upstreams that the request was sent to,
/// on the configuration and on the store.
fn context_of(own: &[LogLine], all: &[LogLine], end: &str) -> Vec<LogLine> {
    let upstreams: Vec<&str> = own
        .iter()
        .filter_map(|line| line.upstream.as_deref())
        .collect();
    let is_before = |line: &&LogLine| line.request.is_none() && line.timestamp.as_str() <= end;
    let is_about = |line: &LogLine| match (&line.upstream, line.message.as_str()) {
        (Some(upstream), _) => upstreams.contains(&upstream.as_str()),
        (None, "configuration in force" | "the store gave no answer") => true,
        (None, "the watch of the upstreams is behind" | "upstreams ordered") => true,
        _ => false,
    };
    let mut told: Vec<LogLine> = Vec::new();
    for line in all
        .iter()
        .rev()
        .filter(is_before)
        .filter(|line| is_about(line))
    {
        let alike = told
            .iter()
            .filter(|other| other.message == line.message && other.upstream == line.upstream);
        if alike.count() < CONTEXT_LINES {
            told.push(line.clone());
        }
    }
    told.reverse();
    told
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.own {
            writeln!(f, "  {line}")?;
        }
        if !self.is_found() {
            writeln!(f, "  no line names it")?;
        }
        if !self.context.is_empty() {
            writeln!(f, "before its end")?;
        }
        for line in &self.context {
            writeln!(f, "  {line}")?;
        }
        if self.skipped > 0 {
            writeln!(f, "{} lines could not be read", self.skipped)?;
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
        let is_told = |(name, value): &(&String, &serde_json::Value)| {
            *name != "level" && !value.is_null() && *value != ""
        };
        for (name, value) in self.fields.iter().filter(is_told) {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
