//! Results as a table for people.

use crate::contender::Contender;
use crate::plan::{ExperimentResult, RunResult};
use std::fmt::Write;

/// Mean and range of a figure over the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Least.
    pub min: f64,
    /// Greatest.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of some figures; all zero without any.
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

/// All seeds of one contender on one profile, each related to the oracle's run
/// of the same seed.
#[derive(Clone, Debug, PartialEq)]
pub struct ContenderSummary {
    /// A run that names deployment, profile and contender.
    pub first: RunResult,
    /// Goodput pieces as a share of the oracle's.
    pub goodput_of_oracle: Spread,
    /// Goodput pieces as a share of what was asked for.
    pub goodput_of_offered: Spread,
    /// Share of the requests answered in time.
    pub in_time: Spread,
    /// Role changes.
    pub role_changes: Spread,
    /// Worst workspace's share of its fair share.
    pub worst_workspace: Spread,
    /// Paid as a share of the oracle's.
    pub paid_of_oracle: Spread,
    /// Pieces answered in time for each 1,000 paid.
    pub pieces_per_paid: Spread,
    /// Share of the goodput that cheap upstreams answered.
    pub cheap_share: Spread,
    /// Urgent or non-repeatable requests cut.
    pub harmed: Spread,
    /// 95th percentile of urgent requests' time to the first token, in ms.
    pub urgent_first_token_p95: Spread,
    /// 95th percentile of the token gap, in ms.
    pub token_gap_p95: Spread,
}

/// Summarises a result by deployment, profile and contender.
pub fn summarise(result: &ExperimentResult) -> Vec<ContenderSummary> {
    let same = |a: &RunResult, b: &RunResult| {
        (a.deployment, a.profile, a.contender) == (b.deployment, b.profile, b.contender)
    };
    let groups = result.runs.chunk_by(same);
    groups.filter_map(|runs| summary(result, runs)).collect()
}

fn summary(result: &ExperimentResult, runs: &[RunResult]) -> Option<ContenderSummary> {
    let oracle_of = |run: &RunResult| {
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
    let of_oracle = |figure: &dyn Fn(&RunResult) -> f64| {
        spread(&|run| oracle_of(run).map_or(0.0, |oracle| figure(run) / figure(oracle).max(1e-9)))
    };
    Some(ContenderSummary {
        first: runs.first()?.clone(),
        goodput_of_oracle: of_oracle(&|run| run.measures.goodput_pieces),
        goodput_of_offered: spread(&|run| {
            run.measures.goodput_pieces / run.measures.offered_pieces.max(1e-9)
        }),
        in_time: spread(&|run| run.measures.in_time as f64 / run.measures.offered as f64),
        role_changes: spread(&|run| run.measures.role_changes as f64),
        worst_workspace: spread(&|run| run.measures.worst_workspace),
        paid_of_oracle: of_oracle(&|run| run.measures.paid),
        pieces_per_paid: spread(&|run| run.measures.goodput_pieces / run.measures.paid * 1_000.0),
        cheap_share: spread(&|run| run.measures.cheap_share),
        harmed: spread(&|run| run.measures.harmed as f64),
        urgent_first_token_p95: spread(&|run| run.measures.urgent_first_token.p95 as f64),
        token_gap_p95: spread(&|run| run.measures.token_gap.p95 as f64),
    })
}

/// Renders a result as a Markdown table: mean, and least to greatest in
/// brackets.
pub fn render_table(result: &ExperimentResult) -> String {
    let mut text = format!("Seeds: {:?}\n", result.plan.seeds);
    let mut section = None;
    for summary in summarise(result) {
        let first = &summary.first;
        if section != Some((first.deployment, first.profile)) {
            section = Some((first.deployment, first.profile));
            let (deployment, profile) = (first.deployment.as_str(), first.profile.as_str());
            // Writing to a string can't fail.
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
    let plain = |spread: Spread| {
        let Spread { mean, min, max } = spread;
        format!("{mean:.0} ({min:.0}-{max:.0})")
    };
    let cells = [
        summary.first.contender.as_str().to_owned(),
        percent(summary.goodput_of_oracle),
        percent(summary.goodput_of_offered),
        percent(summary.in_time),
        plain(summary.role_changes),
        percent(summary.worst_workspace),
        percent(summary.paid_of_oracle),
        plain(summary.pieces_per_paid),
        percent(summary.cheap_share),
        plain(summary.harmed),
        plain(summary.urgent_first_token_p95),
        plain(summary.token_gap_p95),
    ];
    format!("| {} |", cells.join(" | "))
}
