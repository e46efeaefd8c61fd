//! What callers saw and what was billed, side by side.

use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// What became of the requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct LedgerLine {
    sent: u64,
    served: u64,
    refused: u64,
    other: u64,
    billed_requests: u64,
    billed_tokens: u64,
}

/// What callers saw and what was billed, by workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemoLedger {
    lines: BTreeMap<String, LedgerLine>,
}

impl DemoLedger {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Counts a response by its outcome header.
    pub(crate) fn count(&mut self, workspace: &str, outcome: &str) {
        let line = self.lines.entry(workspace.to_owned()).or_default();
        line.sent += 1;
        match outcome {
            "answered" => line.served += 1,
            "not-run" => line.refused += 1,
            _ => line.other += 1,
        }
    }

    /// Returns the number of requests that were served.
    pub(crate) fn served(&self) -> u64 {
        self.lines.values().map(|line| line.served).sum()
    }

    /// Takes in the usage reports that the platform received.
    pub(crate) fn set_billed(&mut self, reports: &[Value]) {
        for line in report_lines(reports) {
            let workspace = line["workspace"].as_str().unwrap_or_default();
            let entry = self.lines.entry(workspace.to_owned()).or_default();
            entry.billed_requests += number(line, "requests");
            entry.billed_tokens += number(line, "prompt_tokens") + number(line, "output_tokens");
        }
    }
}

/// Returns the number of requests in the reports.
pub(crate) fn billed_requests(reports: &[Value]) -> u64 {
    report_lines(reports)
        .map(|line| number(line, "requests"))
        .sum()
}

fn report_lines(reports: &[Value]) -> impl Iterator<Item = &Value> {
    let lines = reports
        .iter()
        .filter_map(|report| report["lines"].as_array());
    lines.flatten()
}

fn number(line: &Value, name: &str) -> u64 {
    line[name].as_u64().unwrap_or_default()
}

impl fmt::Display for DemoLedger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>6} {:>7} {:>8} {:>6} {:>9} {:>7}",
            "workspace", "sent", "served", "refused", "other", "billed", "tokens"
        )?;
        for (workspace, line) in &self.lines {
            writeln!(
                f,
                "{workspace:<12} {:>6} {:>7} {:>8} {:>6} {:>9} {:>7}",
                line.sent,
                line.served,
                line.refused,
                line.other,
                line.billed_requests,
                line.billed_tokens
            )?;
        }
        Ok(())
    }
}
