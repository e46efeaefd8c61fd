//! Upstreams that take work, by target, data centre and what they do.
//!
//! A decision looks at a handful of upstreams, never at all of them; the pools
//! are kept up to date when an upstream changes, which is rare.

use crate::{Target, UpstreamFacts, UpstreamKey};
use lagoonlift_types::{DataCentreName, Supply, UpstreamRole};
use std::collections::HashMap;

/// Which part of a request an upstream is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reading the prompt, the KV cache goes elsewhere.
    Prefill,
    /// Generating, with or without reading the prompt first.
    Decode,
}

/// Upstreams of one target in one data centre that take work.
#[derive(Debug, Default)]
pub(crate) struct DataCentrePool {
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

/// Upstreams of one target.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    pub(crate) data_centres: Vec<DataCentrePool>,
    /// Upstreams that take work and can't be reclaimed.
    pub(crate) reserved_count: usize,
    pub(crate) prefill_count: usize,
    pub(crate) decode_count: usize,
}

/// All pools.
#[derive(Debug, Default)]
pub(crate) struct PoolIndex {
    data_centres: Vec<DataCentreName>,
    pools: HashMap<Target, TargetPool>,
}

impl PoolIndex {
    pub(crate) fn get(&self, target: &Target) -> Option<&TargetPool> {
        self.pools.get(target)
    }

    /// Returns the number by which a data centre is known.
    pub(crate) fn index_of(&mut self, name: &DataCentreName) -> usize {
        let known = self.data_centres.iter().position(|other| other == name);
        known.unwrap_or_else(|| {
            self.data_centres.push(name.clone());
            self.data_centres.len() - 1
        })
    }

    pub(crate) fn add(&mut self, key: UpstreamKey, facts: &UpstreamFacts) {
        if !facts.accepts_work {
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
        if !facts.accepts_work {
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
