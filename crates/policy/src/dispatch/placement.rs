//! Which upstream a request goes to, or that none can serve it in time.
//!
//! Requests of plain services go to the least loaded upstream, near ones first.
//! Prompts are different: an engine that has read the shared parts of a prompt
//! before is spared most of the work, so each session has a home among the
//! engines, found by rendezvous hashing. All hosts hash alike and agree without
//! a call. A home that is busier than its peers by more than a bound is passed
//! over for the next in the session's order.
//!
//! When prompts come faster than all engines read, a queue only makes every
//! answer late. A prompt that would have to wait for longer than its latency
//! goal allows is therefore refused at once.

use super::{EngineRole, PeerLoads, PrefillRate, Upstream, UpstreamTable};
use crate::{Timestamp, UpstreamKey};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identifier of its contents.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a caller says of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptFacts {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Parts in order; the last belongs to the request or its session.
    pub blocks: Vec<PrefixBlock>,
}

impl PromptFacts {
    /// Returns the part by which prompts of one session are kept together.
    pub fn session_block(&self) -> Option<PrefixBlock> {
        match self.blocks.as_slice() {
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
    SingleEngine(UpstreamKey),
    /// An engine reads the prompt, and another takes it over and generates.
    Disaggregated {
        /// Engine that reads.
        prefill_engine: UpstreamKey,
        /// Session's home if it is another engine; copying the shared parts from
        /// there takes a fraction of the time for reading them.
        copy_blocks_from: Option<UpstreamKey>,
    },
}

/// Why a prompt has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptRefusal {
    /// No engine is there.
    NoEngine,
    /// Every engine has more to read than the latency goal allows; the least
    /// busy one needs this long for it.
    Busy(Duration),
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The upstreams.
    pub table: &'a UpstreamTable,
    /// What other hosts have in flight.
    pub peers: &'a PeerLoads,
    /// Service that the request goes to.
    pub service: &'a str,
    /// Upstreams that were tried for the request.
    pub tried: &'a [UpstreamKey],
    /// Engines whose role is about to change.
    pub changing_role: &'a [UpstreamKey],
    /// Now.
    pub now: Timestamp,
    /// Breaks ties, 0 to 1.
    pub tie_breaker: f64,
}

/// Weights and bounds of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementLimits {
    /// Prompts from this length on are read ahead, in tokens.
    pub disaggregation_threshold_tokens: u32,
    /// A home may hold this many times the mean load.
    pub max_home_load_ratio: f64,
    /// Prompt tokens that a home may hold whatever the mean is.
    pub min_home_backlog_tokens: u64,
    /// Part of the latency goal that reading and waiting for it may take.
    pub max_prefill_share: f64,
    /// Part of the latency goal that every prompt may wait, however long its own
    /// reading takes.
    pub min_wait_share: f64,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self {
            disaggregation_threshold_tokens: 1_024,
            max_home_load_ratio: 1.5,
            min_home_backlog_tokens: 24_000,
            max_prefill_share: 0.8,
            min_wait_share: 0.35,
        }
    }
}

/// Load that a failing upstream seems to have beside its own, at a failure
/// share of one.
const FAILURE_LOAD: f64 = 12.0;

/// Load that an upstream in another data centre seems to have beside its own.
const DISTANCE_LOAD: f64 = 0.05;

/// Load that an engine in another data centre than the prompt's memory seems to
/// have beside its own.
const MOVE_LOAD: f64 = 0.2;

/// First engines in a session's order that it is divided among when all are
/// busy.
const NEARBY_HOMES: usize = 4;

/// How many times longer an engine that generates takes to read.
const DECODE_SLOWNESS: u64 = 3;

/// Failure share from which an engine is no home.
const HOME_FAILURES: f64 = 0.5;

/// Chooses upstreams for one host.
#[derive(Clone, Debug)]
pub struct Placement {
    limits: PlacementLimits,
    data_centre: String,
    /// Reading rate of engines that only read.
    read_rate: PrefillRate,
}

