//! Chooses the upstream for a request, or reports that none can serve it in time.
//!
//! Requests to plain services go to the least loaded upstream of the host's own data
//! centre; a share of them may leave it. Prompts are different: an engine that has the
//! prefix blocks of a prompt in its KV cache skips most of the prefill. Prefix
//! affinity therefore sends the prompts of a session to the same engine: rendezvous
//! hashing ranks the engines for each session. All hosts compute the same ranking,
//! so they agree without communication. An engine whose load exceeds the mean by
//! more than a bound is skipped in favour of the next one in the ranking.
//!
//! If prompts arrive faster than all engines together can prefill, queueing only
//! delays every response. A prompt that would have to wait for longer than its
//! latency goal allows is therefore refused at once.

mod decode_room;
mod expected_time;
mod kv_room;
mod leaving;

pub use decode_room::{DecodeChoice, PrefilledRequest};

use self::expected_time::{TimedCandidate, better_of_two};
use super::remote_share::RemoteShares;
use super::shared_hash::shared_hash;
use super::{
    CapacityModel, DecodeTime, EngineRole, FleetView, PeerLoads, PrefillRate, PromptFacts,
    PromptPlan, PromptRefusal, Upstream, VersionDigest,
};
use crate::UpstreamKey;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Thresholds for the choice of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementLimits {
    /// Prompt length in tokens from which on prefill and decode run on different
    /// engines.
    pub disaggregation_threshold_tokens: u32,
    /// Maximum backlog of an engine that is chosen by its rank, as a multiple of the
    /// mean backlog.
    pub max_backlog_ratio: f64,
    /// Backlog in prompt tokens that an engine chosen by its rank may have whatever
    /// the mean is.
    pub min_backlog_bound_tokens: u64,
    /// Fraction of the latency goal that a prefill and the wait for it may take
    /// together.
    pub max_wait_and_prefill_time_share: f64,
    /// Fraction of the latency goal that every prompt may wait for its prefill,
    /// however long the prefill itself takes.
    pub min_wait_time_share: f64,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self {
            disaggregation_threshold_tokens: 1_024,
            max_backlog_ratio: 1.5,
            min_backlog_bound_tokens: 24_000,
            max_wait_and_prefill_time_share: 0.8,
            min_wait_time_share: 0.35,
        }
    }
}

/// Load, in requests in flight per slot, added to an upstream with a failure share
/// of 1. Proportionally less is added for lower failure shares.
const FAILURE_PENALTY: f64 = 12.0;

/// Load, in requests in flight per slot, added to a decode engine in another data
/// centre than the KV cache of the prompt.
const REMOTE_TRANSFER_PENALTY: f64 = 0.2;

/// Number of engines at the top of a session's ranking that are considered first
/// when no engine is healthy and within the bounds.
const TOP_RANKED_ENGINES: usize = 4;

/// Factor by which the prefill backlog of a decode engine is multiplied before it is
/// compared with other backlogs or converted to a waiting time.
///
/// A decode engine prefills at half speed, in small chunks between tokens. The factor
/// is larger than this ratio of the speeds.
const DECODE_BACKLOG_FACTOR: u64 = 3;

/// Largest share of the time left that a prefill may take, so that another engine can
/// still run it afterwards.
const PREFILL_TIME_SHARE: f64 = 0.45;

/// Time until a prefill counts as silent, as a multiple of its expected duration.
const PREFILL_TIME_FACTOR: u32 = 3;

/// Added to [`PREFILL_TIME_FACTOR`] times the expected duration.
const PREFILL_TIME_MARGIN: Duration = Duration::from_millis(400);

/// Failure share from which an engine counts as unhealthy. An unhealthy engine is not
/// chosen by its rank and is never a session's preferred engine.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.5;

/// Chooses upstreams for one host.
#[derive(Clone, Debug)]
pub struct Placement {
    limits: PlacementLimits,
    data_centre: String,
    /// Prefill rate of prefill engines.
    prefill_rate: PrefillRate,
    /// Time that decode engines take to the first event.
    decode_time: DecodeTime,
    /// Speeds of the upstreams.
    capacity: CapacityModel,
    /// Shares of requests that may leave the data centre.
    remote_shares: RefCell<RemoteShares>,
}

