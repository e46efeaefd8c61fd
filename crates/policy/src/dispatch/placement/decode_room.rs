//! Chooses the decode engine that continues from a KV cache, as far as one has room.
//!
//! A decode engine runs as many requests as it has slots, queues some and refuses the rest.
//! A refused send is wasted, and the KV cache of the prefill with it. While the engines are
//! full, the request therefore waits at its host and keeps its KV cache.
//!
//! Hosts know of each other's sends only after some tens of milliseconds. If all waiting
//! requests were sent as soon as an engine seems to have room, the engine would refuse most
//! of them. Each is therefore sent with the probability that the free places suffice for
//! all that wait.

use super::kv_room::kv_places;
use super::{FleetView, Placement, PromptRefusal, REMOTE_TRANSFER_PENALTY, load_of};
use crate::UpstreamKey;
use crate::dispatch::{EngineRole, Upstream, VersionDigest};
use std::ops::Range;
use std::time::Duration;

/// The decode engine for a request whose prompt has been prefilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeChoice {
    /// This engine has room.
    Engine(UpstreamKey),
    /// No engine has room for this request now.
    Full,
    /// No engine can continue from the KV cache.
    NoEngine,
}

/// A request whose prompt has been prefilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefilledRequest {
    /// Engine that ran the prefill and holds the KV cache.
    pub prefill_engine: UpstreamKey,
    /// Time since the prefill.
    pub waited: Duration,
    /// Tokens that the prompt and its response take in a KV cache.
    pub kv_tokens: u64,
    /// Whether an engine has refused the request before. It is sent then only to an engine
    /// with a free slot, since another refusal would cost one more retry.
    pub is_retry: bool,
}

/// Mean time that the waiting requests have waited, as a share of the whole wait.
const MEAN_AGE: f64 = 0.5;

/// Waits, as shares of the longest one, from which on some and all prompts are refused.
const REFUSED_WAITS: Range<f64> = 0.8..1.0;

/// Places of the decode engines that can continue from one KV cache.
struct DecodeRoom {
    has_engines: bool,
    /// Slots of all engines.
    slots: u32,
    /// Requests of all hosts in flight on the engines.
    in_flight: u32,
    /// Requests of all hosts that are in prefill.
    in_prefill: u32,
    /// Requests of all hosts that wait for a decode engine.
    waiting: u32,
    /// Engines with free places, and how many they have.
    free: Vec<(UpstreamKey, u32)>,
    total: u32,
}

impl DecodeRoom {
    fn new(
        view: FleetView<'_>,
        version: Option<VersionDigest>,
        kv_tokens: u64,
        is_retry: bool,
    ) -> Self {
        let engines = view.usable().filter(|(key, one)| {
            one.record.role != Some(EngineRole::Prefill)
                && one.version == version
                && !view.tried.contains(key)
                && !view.changing_role.contains(key)
        });
        let (in_prefill, waiting) = prefilled_requests(view, version, kv_tokens);
        let mut room = Self {
            has_engines: false,
            slots: 0,
            in_flight: 0,
            in_prefill,
            waiting,
            free: Vec::new(),
            total: 0,
        };
        for (key, engine) in view.prefer_answering(engines) {
            let places = engine.free_places(view, is_retry);
            let places = places.min(kv_places(view, engine, kv_tokens));
            room.has_engines = true;
            room.slots += engine.record.slots;
            room.in_flight += engine.requests_in_flight(view.peers);
            room.total += places;
            if places > 0 {
                room.free.push((key, places));
            }
        }
        room
    }

    /// Returns whether there is a place for each request that waits.
    fn suffices(&self) -> bool {
        self.total > 0 && self.total >= self.waiting
    }

    /// Returns whether there is a place for each request that waits or is in prefill.
    fn suffices_for_prefills(&self) -> bool {
        self.total > 0 && self.total >= self.waiting + self.in_prefill
    }
}

impl Placement {
    /// Records that the first event of a request came `latency` after the request was sent
    /// to a decode engine with `slots`, on which it was the latest of `requests` in flight.
    pub fn record_decode(&mut self, requests: u32, slots: u32, latency: Duration) {
        self.decode_time.record(requests, slots, latency);
    }

    /// Chooses the decode engine for a prefilled request, or states that it has to wait.
    pub fn place_decode(&self, view: FleetView<'_>, request: PrefilledRequest) -> DecodeChoice {
        let Some(least_loaded) = self.choose_decode_engine(view, request.prefill_engine) else {
            return DecodeChoice::NoEngine;
        };
        let Some(holder) = view.table.get(request.prefill_engine) else {
            return DecodeChoice::NoEngine;
        };
        let room = DecodeRoom::new(view, holder.version, request.kv_tokens, request.is_retry);
        let has_room = room.free.iter().any(|(key, _)| *key == least_loaded);
        let probability = self.send_probability(&room, request.waited);
        match probability {
            // Only engines that are changing their role are there.
            _ if !room.has_engines => DecodeChoice::Engine(least_loaded),
            _ if room.total == 0 => DecodeChoice::Full,
            _ if room.suffices() && has_room => DecodeChoice::Engine(least_loaded),
            _ if room.suffices() => choose_by_load(view, &room, holder),
            probability if view.tie_breaker < probability => {
                choose_by_room(&room, view.tie_breaker / probability)
            }
            _ => DecodeChoice::Full,
        }
    }

