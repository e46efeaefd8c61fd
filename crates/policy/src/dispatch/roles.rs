//! Which engines only read prompts.
//!
//! An engine that only reads is twice as fast at it as one that also generates.
//! Generating short answers takes little, so few engines are enough for it; what
//! they need is the bandwidth to take over the memory of prompts. An order takes
//! an engine away for seconds, therefore the share is fixed and not moved with
//! each swing of the traffic.

use super::{EngineRole, Upstream, UpstreamPhase, UpstreamTable};
use crate::UpstreamKey;
use std::collections::{BTreeMap, HashMap};

/// Share of the engines that generate.
const DECODE_SHARE: f64 = 0.2;

/// Engines that generate at least, so that the loss of one leaves others.
const LEAST_DECODE: usize = 4;

/// Engines that generate beyond the wanted number and are left alone: the next
/// loss would bring an order back.
const TOLERATED_SURPLUS: usize = 1;

/// A role that an engine should be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine.
    pub upstream: UpstreamKey,
    /// Its new role.
    pub role: EngineRole,
}

/// Decides the roles of one service's engines.
///
/// All hosts come to the same orders from the same list, so those that don't
/// give them can already avoid the engines that are about to change.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolePlanner;

/// An engine as the plan sees it.
struct PlannedEngine<'a> {
    key: UpstreamKey,
    upstream: &'a Upstream,
    role: EngineRole,
}

impl RolePlanner {
    /// Creates the plan.
    pub fn new() -> Self {
        Self
    }

    /// Returns the orders that the engines of `service` need, beside those that
    /// are `open`.
    pub fn orders(
        &self,
        table: &UpstreamTable,
        service: &str,
        open: &[RoleOrder],
    ) -> Vec<RoleOrder> {
        let mut engines = planned_engines(table, service, open);
        let wanted = wanted_decoders(engines.len());
        let mut decoders = count_decoders(&engines);
        let mut orders = Vec::new();
        let role = match decoders {
            count if count > wanted + TOLERATED_SURPLUS => EngineRole::Prefill,
            count if count < wanted => EngineRole::Decode,
            _ => return orders,
        };
        while decoders != wanted {
            let Some(position) = next_engine(&engines, role) else {
                break;
            };
            engines[position].role = role;
            orders.push(RoleOrder {
                upstream: engines[position].key,
                role,
            });
            decoders = count_decoders(&engines);
        }
        // An engine that is being changed back is still away.
        let is_open = |order: &RoleOrder| open.iter().any(|one| one.upstream == order.upstream);
        orders.retain(|order| !is_open(order));
        orders
    }
}

fn planned_engines<'a>(
    table: &'a UpstreamTable,
    service: &str,
    open: &[RoleOrder],
) -> Vec<PlannedEngine<'a>> {
    let ordered: HashMap<UpstreamKey, EngineRole> = open
        .iter()
        .map(|order| (order.upstream, order.role))
        .collect();
    let engines = table.iter().filter(|(_, one)| {
        one.record.service == service
            && one.record.phase == UpstreamPhase::Serving
            && !one.is_unreachable()
    });
    let planned = engines.filter_map(|(key, upstream)| {
        let role = ordered.get(&key).copied().or(upstream.record.role)?;
        Some(PlannedEngine {
            key,
            upstream,
            role,
        })
    });
    planned.collect()
}

fn count_decoders(engines: &[PlannedEngine<'_>]) -> usize {
    let decoders = engines.iter().filter(|one| one.role == EngineRole::Decode);
    decoders.count()
}

fn wanted_decoders(engines: usize) -> usize {
    let share = (engines as f64 * DECODE_SHARE).ceil() as usize;
    share.max(LEAST_DECODE).min(engines.div_ceil(2))
}

/// Returns the engine to give `role` to. Readers are taken from the reclaimable
/// engines first, and from where most generate; generators from those that stay,
/// and to where fewest generate.
fn next_engine(engines: &[PlannedEngine<'_>], role: EngineRole) -> Option<usize> {
    let mut crowds: BTreeMap<&str, usize> = BTreeMap::new();
    for engine in engines.iter().filter(|one| one.role == EngineRole::Decode) {
        let data_centre = engine.upstream.record.data_centre.as_str();
        *crowds.entry(data_centre).or_default() += 1;
    }
    let rank = |engine: &PlannedEngine<'_>| {
        let record = &engine.upstream.record;
        let crowd = crowds.get(record.data_centre.as_str()).copied();
        (record.is_spot, crowd.unwrap_or(0), record.id.clone())
    };
    let candidates = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role != role);
    let chosen = match role {
        EngineRole::Prefill => candidates.max_by_key(|(_, engine)| rank(engine)),
        EngineRole::Decode => candidates.min_by_key(|(_, engine)| rank(engine)),
    };
    chosen.map(|(position, _)| position)
}