/// An engine as a home for one prompt.
struct HomeCandidate {
    rank: u64,
    key: UpstreamKey,
    /// Prompt tokens of all hosts that wait there or are being read, as many as
    /// an engine that only reads would read in the same time.
    backlog: u64,
    is_sound: bool,
}

impl Placement {
    /// Creates the placement of a host in `data_centre`.
    pub fn new(limits: PlacementLimits, data_centre: &str) -> Self {
        Self {
            limits,
            data_centre: data_centre.to_owned(),
            read_rate: PrefillRate::new(),
        }
    }

    /// Notes that an engine that only reads read a prompt in `latency` with
    /// `queued_tokens` queued there.
    pub fn record_prefill(&mut self, queued_tokens: u64, latency: Duration) {
        self.read_rate.record(queued_tokens, latency);
    }

    /// Returns how long an engine that only reads takes for `tokens`; zero while
    /// that isn't known.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        self.read_rate.time_for(tokens)
    }

    /// Chooses an upstream of a plain service.
    pub fn choose_upstream(&self, view: FleetView<'_>) -> Option<UpstreamKey> {
        let candidates = view
            .table
            .usable(view.service, view.now)
            .filter(|(key, _)| !view.tried.contains(key));
        let load = |upstream: &Upstream| {
            let is_near = upstream.record.data_centre == self.data_centre;
            let distance = if is_near { 0.0 } else { DISTANCE_LOAD };
            load_of(upstream, view.peers) + distance
        };
        lowest(candidates, load, view.tie_breaker)
    }

    /// Chooses how and where a prompt is read, whose answer should start within
    /// `time_left`.
    ///
    /// # Errors
    ///
    /// Fails when there is no engine or all are too busy.
    pub fn plan_prompt(
        &self,
        view: FleetView<'_>,
        prompt: &PromptFacts,
        latency_goal: Duration,
        time_left: Duration,
    ) -> Result<PromptPlan, PromptRefusal> {
        let decoders = self.homes(view, prompt, EngineRole::Decode);
        if prompt.prompt_tokens < self.limits.disaggregation_threshold_tokens {
            let home = self.choose_home(&decoders, Duration::MAX);
            return home.map(PromptPlan::SingleEngine);
        }
        let wait = self.allowed_wait(prompt, latency_goal, time_left);
        let readers = self.homes(view, prompt, EngineRole::Prefill);
        match readers.is_empty() {
            false => {
                let prefill_engine = self.choose_home(&readers, wait)?;
                let home = readers.iter().find(|home| home.is_sound);
                let home = home.map(|home| home.key);
                Ok(PromptPlan::Disaggregated {
                    prefill_engine,
                    copy_blocks_from: home.filter(|home| *home != prefill_engine),
                })
            }
            true => self
                .choose_home(&decoders, wait)
                .map(PromptPlan::SingleEngine),
        }
    }

    /// Chooses the engine that generates after `reader` has read the prompt,
    /// near the reader first, since its memory has to be moved.
    pub fn choose_decode_engine(
        &self,
        view: FleetView<'_>,
        reader: UpstreamKey,
    ) -> Option<UpstreamKey> {
        let near = view
            .table
            .get(reader)
            .map(|one| one.record.data_centre.as_str());
        let is_candidate = |(key, upstream): &(UpstreamKey, &Upstream)| {
            upstream.record.role != Some(EngineRole::Prefill) && !view.tried.contains(key)
        };
        let candidates = view
            .table
            .usable(view.service, view.now)
            .filter(is_candidate);
        let load = |upstream: &Upstream| {
            let is_near = near == Some(upstream.record.data_centre.as_str());
            let distance = if is_near { 0.0 } else { MOVE_LOAD };
            load_of(upstream, view.peers) + distance
        };
        let (changing, staying): (Vec<_>, Vec<_>) =
            candidates.partition(|(key, _)| view.changing_role.contains(key));
        let choose = |candidates: Vec<(UpstreamKey, &Upstream)>| {
            lowest(candidates.into_iter(), load, view.tie_breaker)
        };
        choose(staying).or_else(|| choose(changing))
    }

    /// Returns how long a prompt may wait before its reading begins.
    fn allowed_wait(
        &self,
        prompt: &PromptFacts,
        latency_goal: Duration,
        time_left: Duration,
    ) -> Duration {
        let goal = latency_goal.min(time_left);
        let own = self.read_rate.time_for(u64::from(prompt.prompt_tokens));
        let wait = goal
            .mul_f64(self.limits.max_prefill_share)
            .saturating_sub(own);
        wait.max(goal.mul_f64(self.limits.min_wait_share))
    }

    fn homes(
        &self,
        view: FleetView<'_>,
        prompt: &PromptFacts,
        role: EngineRole,
    ) -> Vec<HomeCandidate> {
        let candidates = view
            .table
            .usable(view.service, view.now)
            .filter(|(key, one)| one.record.role == Some(role) && !view.tried.contains(key))
            .filter(|(_, one)| role == EngineRole::Decode || one.can_prefill(view.now));
        let mut homes: Vec<HomeCandidate> = candidates
            .filter(|(key, _)| !view.changing_role.contains(key))
            .map(|(key, one)| HomeCandidate {
                rank: rank(prompt, one),
                key,
                backlog: one.prefill_backlog(view.peers) * slowness(role),
                is_sound: one.failure_share < HOME_FAILURES,
            })
            .collect();
        homes.sort_unstable_by_key(|home| std::cmp::Reverse(home.rank));
        homes
    }

    fn choose_home(
        &self,
        homes: &[HomeCandidate],
        wait: Duration,
    ) -> Result<UpstreamKey, PromptRefusal> {
        let least = homes
            .iter()
            .min_by_key(|home| (!home.is_sound, home.backlog))
            .ok_or(PromptRefusal::NoEngine)?;
        let total: u64 = homes.iter().map(|home| home.backlog).sum();
        let mean = total as f64 / homes.len() as f64;
        let bound = (mean * self.limits.max_home_load_ratio)
            .max(self.limits.min_home_backlog_tokens as f64);
        let is_home = |home: &&HomeCandidate| {
            home.is_sound
                && home.backlog as f64 <= bound
                && self.read_rate.time_for(home.backlog) <= wait
        };
        let is_in_time = |home: &HomeCandidate| self.read_rate.time_for(home.backlog) <= wait;
        // Sessions differ in their first homes, so hosts that see the same loads
        // don't all choose the same engine.
        let nearby = homes.iter().take(NEARBY_HOMES);
        let nearby = nearby.min_by_key(|home| (!home.is_sound, home.backlog));
        match (homes.iter().find(is_home), nearby) {
            (Some(home), _) => Ok(home.key),
            (None, Some(nearby)) if is_in_time(nearby) => Ok(nearby.key),
            _ if is_in_time(least) => Ok(least.key),
            _ => Err(PromptRefusal::Busy(self.read_rate.time_for(least.backlog))),
        }
    }
}

/// Returns how many times longer an engine in `role` reads: one that generates
/// too reads at half speed, in small pieces between tokens.
fn slowness(role: EngineRole) -> u64 {
    match role {
        EngineRole::Prefill => 1,
        EngineRole::Decode => DECODE_SLOWNESS,
    }
}

fn load_of(upstream: &Upstream, peers: &PeerLoads) -> f64 {
    let slots = f64::from(upstream.record.slots.max(1));
    let in_flight = upstream.in_flight + peers.in_flight_on(upstream.digest).requests;
    f64::from(in_flight) / slots + FAILURE_LOAD * upstream.failure_share
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
    prompt.session_block().map(|part| part.id).hash(&mut hasher);
    upstream.record.id.hash(&mut hasher);
    hasher.finish()
}
