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

use super::{FleetView, Placement, PromptRefusal, REMOTE_TRANSFER_PENALTY, load_of};
use crate::UpstreamKey;
use crate::dispatch::{EngineRole, Upstream, VersionDigest};
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

/// Places of the decode engines that can continue from one KV cache.
struct DecodeRoom {
    has_engines: bool,
    /// Engines with free places, and how many they have.
    free: Vec<(UpstreamKey, u32)>,
    total: u32,
}

impl Placement {
    /// Records that the first event of a request came `latency` after the request was sent
    /// to a decode engine with `slots`, on which it was the latest of `requests` in flight.
    pub fn record_decode(&mut self, requests: u32, slots: u32, latency: Duration) {
        self.decode_time.record(requests, slots, latency);
    }

    /// Chooses the decode engine for a request whose KV cache `prefill_engine` holds, or
    /// states that the request has to wait. A request that engines have refused before
    /// (`is_retry`) is sent only to an engine with a free slot.
    pub fn place_decode(
        &self,
        view: FleetView<'_>,
        prefill_engine: UpstreamKey,
        is_retry: bool,
    ) -> DecodeChoice {
        let Some(least_loaded) = self.choose_decode_engine(view, prefill_engine) else {
            return DecodeChoice::NoEngine;
        };
        let Some(holder) = view.table.get(prefill_engine) else {
            return DecodeChoice::NoEngine;
        };
        let room = decode_room(view, holder.version, is_retry);
        let waiting = prefilled_requests(view, holder.version).max(1);
        let probability = f64::from(room.total) / f64::from(waiting);
        let has_room = room.free.iter().any(|(key, _)| *key == least_loaded);
        match probability {
            // Only engines that are changing their role are there.
            _ if !room.has_engines => DecodeChoice::Engine(least_loaded),
            _ if room.total == 0 => DecodeChoice::Full,
            probability if probability >= 1.0 && has_room => DecodeChoice::Engine(least_loaded),
            probability if probability >= 1.0 => choose_by_load(view, &room, holder),
            probability if view.tie_breaker < probability => {
                choose_by_room(&room, view.tie_breaker / probability)
            }
            _ => DecodeChoice::Full,
        }
    }

    /// Returns the wait at the decode engines if it is longer than `goal`, so that a prefill
    /// for engines of `version` would be for nothing.
    pub(super) fn check_decode_room(
        &self,
        view: FleetView<'_>,
        version: Option<VersionDigest>,
        goal: Duration,
    ) -> Result<(), PromptRefusal> {
        let room = decode_room(view, version, false);
        let engines = view
            .usable()
            .filter(|(key, one)| can_decode(one, version) && !view.changing_role.contains(key));
        let (requests, slots) = engines.fold((0, 0), |(requests, slots), (_, one)| {
            (
                requests + one.requests_in_flight(view.peers),
                slots + one.record.slots,
            )
        });
        let ahead = requests + prefilled_requests(view, version);
        match self.decode_time.wait(ahead, slots) {
            Some(wait) if room.total == 0 && slots > 0 && wait > goal => {
                Err(PromptRefusal::Overload(wait))
            }
            _ => Ok(()),
        }
    }
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

fn can_decode(upstream: &Upstream, version: Option<VersionDigest>) -> bool {
    upstream.record.role != Some(EngineRole::Prefill) && upstream.version == version
}

/// Returns the free places of the engines that can continue from a KV cache of `version`.
fn decode_room(view: FleetView<'_>, version: Option<VersionDigest>, is_retry: bool) -> DecodeRoom {
    let engines = view.usable().filter(|(key, one)| {
        can_decode(one, version) && !view.tried.contains(key) && !view.changing_role.contains(key)
    });
    let places = engines.map(|(key, one)| (key, one.free_places(view, is_retry)));
    let mut free: Vec<(UpstreamKey, u32)> = places.collect();
    let has_engines = !free.is_empty();
    free.retain(|(_, places)| *places > 0);
    DecodeRoom {
        has_engines,
        total: free.iter().map(|(_, places)| places).sum(),
        free,
    }
}

/// Returns the requests of all hosts that are in prefill or wait for a decode engine. A
/// waiting one is in flight on the engine that holds its KV cache.
fn prefilled_requests(view: FleetView<'_>, version: Option<VersionDigest>) -> u32 {
    let engines = view.table.iter().filter(|(_, one)| {
        one.record.service == view.service
            && one.record.role == Some(EngineRole::Prefill)
            && one.version == version
    });
    engines
        .map(|(_, one)| one.requests_in_flight(view.peers))
        .sum()
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
