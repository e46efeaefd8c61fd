//! Role assignment of the follow-mix baseline and of the oracle.

use crate::engine_simulation::{EngineLifecycle, SimulatedEngine};
use lagoonlift_policy::{DemandReport, EngineRates, QueuedDemand};
use lagoonlift_types::{ModelName, UpstreamRole};
use std::time::Duration;

/// Utilisation above which the oracle adds an upstream.
const ORACLE_TARGET_UTILISATION: f64 = 0.92;

/// Time in which the oracle plans to prefill the prompts waiting in engines, in
/// seconds.
const BACKLOG_DRAIN_SECONDS: f64 = 5.0;

/// Parameters of the oracle's planning.
///
/// No single variant is best on every run, so the oracle's result for a seed is
/// the best result of all variants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OracleVariant {
    /// Time span of future arrivals for which roles are planned.
    pub(crate) lookahead: Duration,
    /// Share of the work queued at entry hosts to be done in each second.
    pub(crate) queue_share_per_second: f64,
}

/// All variants that the oracle tries.
pub(crate) const ORACLE_VARIANTS: [OracleVariant; 5] = [
    OracleVariant {
        lookahead: Duration::from_secs(5),
        queue_share_per_second: 0.0,
    },
    OracleVariant {
        lookahead: Duration::from_secs(5),
        queue_share_per_second: 0.1,
    },
    OracleVariant {
        lookahead: Duration::from_secs(20),
        queue_share_per_second: 0.0,
    },
    OracleVariant {
        lookahead: Duration::from_secs(20),
        queue_share_per_second: 0.03,
    },
    OracleVariant {
        lookahead: Duration::from_secs(60),
        queue_share_per_second: 0.0,
    },
];

/// Work per second in each phase, as the number of engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PhaseDemand {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl PhaseDemand {
    /// Returns the demand of the requests that arrived in the report's
    /// interval, without queued work.
    pub(crate) fn from_report(report: &DemandReport) -> Self {
        let rates = EngineRates::default();
        let seconds = report.interval.as_secs_f64();
        Self {
            prefill: report.prompt_tokens as f64 / rates.prefill_tokens_per_second / seconds,
            decode: report.output_tokens as f64 / rates.decode_tokens_per_second / seconds,
        }
    }

    pub(crate) fn sum<'a>(demands: impl Iterator<Item = &'a Self>) -> Self {
        demands.fold(Self::default(), |sum, demand| Self {
            prefill: sum.prefill + demand.prefill,
            decode: sum.decode + demand.decode,
        })
    }
}

/// Returns the number of engines that the oracle uses for `demand`.
pub(crate) fn engines_needed(demand: PhaseDemand) -> usize {
    ((demand.prefill + demand.decode) / ORACLE_TARGET_UTILISATION).ceil() as usize
}

/// Returns the number of prefill engines that minimises the utilisation of the
/// busier role. Each role keeps at least one engine.
fn best_prefill_count(engines: usize, demand: PhaseDemand) -> usize {
    let max_utilisation = |prefill: usize| {
        let decode = engines - prefill;
        (demand.prefill / prefill as f64).max(demand.decode / decode as f64)
    };
    let candidate_counts = 1..engines.max(2);
    let best = candidate_counts.min_by(|a, b| max_utilisation(*a).total_cmp(&max_utilisation(*b)));
    best.unwrap_or(1)
}

/// Returns the role changes that fit the engines to the current mix, as pairs of
/// an engine index and its new role.
pub(crate) fn follow_mix_changes(
    engines: &[SimulatedEngine],
    model: &ModelName,
    demand: PhaseDemand,
) -> Vec<(usize, UpstreamRole)> {
    if demand.prefill + demand.decode <= 0.0 {
        return Vec::new();
    }
    changes_towards_split(engines, model, demand)
}

/// Returns the oracle's role changes: they fit the engines to future demand,
/// queued work and the prefill backlog of engines.
pub(crate) fn oracle_changes(
    engines: &[SimulatedEngine],
    model: &ModelName,
    mut demand: PhaseDemand,
    queued: QueuedDemand,
    variant: OracleVariant,
) -> Vec<(usize, UpstreamRole)> {
    let rates = EngineRates::default();
    let prefill_seconds = queued.prompt_tokens as f64 / rates.prefill_tokens_per_second;
    let decode_seconds = queued.output_tokens as f64 / rates.decode_tokens_per_second;
    demand.prefill += prefill_seconds * variant.queue_share_per_second;
    demand.decode += decode_seconds * variant.queue_share_per_second;
    for engine in engines.iter().filter(|engine| !engine.is_removed()) {
        if engine.spec.model == *model {
            let backlog_tokens = engine.model.load().prefill_backlog_tokens as f64;
            let seconds = backlog_tokens / rates.prefill_tokens_per_second;
            demand.prefill += seconds / BACKLOG_DRAIN_SECONDS;
        }
    }
    changes_towards_split(engines, model, demand)
}

/// Returns the changes that lead from the current roles to the best split for
/// `demand`. The least loaded engines change first.
fn changes_towards_split(
    engines: &[SimulatedEngine],
    model: &ModelName,
    demand: PhaseDemand,
) -> Vec<(usize, UpstreamRole)> {
    let is_in_pool = |engine: &SimulatedEngine| {
        engine.spec.model == *model
            && !matches!(
                engine.state,
                EngineLifecycle::Draining | EngineLifecycle::Removed
            )
    };
    let pool = engines.iter().filter(|engine| is_in_pool(engine));
    let roles: Vec<UpstreamRole> = pool.map(|engine| engine.next_role).collect();
    if roles.len() < 2 {
        return Vec::new();
    }
    let is_prefill = |role: &&UpstreamRole| **role == UpstreamRole::Prefill;
    let current_prefill_count = roles.iter().filter(is_prefill).count();
    let target_prefill_count = best_prefill_count(roles.len(), demand);
    let (from, to) = match target_prefill_count > current_prefill_count {
        true => (UpstreamRole::Decode, UpstreamRole::Prefill),
        false => (UpstreamRole::Prefill, UpstreamRole::Decode),
    };
    let is_movable = |engine: &SimulatedEngine| {
        is_in_pool(engine) && engine.state == EngineLifecycle::Serving && engine.next_role == from
    };
    let movable = (0..engines.len()).filter(|index| is_movable(&engines[*index]));
    let mut movable: Vec<usize> = movable.collect();
    movable.sort_by_key(|index| {
        let load = engines[*index].model.load();
        (load.active_streams, load.prefill_backlog_tokens)
    });
    movable.truncate(target_prefill_count.abs_diff(current_prefill_count));
    movable.into_iter().map(|index| (index, to)).collect()
}
