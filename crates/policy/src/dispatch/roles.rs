//! Which engines only read prompts.
//!
//! An engine that only reads is twice as fast at it as one that also generates.
//! Generating short answers takes little, so few engines are enough for it. An
//! order takes an engine away for seconds, therefore the share is fixed and not
//! moved with each swing of the traffic.

use super::{EngineRole, Upstream, UpstreamPhase, UpstreamTable};
use crate::UpstreamKey;
use std::collections::BTreeMap;

/// Share of the engines that generate.
const DECODE_SHARE: f64 = 0.2;

/// Engines that generate at least, so that the loss of one leaves another.
const LEAST_DECODE: usize = 3;

/// A role that an engine should be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine.
    pub upstream: UpstreamKey,
    /// Its new role.
    pub role: EngineRole,
}

/// Decides the roles of one service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolePlan;

impl RolePlan {
    /// Creates the plan.
    pub fn new() -> Self {
        Self
    }

    /// Returns the next order for the engines of `service`, if one is needed.
    /// `busy` engines have an order that isn't settled.
    pub fn next_order(
        &self,
        table: &UpstreamTable,
        service: &str,
        busy: &[UpstreamKey],
    ) -> Option<RoleOrder> {
        let engines: Vec<(UpstreamKey, &Upstream)> = table
            .iter()
            .filter(|(_, one)| {
                one.record.service == service
                    && one.record.phase == UpstreamPhase::Serving
                    && one.record.role.is_some()
            })
            .collect();
        let wanted = wanted_decoders(engines.len());
        let decoders: Vec<&(UpstreamKey, &Upstream)> = engines
            .iter()
            .filter(|(_, one)| one.record.role == Some(EngineRole::Decode))
            .collect();
        let (role, candidates): (EngineRole, Vec<&(UpstreamKey, &Upstream)>) = match decoders.len()
        {
            count if count > wanted => (EngineRole::Prefill, decoders),
            count if count < wanted => {
                let readers = engines
                    .iter()
                    .filter(|(_, one)| one.record.role == Some(EngineRole::Prefill));
                (EngineRole::Decode, readers.collect())
            }
            _ => return None,
        };
        let pending = candidates
            .iter()
            .filter(|(key, _)| busy.contains(key))
            .count();
        let missing = wanted.abs_diff(
            engines
                .iter()
                .filter(|(_, one)| one.record.role == Some(EngineRole::Decode))
                .count(),
        );
        if pending >= missing {
            return None;
        }
        let free: Vec<&(UpstreamKey, &Upstream)> = candidates
            .into_iter()
            .filter(|(key, _)| !busy.contains(key))
            .collect();
        let chosen = match role {
            EngineRole::Prefill => next_reader(&engines, &free, busy),
            EngineRole::Decode => next_decoder(&engines, &free),
        };
        chosen.map(|upstream| RoleOrder { upstream, role })
    }
}

fn wanted_decoders(engines: usize) -> usize {
    let share = (engines as f64 * DECODE_SHARE).ceil() as usize;
    share.max(LEAST_DECODE).min(engines.div_ceil(2))
}

/// Returns the decoder to turn into a reader: a reclaimable one, in the data
/// centre that has most decoders.
fn next_reader(
    engines: &[(UpstreamKey, &Upstream)],
    free: &[&(UpstreamKey, &Upstream)],
    busy: &[UpstreamKey],
) -> Option<UpstreamKey> {
    let mut decoders: BTreeMap<&str, usize> = BTreeMap::new();
    for (key, one) in engines {
        if one.record.role == Some(EngineRole::Decode) && !busy.contains(key) {
            *decoders.entry(&one.record.data_centre).or_default() += 1;
        }
    }
    free.iter()
        .max_by_key(|(_, one)| {
            let crowd = decoders.get(one.record.data_centre.as_str()).copied();
            (one.record.is_spot, crowd, &one.record.id)
        })
        .map(|(key, _)| *key)
}

/// Returns the reader to turn into a decoder: one that stays, in the data
/// centre that has fewest decoders.
fn next_decoder(
    engines: &[(UpstreamKey, &Upstream)],
    free: &[&(UpstreamKey, &Upstream)],
) -> Option<UpstreamKey> {
    let decoders_in = |data_centre: &str| {
        engines
            .iter()
            .filter(|(_, one)| {
                one.record.role == Some(EngineRole::Decode) && one.record.data_centre == data_centre
            })
            .count()
    };
    free.iter()
        .min_by_key(|(_, one)| {
            let crowd = decoders_in(&one.record.data_centre);
            (one.record.is_spot, crowd, &one.record.id)
        })
        .map(|(key, _)| *key)
}
