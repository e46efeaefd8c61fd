//! Summarises results over the seeds and renders them as Markdown tables.

use crate::contender::Contender;
use crate::plan::{ExperimentResult, RunResult};
use std::fmt::Write;

/// Mean and range of a figure over the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Arithmetic mean.
    pub mean: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Returns the mean and range of `figures`, or zeros if it is empty.
    pub fn of(figures: &[f64]) -> Self {
        if figures.is_empty() {
            return Self {
                mean: 0.0,
                min: 0.0,
                max: 0.0,
            };
        }
        Self {
            mean: figures.iter().sum::<f64>() / figures.len() as f64,
            min: figures.iter().copied().fold(f64::INFINITY, f64::min),
            max: figures.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// Summary of one contender on one deployment and profile, over all seeds.
///
/// Figures relative to the oracle compare runs of the same seed; they are 0 if
/// the result has no oracle run.
#[derive(Clone, Debug, PartialEq)]
pub struct ContenderSummary {
    /// The first of the summarised runs, for its deployment, profile and
    /// contender.
    pub first_run: RunResult,
    /// Goodput in pieces, as a share of the oracle's.
    pub goodput_vs_oracle: Spread,
    /// Goodput in pieces, as a share of the offered pieces.
    pub goodput_vs_offered: Spread,
    /// Share of the requests completed by their deadline.
    pub in_time: Spread,
    /// Number of engine role changes.
    pub role_changes: Spread,
    /// Work completed in time for the worst-served workspace, as a share of its
    /// fair share.
    pub worst_workspace: Spread,
    /// Cost of all upstreams, as a share of the oracle's.
    pub paid_vs_oracle: Spread,
    /// Goodput in pieces per 1,000 units of cost.
    pub pieces_per_cost: Spread,
    /// Share of the goodput that reclaimable upstreams completed.
    pub cheap_share: Spread,
    /// Urgent or non-idempotent requests interrupted when a reclaimable upstream
    /// disappeared.
    pub harmed: Spread,
    /// 95th percentile of the time to the first token of urgent requests, in
    /// milliseconds.
    pub urgent_first_token_p95: Spread,
    /// 95th percentile of the mean time between the tokens of a response, in
    /// milliseconds.
    pub token_gap_p95: Spread,
}

/// Returns one summary for each deployment, profile and contender of a result.
pub fn summarise(result: &ExperimentResult) -> Vec<ContenderSummary> {
    let is_same_group = |a: &RunResult, b: &RunResult| {
        (a.deployment, a.profile, a.contender) == (b.deployment, b.profile, b.contender)
    };
    let groups = result.runs.chunk_by(is_same_group);
    groups.filter_map(|runs| summary(result, runs)).collect()
}

fn summary(result: &ExperimentResult, runs: &[RunResult]) -> Option<ContenderSummary> {
    let oracle_run = |run: &RunResult| {
        result.runs.iter().find(|other| {
            other.contender == Contender::Oracle
                && (other.deployment, other.profile, other.seed)
                    == (run.deployment, run.profile, run.seed)
        })
    };
    let spread = |figure: &dyn Fn(&RunResult) -> f64| {
        let figures: Vec<f64> = runs.iter().map(figure).collect();
        Spread::of(&figures)
    };
    let spread_vs_oracle = |figure: &dyn Fn(&RunResult) -> f64| {
        spread(&|run| oracle_run(run).map_or(0.0, |oracle| figure(run) / figure(oracle).max(1e-9)))
    };
    Some(ContenderSummary {
        first_run: runs.first()?.clone(),
        goodput_vs_oracle: spread_vs_oracle(&|run| run.measures.goodput_pieces),
        goodput_vs_offered: spread(&|run| {
            run.measures.goodput_pieces / run.measures.offered_pieces.max(1e-9)
        }),
        in_time: spread(&|run| run.measures.in_time as f64 / run.measures.offered as f64),
        role_changes: spread(&|run| run.measures.role_changes as f64),
        worst_workspace: spread(&|run| run.measures.worst_workspace),
        paid_vs_oracle: spread_vs_oracle(&|run| run.measures.paid),
        pieces_per_cost: spread(&|run| run.measures.goodput_pieces / run.measures.paid * 1_000.0),
        cheap_share: spread(&|run| run.measures.cheap_share),
        harmed: spread(&|run| run.measures.harmed as f64),
        urgent_first_token_p95: spread(&|run| run.measures.urgent_first_token.p95 as f64),
        token_gap_p95: spread(&|run| run.measures.token_gap.p95 as f64),
    })
}

/// Renders a result as Markdown tables, one for each deployment and profile. A
/// cell shows the mean over the seeds, and the range in brackets.
pub fn render_table(result: &ExperimentResult) -> String {
    let mut text = format!("Seeds: {:?}\n", result.plan.seeds);
    let mut section = None;
    for summary in summarise(result) {
        let first_run = &summary.first_run;
        if section != Some((first_run.deployment, first_run.profile)) {
            section = Some((first_run.deployment, first_run.profile));
            let (deployment, profile) = (first_run.deployment.as_str(), first_run.profile.as_str());
            // Writing to a `String` can't fail.
            let _ = write!(text, "\n### {deployment}, {profile}\n\n{HEADER}");
        }
        let _ = writeln!(text, "{}", row(&summary));
    }
    text
}

const HEADER: &str = "| contender | goodput, % of oracle | goodput, % of offered | in time, % | role changes | worst workspace, % of fair share | paid, % of oracle | pieces per 1,000 paid | cheap share, % | harmed | urgent first token p95, ms | token gap p95, ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n";

fn row(summary: &ContenderSummary) -> String {
    let percent = |spread: Spread| {
        format!(
            "{:.1} ({:.1}-{:.1})",
            spread.mean * 100.0,
            spread.min * 100.0,
            spread.max * 100.0
        )
    };
    let rounded = |spread: Spread| {
        let Spread { mean, min, max } = spread;
        format!("{mean:.0} ({min:.0}-{max:.0})")
    };
    let cells = [
        summary.first_run.contender.as_str().to_owned(),
        percent(summary.goodput_vs_oracle),
        percent(summary.goodput_vs_offered),
        percent(summary.in_time),
        rounded(summary.role_changes),
        percent(summary.worst_workspace),
        percent(summary.paid_vs_oracle),
        rounded(summary.pieces_per_cost),
        percent(summary.cheap_share),
        rounded(summary.harmed),
        rounded(summary.urgent_first_token_p95),
        rounded(summary.token_gap_p95),
    ];
    format!("| {} |", cells.join(" | "))
}
