//! Which upstream a request goes to.
//!
//! Requests of plain services go to the least loaded upstream, near ones first.
//! Prompts are different: an engine that has read the shared parts of a prompt
//! before is spared most of the work, so each session has a home among the
//! engines, found by rendezvous hashing. All hosts hash alike and agree without
//! a call. A home that is busier than its peers by more than a bound is passed
//! over for the next in the session's order.

use super::{EngineRole, Upstream, UpstreamTable};
use crate::{Timestamp, UpstreamKey};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of its contents.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a caller says of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptFacts {
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens of the answer.
    pub tokens_out: u32,
    /// Parts in order; the last belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptFacts {
    /// Returns the part by which prompts of one session are kept together.
    pub fn session(&self) -> Option<PromptPart> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., session, _] => Some(*session),
        }
    }
}

/// How a prompt is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptPlan {
    /// One engine reads the prompt and generates.
    Whole(UpstreamKey),
    /// An engine reads the prompt, and another takes it over and generates.
    ReadAhead(UpstreamKey),
}

/// Weights and bounds of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementLimits {
    /// Prompts from this length on are read ahead, in tokens.
    pub read_ahead_tokens: u32,
    /// A home may hold this many times the mean load.
    pub home_load: f64,
    /// Prompt tokens that a home may hold whatever the mean is.
    pub home_tokens: u64,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self {
            read_ahead_tokens: 1_024,
            home_load: 1.5,
            home_tokens: 12_000,
        }
    }
}

/// Load that a failing upstream seems to have beside its own, at a failure
/// share of one.
const FAILURE_LOAD: f64 = 12.0;

/// Load that an upstream in another data centre seems to have beside its own.
const DISTANCE_LOAD: f64 = 0.05;

/// Chooses upstreams for one host.
#[derive(Clone, Debug)]
pub struct Placement {
    limits: PlacementLimits,
    data_centre: String,
}

impl Placement {
    /// Creates the placement of a host in `data_centre`.
    pub fn new(limits: PlacementLimits, data_centre: &str) -> Self {
        Self {
            limits,
            data_centre: data_centre.to_owned(),
        }
    }

    /// Chooses an upstream of a plain service. `tie` from 0 to 1 breaks ties.
    pub fn plain(
        &self,
        table: &UpstreamTable,
        service: &str,
        tried: &[UpstreamKey],
        now: Timestamp,
        tie: f64,
    ) -> Option<UpstreamKey> {
        let candidates = table
            .usable(service, now)
            .filter(|(key, _)| !tried.contains(key));
        self.least_loaded(candidates, tie)
    }

    /// Chooses how and where a prompt is read.
    pub fn prompt(
        &self,
        table: &UpstreamTable,
        service: &str,
        prompt: &PromptFacts,
        tried: &[UpstreamKey],
        now: Timestamp,
    ) -> Option<PromptPlan> {
        let is_long = prompt.tokens_in >= self.limits.read_ahead_tokens;
        let reader = match is_long {
            true => self.home(table, service, prompt, EngineRole::Prefill, tried, now),
            false => None,
        };
        match reader {
            Some(reader) => Some(PromptPlan::ReadAhead(reader)),
            None => {
                let decoder = self.home(table, service, prompt, EngineRole::Decode, tried, now);
                decoder.map(PromptPlan::Whole)
            }
        }
    }

    /// Chooses the engine that generates after `reader` has read the prompt,
    /// near the reader first, since its memory has to be moved.
    pub fn generator(
        &self,
        table: &UpstreamTable,
        service: &str,
        reader: UpstreamKey,
        tried: &[UpstreamKey],
        now: Timestamp,
        tie: f64,
    ) -> Option<UpstreamKey> {
        let near = table.get(reader).map(|one| one.record.data_centre.as_str());
        let is_candidate = |(key, upstream): &(UpstreamKey, &Upstream)| {
            upstream.record.role != Some(EngineRole::Prefill) && !tried.contains(key)
        };
        let candidates = table.usable(service, now).filter(is_candidate);
        let load = |upstream: &Upstream| {
            let is_near = near == Some(upstream.record.data_centre.as_str());
            let distance = if is_near { 0.0 } else { 1.0 };
            load_of(upstream) + distance
        };
        lowest(candidates, load, tie)
    }

    fn home(
        &self,
        table: &UpstreamTable,
        service: &str,
        prompt: &PromptFacts,
        role: EngineRole,
        tried: &[UpstreamKey],
        now: Timestamp,
    ) -> Option<UpstreamKey> {
        let mut engines: Vec<(u64, UpstreamKey, &Upstream)> = table
            .usable(service, now)
            .filter(|(key, upstream)| upstream.record.role == Some(role) && !tried.contains(key))
            .map(|(key, upstream)| (rank(prompt, upstream), key, upstream))
            .collect();
        if engines.is_empty() {
            return None;
        }
        engines.sort_unstable_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
        let total: u64 = engines.iter().map(|(.., one)| one.reading_tokens).sum();
        let mean = total as f64 / engines.len() as f64;
        let bound = (mean * self.limits.home_load).max(self.limits.home_tokens as f64);
        let within = engines
            .iter()
            .find(|(.., one)| one.reading_tokens as f64 <= bound && one.failure_share < 0.5);
        let least = || engines.iter().min_by_key(|(.., one)| one.reading_tokens);
        within.or_else(least).map(|(_, key, _)| *key)
    }

    fn least_loaded<'a>(
        &self,
        candidates: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
        tie: f64,
    ) -> Option<UpstreamKey> {
        let load = |upstream: &Upstream| {
            let is_near = upstream.record.data_centre == self.data_centre;
            let distance = if is_near { 0.0 } else { DISTANCE_LOAD };
            load_of(upstream) + distance
        };
        lowest(candidates, load, tie)
    }
}

fn load_of(upstream: &Upstream) -> f64 {
    let slots = f64::from(upstream.record.slots.max(1));
    let busy = f64::from(upstream.in_flight) / slots;
    busy + FAILURE_LOAD * upstream.failure_share
}

/// Returns the candidate with the lowest load; `tie` picks among equals.
fn lowest<'a>(
    candidates: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    load: impl Fn(&Upstream) -> f64,
    tie: f64,
) -> Option<UpstreamKey> {
    let loads: Vec<(f64, UpstreamKey)> = candidates
        .map(|(key, upstream)| (load(upstream), key))
        .collect();
    let least = loads.iter().map(|(load, _)| *load).min_by(f64::total_cmp)?;
    let equals: Vec<UpstreamKey> = loads
        .iter()
        .filter(|(load, _)| *load <= least + f64::EPSILON)
        .map(|(_, key)| *key)
        .collect();
    let position = (tie * equals.len() as f64) as usize;
    equals.get(position.min(equals.len() - 1)).copied()
}

/// Rendezvous rank of an engine for a prompt's session.
fn rank(prompt: &PromptFacts, upstream: &Upstream) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.session().map(|part| part.id).hash(&mut hasher);
    upstream.record.id.hash(&mut hasher);
    hasher.finish()
}
