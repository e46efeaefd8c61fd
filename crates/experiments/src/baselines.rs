//! How the baselines and the bound choose roles.

use crate::engine_slot::{EngineSlot, SlotState};
use lagoonlift_policy::{DemandReport, EngineRates, QueuedWork};
use lagoonlift_types::{ModelName, UpstreamRole};
use std::time::Duration;

/// Utilisation at which the bound gets itself another upstream.
const ORACLE_UTILISATION: f64 = 0.92;

/// Time over which the bound wants prompts read that wait in engines.
const BACKLOG_SECONDS: f64 = 5.0;

/// One way to use foresight. No single one is best on every run; the bound is
/// the best of all for each seed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OracleVariant {
    /// How far it looks ahead for roles.
    pub(crate) horizon: Duration,
    /// Share of the work queued at the entry that it wants done in a second.
    pub(crate) queue_per_second: f64,
}

/// All ways that are tried.
pub(crate) const ORACLE_VARIANTS: [OracleVariant; 5] = [
    OracleVariant {
        horizon: Duration::from_secs(5),
        queue_per_second: 0.0,
    },
    OracleVariant {
        horizon: Duration::from_secs(5),
        queue_per_second: 0.1,
    },
    OracleVariant {
        horizon: Duration::from_secs(20),
        queue_per_second: 0.0,
    },
    OracleVariant {
        horizon: Duration::from_secs(20),
        queue_per_second: 0.03,
    },
    OracleVariant {
        horizon: Duration::from_secs(60),
        queue_per_second: 0.0,
    },
];

/// Engines kept busy by each phase.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PhaseDemand {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl PhaseDemand {
    /// Returns what arrived, without what waits.
    pub(crate) fn of(report: &DemandReport) -> Self {
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

/// Returns the engines that the work asks for.
pub(crate) fn engines_needed(demand: PhaseDemand) -> usize {
    ((demand.prefill + demand.decode) / ORACLE_UTILISATION).ceil() as usize
}

/// Returns the number of prefill engines for which the busier role is least
/// busy; at least one engine stays in each role.
fn best_prefill_count(engines: usize, demand: PhaseDemand) -> usize {
    let busier = |prefill: usize| {
        let decode = engines - prefill;
        (demand.prefill / prefill as f64).max(demand.decode / decode as f64)
    };
    let counts = 1..engines.max(2);
    let best = counts.min_by(|a, b| busier(*a).total_cmp(&busier(*b)));
    best.unwrap_or(1)
}

/// Changes roles to the mix as it is, at once.
pub(crate) fn follow(
    engines: &[EngineSlot],
    model: &ModelName,
    demand: PhaseDemand,
) -> Vec<(usize, UpstreamRole)> {
    if demand.prefill + demand.decode <= 0.0 {
        return Vec::new();
    }
    change_towards(engines, model, demand)
}

/// Changes roles to the mix that is coming, with what engines still have to do.
pub(crate) fn oracle(
    engines: &[EngineSlot],
    model: &ModelName,
    mut demand: PhaseDemand,
    queued: QueuedWork,
    variant: OracleVariant,
) -> Vec<(usize, UpstreamRole)> {
    let rates = EngineRates::default();
    let prefill_seconds = queued.prompt_tokens as f64 / rates.prefill_tokens_per_second;
    let decode_seconds = queued.output_tokens as f64 / rates.decode_tokens_per_second;
    demand.prefill += prefill_seconds * variant.queue_per_second;
    demand.decode += decode_seconds * variant.queue_per_second;
    for engine in engines.iter().filter(|engine| !engine.is_gone()) {
        if engine.place.model == *model {
            let backlog = engine.model.load().prefill_backlog_tokens as f64;
            let seconds = backlog / rates.prefill_tokens_per_second;
            demand.prefill += seconds / BACKLOG_SECONDS;
        }
    }
    change_towards(engines, model, demand)
}

fn change_towards(
    engines: &[EngineSlot],
    model: &ModelName,
    demand: PhaseDemand,
) -> Vec<(usize, UpstreamRole)> {
    let in_pool = |slot: &EngineSlot| {
        slot.place.model == *model && !matches!(slot.state, SlotState::Leaving | SlotState::Gone)
    };
    let pool = engines.iter().filter(|slot| in_pool(slot));
    let roles: Vec<UpstreamRole> = pool.map(|slot| slot.next_role).collect();
    if roles.len() < 2 {
        return Vec::new();
    }
    let reads = |role: &&UpstreamRole| **role == UpstreamRole::Prefill;
    let current = roles.iter().filter(reads).count();
    let wanted = best_prefill_count(roles.len(), demand);
    let (from, to) = match wanted > current {
        true => (UpstreamRole::Decode, UpstreamRole::Prefill),
        false => (UpstreamRole::Prefill, UpstreamRole::Decode),
    };
    let movable = |slot: &EngineSlot| {
        in_pool(slot) && slot.state == SlotState::Serving && slot.next_role == from
    };
    let movable = (0..engines.len()).filter(|index| movable(&engines[*index]));
    let mut movable: Vec<usize> = movable.collect();
    movable.sort_by_key(|index| {
        let load = engines[*index].model.load();
        (load.active_streams, load.prefill_backlog_tokens)
    });
    movable.truncate(wanted.abs_diff(current));
    movable.into_iter().map(|index| (index, to)).collect()
}