/// An engine that could run the prefill of one prompt.
struct PrefillCandidate {
    /// Rendezvous score for the session; the engine with the highest score comes
    /// first in the ranking.
    score: u64,
    key: UpstreamKey,
    version: Option<VersionDigest>,
    /// Prefill backlog of all hosts in tokens, multiplied by the [`backlog_factor`] of the
    /// engine's role, and by its slowness if its speed is known to differ.
    backlog: u64,
    is_healthy: bool,
    /// Whether a decode engine has room for another request.
    has_room: bool,
    /// Prompts of this length that fit into its KV cache.
    kv_places: u32,
}

impl Placement {
    /// Creates the placement for a host in `data_centre`.
    pub fn new(limits: PlacementLimits, data_centre: &str) -> Self {
        Self {
            limits,
            data_centre: data_centre.to_owned(),
            prefill_rate: PrefillRate::new(),
            decode_time: DecodeTime::new(),
            capacity: CapacityModel::new(),
            remote_shares: RefCell::default(),
        }
    }

    /// Returns the model of the upstreams' speeds.
    pub fn capacity(&self) -> &CapacityModel {
        &self.capacity
    }

    /// Returns the model of the upstreams' speeds for modification.
    pub fn capacity_mut(&mut self) -> &mut CapacityModel {
        &mut self.capacity
    }

    /// Records that a prefill on a prefill engine took `latency` while
    /// `queued_tokens` were queued there.
    pub fn record_prefill(&mut self, queued_tokens: u64, latency: Duration) {
        self.prefill_rate.record(queued_tokens, latency);
    }

    /// Returns how long a prefill is awaited before it counts as silent and another engine
    /// is tried beside it. `tokens_to_prefill` is the engine's backlog including the prompt,
    /// and `time_left` the time until the caller's deadline.
    ///
    /// While the prefill rate is unknown, only `time_left` limits the wait. A cold engine
    /// reads a long prompt for hundreds of milliseconds; another prefill meanwhile wastes
    /// one of them, and makes a sound engine appear lost.
    pub fn prefill_limit(&self, tokens_to_prefill: u64, time_left: Duration) -> Duration {
        let longest = time_left.mul_f64(PREFILL_TIME_SHARE);
        match self.prefill_rate.estimate(tokens_to_prefill) {
            Some(expected) => longest.min(PREFILL_TIME_MARGIN + expected * PREFILL_TIME_FACTOR),
            None => longest,
        }
    }

    /// Chooses the upstream for a request to a plain service; `None` if none is
    /// usable.
    pub fn choose_upstream(&self, view: FleetView<'_>) -> Option<UpstreamKey> {
        let candidates = view.usable().filter(|(key, _)| !view.tried.contains(key));
        self.choose_site(view, view.prefer_answering(candidates))
    }

    /// Returns the candidate with the lowest expected time where their measured speeds
    /// differ, and otherwise the one with the lowest load.
    fn lowest_expected(
        &self,
        view: FleetView<'_>,
        candidates: Vec<(UpstreamKey, &Upstream)>,
        load: impl Fn(&Upstream) -> f64,
    ) -> Option<UpstreamKey> {
        let slowness = self.capacity.slowness(view.now, &candidates);
        if slowness.is_empty() {
            return lowest(candidates.into_iter(), load, view.tie_breaker);
        }
        let timed = candidates.into_iter().map(|(key, one)| {
            let slots = f64::from(one.record.slots.max(1));
            let requests = f64::from(one.requests_in_flight(view.peers));
            let penalty = load(one) - requests / slots;
            let slowness = slowness.get(&key).copied().unwrap_or(1.0);
            TimedCandidate {
                key,
                time: ((requests + 1.0) / slots).max(1.0) * slowness + penalty,
                slowness,
            }
        });
        better_of_two(&timed.collect::<Vec<_>>(), view.tie_breaker)
    }

