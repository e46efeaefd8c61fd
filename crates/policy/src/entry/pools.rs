//! Index of upstreams that accept requests, by target, data centre and phase.
//!
//! A placement decision examines only a few upstreams. The pools make that
//! possible and are updated when an upstream changes, which is rare.

use crate::{Target, UpstreamFacts, UpstreamKey};
use lagoonlift_types::{DataCentreName, Supply, UpstreamRole};
use std::collections::HashMap;

/// The phase of a request for which an upstream is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Prefill only. The KV cache is exported to another engine.
    Prefill,
    /// Decode, preceded by prefill unless another engine did it. Requests to
    /// plain services also use this phase.
    Decode,
}

/// Upstreams of one target in one data centre that accept requests.
#[derive(Debug, Default)]
pub(crate) struct DataCentrePool {
    /// Index of the data centre in [`PoolIndex`].
    pub(crate) index: usize,
    pub(crate) prefill: Vec<UpstreamKey>,
    pub(crate) decode: Vec<UpstreamKey>,
}

impl DataCentrePool {
    pub(crate) fn members(&self, phase: Phase) -> &[UpstreamKey] {
        match phase {
            Phase::Prefill => &self.prefill,
            Phase::Decode => &self.decode,
        }
    }
}

/// Upstreams of one target that accept requests, in all data centres.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    pub(crate) data_centres: Vec<DataCentrePool>,
    /// Number of reserved upstreams.
    pub(crate) reserved_count: usize,
    /// Number of prefill engines.
    pub(crate) prefill_count: usize,
    /// Number of decode and mixed engines, or of plain services.
    pub(crate) decode_count: usize,
}

/// The pools of all targets.
#[derive(Debug, Default)]
pub(crate) struct PoolIndex {
    data_centres: Vec<DataCentreName>,
    pools: HashMap<Target, TargetPool>,
}

impl PoolIndex {
    pub(crate) fn get(&self, target: &Target) -> Option<&TargetPool> {
        self.pools.get(target)
    }

    /// Returns the index of a data centre, which is added if it is new.
    pub(crate) fn index_of(&mut self, name: &DataCentreName) -> usize {
        let known = self.data_centres.iter().position(|other| other == name);
        known.unwrap_or_else(|| {
            self.data_centres.push(name.clone());
            self.data_centres.len() - 1
        })
    }

    pub(crate) fn add(&mut self, key: UpstreamKey, facts: &UpstreamFacts) {
        if !facts.accepts_requests {
            return;
        }
        let data_centre_index = self.index_of(&facts.data_centre);
        for target in targets(facts) {
            let pool = self.pools.entry(target).or_default();
            pool.reserved_count += usize::from(facts.supply == Supply::Reserved);
            let data_centre_pool = pool_mut(&mut pool.data_centres, data_centre_index);
            match facts.role {
                Some(UpstreamRole::Prefill) => {
                    data_centre_pool.prefill.push(key);
                    pool.prefill_count += 1;
                }
                Some(UpstreamRole::Decode | UpstreamRole::Mixed) | None => {
                    data_centre_pool.decode.push(key);
                    pool.decode_count += 1;
                }
            }
        }
    }

    pub(crate) fn remove(&mut self, key: UpstreamKey, facts: &UpstreamFacts) {
        if !facts.accepts_requests {
            return;
        }
        let data_centre_index = self.index_of(&facts.data_centre);
        for target in targets(facts) {
            let Some(pool) = self.pools.get_mut(&target) else {
                continue;
            };
            pool.reserved_count -= usize::from(facts.supply == Supply::Reserved);
            let data_centre_pool = pool_mut(&mut pool.data_centres, data_centre_index);
            match facts.role {
                Some(UpstreamRole::Prefill) => {
                    data_centre_pool.prefill.retain(|other| *other != key);
                    pool.prefill_count -= 1;
                }
                Some(UpstreamRole::Decode | UpstreamRole::Mixed) | None => {
                    data_centre_pool.decode.retain(|other| *other != key);
                    pool.decode_count -= 1;
                }
            }
        }
    }
}

fn pool_mut(pools: &mut Vec<DataCentrePool>, index: usize) -> &mut DataCentrePool {
    let position = match pools.iter().position(|pool| pool.index == index) {
        Some(position) => position,
        None => {
            pools.push(DataCentrePool {
                index,
                ..DataCentrePool::default()
            });
            pools.len() - 1
        }
    };
    &mut pools[position]
}

fn targets(facts: &UpstreamFacts) -> Vec<Target> {
    match facts.role {
        None => vec![Target::Service(facts.name.clone())],
        Some(_) => facts.models.iter().cloned().map(Target::Model).collect(),
    }
}
