//! Decides which engines are prefill engines and which are decode engines.
//!
//! A prefill engine processes prompts twice as fast as a decode engine. (When placement
//! compares backlogs, it weights that of a decode engine with a larger factor, 3.)
//! Decoding short responses takes little compute, so a few decode engines are enough;
//! they are limited by the bandwidth for receiving KV caches. A role change makes an
//! engine unavailable for seconds, so the number of decode engines is a fixed share. It is
//! higher only where the lease holder has announced that the work calls for more.

use super::{DecodeWork, EngineRole, Upstream, UpstreamPhase, UpstreamTable, VersionDigest};
use crate::UpstreamKey;
use std::collections::{BTreeMap, HashMap};

/// Wanted share of decode engines, unless the work calls for more.
const DECODE_ENGINE_SHARE: f64 = 0.2;

/// Minimum number of decode engines, so that others remain when one is lost.
const MIN_DECODE_ENGINES: u32 = 3;

/// Hysteresis threshold: decode engines are changed to prefill engines only if more
/// than this many exceed the wanted number, and then all that exceed it are changed.
/// Up to that many extra engines are left as they are, since the next loss would
/// require the opposite change.
const MAX_EXTRA_DECODE_ENGINES: usize = 1;

/// An order to change the role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// Engine to change.
    pub upstream: UpstreamKey,
    /// New role of the engine.
    pub role: EngineRole,
}

/// Plans the roles of the engines of a service.
///
/// All hosts derive the same orders from the same list of upstreams and the announced
/// number of decode engines, so a host that does not send the orders can still avoid the
/// engines that are about to change their role.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolePlanner {
    work: DecodeWork,
}

/// An engine with the role that it has or will have after open orders.
#[derive(Clone)]
pub(super) struct PlannedEngine<'a> {
    pub(super) key: UpstreamKey,
    pub(super) upstream: &'a Upstream,
    pub(super) role: EngineRole,
}

impl RolePlanner {
    /// Creates a planner for the minimum number of decode engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a planner for the number of decode engines that the work calls for.
    pub fn with_work(work: DecodeWork) -> Self {
        Self { work }
    }

    /// Returns the orders needed for the engines of `service` in addition to the
    /// `open` ones, which are not complete yet.
    pub fn orders(
        &self,
        table: &UpstreamTable,
        service: &str,
        open: &[RoleOrder],
    ) -> Vec<RoleOrder> {
        let engines = planned_engines(table, service, open);
        let mut orders = Vec::new();
        for version in versions_of(&engines) {
            let is_of_version = |engine: &&PlannedEngine<'_>| engine.upstream.version == version;
            let mut pool: Vec<_> = engines.iter().filter(is_of_version).cloned().collect();
            let wanted = self.wanted_decode_engines(&pool, engines.len());
            plan_pool(&mut pool, wanted, &mut orders);
        }
        // An engine with an open order is unavailable and is not changed back yet.
        let is_open = |order: &RoleOrder| open.iter().any(|one| one.upstream == order.upstream);
        orders.retain(|order| !is_open(order));
        orders
    }

    /// Returns the wanted number of decode engines of `pool`, the engines of one version.
    /// `total` is the number of engines of all versions, over which an announced number is
    /// divided.
    fn wanted_decode_engines(&self, pool: &[PlannedEngine<'_>], total: usize) -> usize {
        let by_work = match self.work {
            DecodeWork::Unknown => 0,
            DecodeWork::Announced(engines) => (engines as usize * pool.len()).div_ceil(total),
            DecodeWork::Outdated => count_decode_engines(pool),
        };
        let least = min_decode_engines(pool.len() as u32) as usize;
        by_work.max(least).min(pool.len().div_ceil(2))
    }
}

/// Returns the versions of the engines in the order in which they appear.
fn versions_of(engines: &[PlannedEngine<'_>]) -> Vec<Option<VersionDigest>> {
    let mut versions = Vec::new();
    for engine in engines {
        if !versions.contains(&engine.upstream.version) {
            versions.push(engine.upstream.version);
        }
    }
    versions
}

/// Adds the orders for the engines of one software version. KV caches of other versions
/// don't fit, so each version needs decode engines of its own.
fn plan_pool(engines: &mut [PlannedEngine<'_>], wanted: usize, orders: &mut Vec<RoleOrder>) {
    let mut decode_engines = count_decode_engines(engines);
    let role = match decode_engines {
        count if count > wanted + MAX_EXTRA_DECODE_ENGINES => EngineRole::Prefill,
        count if count < wanted => EngineRole::Decode,
        _ => return,
    };
    while decode_engines != wanted {
        let Some(position) = next_engine(engines, role) else {
            break;
        };
        engines[position].role = role;
        orders.push(RoleOrder {
            upstream: engines[position].key,
            role,
        });
        decode_engines = count_decode_engines(engines);
    }
}

/// Returns the engines of `service` that serve, with their roles after `open` orders.
pub(super) fn planned_engines<'a>(
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
            && !one.has_repeated_failures()
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

fn count_decode_engines(engines: &[PlannedEngine<'_>]) -> usize {
    let decode_engines = engines.iter().filter(|one| one.role == EngineRole::Decode);
    decode_engines.count()
}

/// Returns the number of decode engines of a fleet whose work calls for no more.
pub(super) fn min_decode_engines(engines: u32) -> u32 {
    let share = (f64::from(engines) * DECODE_ENGINE_SHARE).ceil() as u32;
    share.max(MIN_DECODE_ENGINES).min(engines.div_ceil(2))
}

/// Returns the index of the engine to change to `role`. New prefill engines are
/// preferably reclaimable ones in the data centre with the most decode engines.
/// New decode engines are preferably standard ones in the data centre with the
/// fewest decode engines.
fn next_engine(engines: &[PlannedEngine<'_>], role: EngineRole) -> Option<usize> {
    let mut decode_engines_by_data_centre: BTreeMap<&str, usize> = BTreeMap::new();
    for engine in engines.iter().filter(|one| one.role == EngineRole::Decode) {
        let data_centre = engine.upstream.record.data_centre.as_str();
        *decode_engines_by_data_centre
            .entry(data_centre)
            .or_default() += 1;
    }
    let sort_key = |engine: &PlannedEngine<'_>| {
        let record = &engine.upstream.record;
        let decode_engines = decode_engines_by_data_centre
            .get(record.data_centre.as_str())
            .copied();
        (
            record.is_spot,
            decode_engines.unwrap_or(0),
            record.id.clone(),
        )
    };
    let candidates = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role != role);
    let chosen = match role {
        EngineRole::Prefill => candidates.max_by_key(|(_, engine)| sort_key(engine)),
        EngineRole::Decode => candidates.min_by_key(|(_, engine)| sort_key(engine)),
    };
    chosen.map(|(position, _)| position)
}