    /// Chooses how and where the prefill of a prompt runs. The response should start
    /// within the shorter of `latency_goal` and `time_left`.
    ///
    /// # Errors
    ///
    /// Returns an error if no engine is available or all are overloaded.
    pub fn plan_prompt(
        &self,
        view: FleetView<'_>,
        prompt: &PromptFacts,
        latency_goal: Duration,
        time_left: Duration,
    ) -> Result<PromptPlan, PromptRefusal> {
        let mut decode_engines = self.ranked_engines(view, prompt, EngineRole::Decode);
        if prompt.prompt_tokens < self.limits.disaggregation_threshold_tokens {
            let (with_room, full): (Vec<_>, Vec<_>) = decode_engines
                .into_iter()
                .partition(|engine| engine.has_room);
            let engines = if with_room.is_empty() {
                full
            } else {
                with_room
            };
            let engine = self.choose_engine(&engines, Duration::MAX);
            return engine.map(PromptPlan::SingleEngine);
        }
        let wait = self.allowed_wait(prompt, latency_goal, time_left);
        let mut prefill_engines = self.ranked_engines(view, prompt, EngineRole::Prefill);
        let has_prefill_engine = !prefill_engines.is_empty();
        let decode_versions = view.decode_versions();
        prefill_engines.retain(|engine| decode_versions.contains(&engine.version));
        kv_room::keep_with_room(view, &mut prefill_engines, prompt)?;
        match prefill_engines.is_empty() {
            _ if has_prefill_engine && decode_versions.is_empty() => Err(PromptRefusal::NoEngine),
            false => {
                let prefill_engine = self.choose_engine(&prefill_engines, wait)?;
                let version_of = |key| view.table.get(key).and_then(|one| one.version);
                let version = version_of(prefill_engine);
                let goal = latency_goal.min(time_left);
                self.check_decode_room(view, version, prompt.kv_tokens(), goal)?;
                let preferred = prefill_engines
                    .iter()
                    .find(|engine| engine.is_healthy && engine.version == version);
                let preferred = preferred.map(|engine| engine.key);
                Ok(PromptPlan::Disaggregated {
                    prefill_engine,
                    copy_blocks_from: preferred.filter(|engine| *engine != prefill_engine),
                })
            }
            true => {
                kv_room::keep_with_room(view, &mut decode_engines, prompt)?;
                let engine = self.choose_engine(&decode_engines, wait);
                engine.map(PromptPlan::SingleEngine)
            }
        }
    }

    /// Chooses the decode engine after a prefill on `prefill_engine`, which wrote the KV
    /// cache for engines of its own version. Engines in the same data centre are preferred, since the KV cache has to be transferred.
    pub fn choose_decode_engine(
        &self,
        view: FleetView<'_>,
        prefill_engine: UpstreamKey,
    ) -> Option<UpstreamKey> {
        let prefill_engine = view.table.get(prefill_engine)?;
        let prefill_data_centre = &prefill_engine.record.data_centre;
        let is_candidate = |(key, upstream): &(UpstreamKey, &Upstream)| {
            upstream.record.role != Some(EngineRole::Prefill)
                && upstream.version == prefill_engine.version
                && !view.tried.contains(key)
        };
        let candidates = view.usable().filter(is_candidate);
        let load = |upstream: &Upstream| {
            let is_same_data_centre = *prefill_data_centre == upstream.record.data_centre;
            let penalty = if is_same_data_centre {
                0.0
            } else {
                REMOTE_TRANSFER_PENALTY
            };
            load_of(upstream, view.peers) + penalty
        };
        let (changing, available): (Vec<_>, Vec<_>) =
            candidates.partition(|(key, _)| view.changing_role.contains(key));
        let choose = |candidates: Vec<(UpstreamKey, &Upstream)>| {
            let candidates = view.prefer_answering(candidates.into_iter());
            self.lowest_expected(view, candidates, load)
        };
        choose(available).or_else(|| choose(changing))
    }

    /// Returns how long a prompt may wait before its prefill starts.
    fn allowed_wait(
        &self,
        prompt: &PromptFacts,
        latency_goal: Duration,
        time_left: Duration,
    ) -> Duration {
        let goal = latency_goal.min(time_left);
        let own = self.prefill_rate.time_for(u64::from(prompt.prompt_tokens));
        let wait = goal
            .mul_f64(self.limits.max_wait_and_prefill_time_share)
            .saturating_sub(own);
        wait.max(goal.mul_f64(self.limits.min_wait_time_share))
    }