    /// Returns the probability of a send while there are fewer free places than requests
    /// that wait. It grows with the time waited, so that requests are sent roughly in the
    /// order of their arrival.
    fn send_probability(&self, room: &DecodeRoom, waited: Duration) -> f64 {
        let share = f64::from(room.total) / f64::from(room.waiting.max(1));
        let wait = self.decode_time.wait(room.waiting, room.slots);
        let age = match wait {
            Some(wait) if !wait.is_zero() => waited.as_secs_f64() / wait.as_secs_f64(),
            _ => MEAN_AGE,
        };
        (share * age / MEAN_AGE).min(1.0)
    }

    /// Returns the wait at the decode engines if the response would be later than `goal`, so
    /// that a prefill for engines of `version` would be for nothing.
    pub(super) fn check_decode_room(
        &self,
        view: FleetView<'_>,
        version: Option<VersionDigest>,
        kv_tokens: u64,
        goal: Duration,
    ) -> Result<(), PromptRefusal> {
        let room = DecodeRoom::new(view, version, kv_tokens, false);
        let own = self.decode_time.own_time().unwrap_or_default();
        let longest = goal
            .saturating_sub(own)
            .max(goal.mul_f64(self.limits.min_wait_time_share));
        let ahead = room.in_flight + room.waiting + room.in_prefill;
        match self.decode_time.wait(ahead, room.slots) {
            Some(wait)
                if room.has_engines
                    && !room.suffices_for_prefills()
                    && is_refused(view, wait, longest) =>
            {
                Err(PromptRefusal::Overload(wait))
            }
            _ => Ok(()),
        }
    }
}

/// Returns whether a prompt is refused because of a `wait` that should be at most `longest`.
/// The share of refused prompts grows with the wait: if all hosts refused from the same wait
/// on, of which they hear late, they would refuse too many and too few by turns.
fn is_refused(view: FleetView<'_>, wait: Duration, longest: Duration) -> bool {
    let part = wait.as_secs_f64() / longest.as_secs_f64().max(f64::EPSILON);
    let range = REFUSED_WAITS.end - REFUSED_WAITS.start;
    let refused_share = (part - REFUSED_WAITS.start) / range;
    1.0 - view.tie_breaker <= refused_share
}

impl Upstream {
    /// Returns how many requests the engine can be sent before it counts as full. For a
    /// retry, these are only its free slots.
    ///
    /// Besides the requests that run, as many may wait: an engine would run idle if the
    /// next requests were sent only after the hosts have heard of its free slots.
    pub(super) fn free_places(&self, view: FleetView<'_>, is_retry: bool) -> u32 {
        let places = match is_retry {
            true => self.record.slots,
            false => self.record.slots * 2,
        };
        match self.is_full(view.now) {
            true => 0,
            false => places
                .max(1)
                .saturating_sub(self.requests_in_flight(view.peers)),
        }
    }
}

/// Returns how many requests of all hosts are in prefill and how many wait for a decode
/// engine. A waiting one is in flight on the engine that holds its KV cache, but has no prompt
/// tokens left there. Prompts in prefill are taken to be as long as this one.
fn prefilled_requests(
    view: FleetView<'_>,
    version: Option<VersionDigest>,
    kv_tokens: u64,
) -> (u32, u32) {
    let engines = view.table.iter().filter(|(_, one)| {
        one.record.service == view.service
            && one.record.role == Some(EngineRole::Prefill)
            && one.version == version
    });
    engines.fold((0, 0), |(in_prefill, waiting), (_, one)| {
        let requests = one.requests_in_flight(view.peers);
        let prompts = one.prefill_backlog(view.peers).div_ceil(kv_tokens.max(1));
        let own = requests.min(u32::try_from(prompts).unwrap_or(u32::MAX));
        (in_prefill + own, waiting + requests - own)
    })
}

/// Chooses the least loaded engine with room.
fn choose_by_load(view: FleetView<'_>, room: &DecodeRoom, holder: &Upstream) -> DecodeChoice {
    let load = |key: &UpstreamKey| {
        let engine = view.table.get(*key)?;
        let is_same_data_centre = engine.record.data_centre == holder.record.data_centre;
        let penalty = if is_same_data_centre {
            0.0
        } else {
            REMOTE_TRANSFER_PENALTY
        };
        Some(load_of(engine, view.peers) + penalty)
    };
    let loads = room
        .free
        .iter()
        .filter_map(|(key, _)| Some((load(key)?, *key)));
    let least_loaded = loads.min_by(|(one, _), (other, _)| one.total_cmp(other));
    least_loaded.map_or(DecodeChoice::Full, |(_, key)| DecodeChoice::Engine(key))
}

/// Draws an engine in proportion to the free places. `position` is a random number from 0
/// to 1.
fn choose_by_room(room: &DecodeRoom, position: f64) -> DecodeChoice {
    let mut left = position * f64::from(room.total);
    for (key, places) in &room.free {
        left -= f64::from(*places);
        if left < 0.0 {
            return DecodeChoice::Engine(*key);
        }
    }
    DecodeChoice::Full
}
