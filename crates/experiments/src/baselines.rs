//! How the baselines and the bound choose roles.

use crate::engine_slot::{EngineSlot, SlotState};
use lagoonlift_policy::{DemandReport, EngineRates};
use lagoonlift_types::{ModelName, UpstreamRole};

/// Utilisation at which the bound gets itself another upstream.
const ORACLE_UTILISATION: f64 = 0.92;

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
        let seconds = report.span.as_secs_f64();
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
) -> Vec<(usize, UpstreamRole)> {
    /// Time over which work in hand is to be done.
    const CATCH_UP_SECONDS: f64 = 5.0;
    let rates = EngineRates::default();
    for engine in engines.iter().filter(|engine| !engine.is_gone()) {
        if engine.place.model == *model {
            let backlog = engine.model.load().prefill_backlog_tokens as f64;
            demand.prefill += backlog / rates.prefill_tokens_per_second / CATCH_UP_SECONDS;
        }
    }
    change_towards(engines, model, demand)
}

fn change_towards(
    engines: &[EngineSlot],
    model: &ModelName,
    demand: PhaseDemand,
) -> Vec<(usize, UpstreamRole)> {
    let in_pool =
        |slot: &EngineSlot| slot.place.model == *model && slot.state == SlotState::Serving;
    let changing = engines.iter().any(|slot| {
        slot.place.model == *model
            && matches!(slot.state, SlotState::Announced | SlotState::Changing)
    });
    let pool = (0..engines.len()).filter(|index| in_pool(&engines[*index]));
    let pool: Vec<usize> = pool.collect();
    if pool.len() < 2 || changing {
        return Vec::new();
    }
    let role_of = |index: &usize| engines[*index].model.role();
    let current = pool
        .iter()
        .filter(|index| role_of(index) == UpstreamRole::Prefill)
        .count();
    let wanted = best_prefill_count(pool.len(), demand);
    let (from, to) = match wanted > current {
        true => (UpstreamRole::Decode, UpstreamRole::Prefill),
        false => (UpstreamRole::Prefill, UpstreamRole::Decode),
    };
    let mut movable: Vec<usize> = pool
        .into_iter()
        .filter(|index| role_of(index) == from)
        .collect();
    movable.sort_by_key(|index| {
        let load = engines[*index].model.load();
        (load.active_streams, load.prefill_backlog_tokens)
    });
    movable.truncate(wanted.abs_diff(current));
    movable.into_iter().map(|index| (index, to)).collect()
}