    /// Returns the available engines with `role`, in the order of the session's
    /// ranking.
    fn ranked_engines(
        &self,
        view: FleetView<'_>,
        prompt: &PromptFacts,
        role: EngineRole,
    ) -> Vec<PrefillCandidate> {
        let candidates = view
            .usable()
            .filter(|(key, one)| one.record.role == Some(role) && !view.tried.contains(key))
            .filter(|(_, one)| role == EngineRole::Decode || one.can_prefill(view.now));
        let candidates = candidates.filter(|(key, _)| !view.changing_role.contains(key));
        // A prefill can always be repeated.
        let candidates: Vec<_> = match role {
            EngineRole::Prefill => candidates.collect(),
            EngineRole::Decode => view.prefer_answering(candidates),
        };
        let slowness = match role {
            EngineRole::Prefill => self.capacity.slowness(view.now, &candidates),
            EngineRole::Decode => HashMap::new(),
        };
        let mut ranked_engines: Vec<PrefillCandidate> = candidates
            .into_iter()
            .map(|(key, one)| PrefillCandidate {
                score: rendezvous_score(prompt, one),
                key,
                version: one.version,
                backlog: at_speed(
                    one.prefill_backlog(view.peers) * backlog_factor(role),
                    slowness.get(&key),
                ),
                is_healthy: one.failure_share < UNHEALTHY_FAILURE_SHARE,
                has_room: one.free_places(view, false) > 0,
                kv_places: kv_room::kv_places(view, one, prompt.kv_tokens()),
            })
            .collect();
        ranked_engines.sort_unstable_by_key(|engine| std::cmp::Reverse(engine.score));
        ranked_engines
    }

    /// Chooses one of the engines in a session's ranking: the first one that is healthy
    /// and within the bounds, which need not be the session's preferred engine. If there
    /// is none, chooses the least loaded of the top-ranked engines or else of all
    /// engines, provided that its backlog allows the prefill to start within `wait`.
    fn choose_engine(
        &self,
        ranked_engines: &[PrefillCandidate],
        wait: Duration,
    ) -> Result<UpstreamKey, PromptRefusal> {
        let least_loaded = ranked_engines
            .iter()
            .min_by_key(|engine| (!engine.is_healthy, engine.backlog))
            .ok_or(PromptRefusal::NoEngine)?;
        let total: u64 = ranked_engines.iter().map(|engine| engine.backlog).sum();
        let mean = total as f64 / ranked_engines.len() as f64;
        let bound =
            (mean * self.limits.max_backlog_ratio).max(self.limits.min_backlog_bound_tokens as f64);
        let is_within_bounds = |engine: &&PrefillCandidate| {
            engine.is_healthy
                && engine.backlog as f64 <= bound
                && self.prefill_rate.time_for(engine.backlog) <= wait
        };
        let is_in_time =
            |engine: &PrefillCandidate| self.prefill_rate.time_for(engine.backlog) <= wait;
        // The top of the ranking differs between sessions, so hosts that see the same
        // loads do not all choose the same engine.
        let top_ranked = ranked_engines.iter().take(TOP_RANKED_ENGINES);
        let top_ranked = top_ranked.min_by_key(|engine| (!engine.is_healthy, engine.backlog));
        match (ranked_engines.iter().find(is_within_bounds), top_ranked) {
            (Some(within_bounds), _) => Ok(within_bounds.key),
            (None, Some(top_ranked)) if is_in_time(top_ranked) => Ok(top_ranked.key),
            _ if is_in_time(least_loaded) => Ok(least_loaded.key),
            _ => Err(PromptRefusal::Overload(
                self.prefill_rate.time_for(least_loaded.backlog),
            )),
        }
    }
}

/// Returns the tokens that an engine of mean speed prefills in the time of a backlog.
fn at_speed(backlog: u64, slowness: Option<&f64>) -> u64 {
    slowness.map_or(backlog, |slowness| (backlog as f64 * slowness) as u64)
}

/// Returns the factor by which the prefill backlog of an engine in `role` is
/// multiplied.
fn backlog_factor(role: EngineRole) -> u64 {
    match role {
        EngineRole::Prefill => 1,
        EngineRole::Decode => DECODE_BACKLOG_FACTOR,
    }
}

/// Returns the load of an upstream in requests in flight per slot, including the
/// penalty for failures.
fn load_of(upstream: &Upstream, peers: &PeerLoads) -> f64 {
    let slots = f64::from(upstream.record.slots.max(1));
    let in_flight = upstream.requests_in_flight(peers);
    f64::from(in_flight) / slots + FAILURE_PENALTY * upstream.failure_share
}

/// Returns the candidate with the lowest load. `tie_breaker`, from 0 to 1, selects
/// among equals.
fn lowest<'a>(
    candidates: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    load: impl Fn(&Upstream) -> f64,
    tie_breaker: f64,
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
    let position = (tie_breaker * equals.len() as f64) as usize;
    equals.get(position.min(equals.len() - 1)).copied()
}

/// Returns the rendezvous score of an engine for the session of a prompt. A higher
/// score is preferred.
fn rendezvous_score(prompt: &PromptFacts, upstream: &Upstream) -> u64 {
    let session = prompt.session_block().map(|part| part.id);
    shared_hash(&(session, &upstream.record.id))
}
