//! Upstreams that take work, by target, data centre and what they do.
//!
//! A decision looks at a handful of upstreams, never at all of them; the pools
//! are kept up to date when an upstream changes, which is rare.

use crate::{Target, UpstreamFacts, UpstreamKey};
use lagoonlift_types::{DataCentreName, Supply, UpstreamRole};
use std::collections::HashMap;

/// Which part of a request an upstream is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Reading the prompt, the KV cache goes elsewhere.
    Prompt,
    /// Generating, with or without reading the prompt first.
    Answer,
}

/// Upstreams of one target in one data centre that take work.
#[derive(Debug, Default)]
pub(crate) struct SitePool {
    pub(crate) data_centre: usize,
    pub(crate) prompt: Vec<UpstreamKey>,
    pub(crate) answer: Vec<UpstreamKey>,
}

impl SitePool {
    pub(crate) fn members(&self, part: Part) -> &[UpstreamKey] {
        match part {
            Part::Prompt => &self.prompt,
            Part::Answer => &self.answer,
        }
    }
}

/// Upstreams of one target.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    pub(crate) sites: Vec<SitePool>,
    /// Upstreams that take work and can't be reclaimed.
    pub(crate) reserved: usize,
    pub(crate) prompt_members: usize,
    pub(crate) answer_members: usize,
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
    pub(crate) fn data_centre(&mut self, name: &DataCentreName) -> usize {
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
        let data_centre = self.data_centre(&facts.data_centre);
        for target in targets(facts) {
            let pool = self.pools.entry(target).or_default();
            pool.reserved += usize::from(facts.supply == Supply::Reserved);
            let site = site_mut(&mut pool.sites, data_centre);
            match facts.role {
                Some(UpstreamRole::Prefill) => {
                    site.prompt.push(key);
                    pool.prompt_members += 1;
                }
                Some(UpstreamRole::Decode | UpstreamRole::Mixed) | None => {
                    site.answer.push(key);
                    pool.answer_members += 1;
                }
            }
        }
    }

    pub(crate) fn remove(&mut self, key: UpstreamKey, facts: &UpstreamFacts) {
        if !facts.accepts_work {
            return;
        }
        let data_centre = self.data_centre(&facts.data_centre);
        for target in targets(facts) {
            let Some(pool) = self.pools.get_mut(&target) else {
                continue;
            };
            pool.reserved -= usize::from(facts.supply == Supply::Reserved);
            let site = site_mut(&mut pool.sites, data_centre);
            match facts.role {
                Some(UpstreamRole::Prefill) => {
                    site.prompt.retain(|other| *other != key);
                    pool.prompt_members -= 1;
                }
                Some(UpstreamRole::Decode | UpstreamRole::Mixed) | None => {
                    site.answer.retain(|other| *other != key);
                    pool.answer_members -= 1;
                }
            }
        }
    }
}

fn site_mut(sites: &mut Vec<SitePool>, data_centre: usize) -> &mut SitePool {
    let index = match sites
        .iter()
        .position(|site| site.data_centre == data_centre)
    {
        Some(index) => index,
        None => {
            sites.push(SitePool {
                data_centre,
                ..SitePool::default()
            });
            sites.len() - 1
        }
    };
    &mut sites[index]
}

fn targets(facts: &UpstreamFacts) -> Vec<Target> {
    match facts.role {
        None => vec![Target::Service(facts.name.clone())],
        Some(_) => facts.models.iter().cloned().map(Target::Model).collect(),
    }
}
