//! Outcomes that callers received and usage that was billed, by workspace.

use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Totals of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceTotals {
    sent: u64,
    served: u64,
    refused: u64,
    other: u64,
    billed_requests: u64,
    billed_tokens: u64,
}

/// Outcomes that callers received and usage that was billed, by workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemoLedger {
    workspaces: BTreeMap<String, WorkspaceTotals>,
}

impl DemoLedger {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Counts a request by the value of its response's outcome header.
    pub(crate) fn count(&mut self, workspace: &str, outcome: &str) {
        let totals = self.workspaces.entry(workspace.to_owned()).or_default();
        totals.sent += 1;
        match outcome {
            "answered" => totals.served += 1,
            "not-run" => totals.refused += 1,
            _ => totals.other += 1,
        }
    }

    /// Returns the number of served requests of all workspaces.
    pub(crate) fn served(&self) -> u64 {
        self.workspaces.values().map(|totals| totals.served).sum()
    }

    /// Adds the usage from the reports that the platform received.
    pub(crate) fn add_billed(&mut self, reports: &[Value]) {
        for line in report_lines(reports) {
            let workspace = line["workspace"].as_str().unwrap_or_default();
            let totals = self.workspaces.entry(workspace.to_owned()).or_default();
            totals.billed_requests += integer_field(line, "requests");
            totals.billed_tokens +=
                integer_field(line, "prompt_tokens") + integer_field(line, "output_tokens");
        }
    }
}

/// Returns the number of requests in the usage reports.
pub(crate) fn billed_requests(reports: &[Value]) -> u64 {
    report_lines(reports)
        .map(|line| integer_field(line, "requests"))
        .sum()
}

fn report_lines(reports: &[Value]) -> impl Iterator<Item = &Value> {
    let lines = reports
        .iter()
        .filter_map(|report| report["lines"].as_array());
    lines.flatten()
}

fn integer_field(line: &Value, name: &str) -> u64 {
    line[name].as_u64().unwrap_or_default()
}

impl fmt::Display for DemoLedger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>6} {:>7} {:>8} {:>6} {:>9} {:>7}",
            "workspace", "sent", "served", "refused", "other", "billed", "tokens"
        )?;
        for (workspace, totals) in &self.workspaces {
            writeln!(
                f,
                "{workspace:<12} {:>6} {:>7} {:>8} {:>6} {:>9} {:>7}",
                totals.sent,
                totals.served,
                totals.refused,
                totals.other,
                totals.billed_requests,
                totals.billed_tokens
            )?;
        }
        Ok(())
    }
}
