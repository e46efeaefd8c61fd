//! The share of a service's requests that may leave the data centre.
//!
//! Responses from another data centre take longer and their bytes are priced, so a request
//! leaves only if that shortens its wait by more than both. All hosts of a data centre
//! compute the share from the same reports. It moves in bounded steps, since what is known
//! of the other data centres is late: hosts that all sent at once would fill them.

use super::{FleetView, Upstream};
use crate::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// One-way time between data centres in seconds.
const ONE_WAY_S: f64 = 0.001;

/// Reduction of the wait in seconds below which leaving doesn't pay for the bytes.
const MIN_GAIN_S: f64 = 0.005;

/// Time between two steps of a share. By then, the peers' reports show the last step.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Change of a share in one step for each unit of gain. Steps shrink as the waits draw level,
/// so that the share doesn't overshoot.
const STEP_PER_GAIN: f64 = 0.03;

/// Largest change of a share in one step.
const MAX_STEP: f64 = 0.05;

/// Steps that a host catches up with at once. A host with little traffic computes its share
/// less often than the others.
const MAX_STEPS_AT_ONCE: u64 = 4;

/// Age of the latest report from which on other data centres count as full.
const MAX_NEWS_AGE: Duration = Duration::from_secs(1);

/// Upstreams of one service, at home or elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLoad {
    /// Slots of the usable upstreams.
    pub slots: u32,
    /// Requests of all hosts in flight on them.
    pub in_flight: u32,
    /// Sum over the slots of the time that a request takes in one, in seconds.
    slot_seconds: f64,
    /// Slots of the upstreams whose time is known.
    timed_slots: u32,
}

impl SiteLoad {
    /// Adds an upstream with `in_flight` requests of all hosts.
    pub(super) fn add(&mut self, upstream: &Upstream, in_flight: u32) {
        let slots = upstream.record.slots.max(1);
        self.slots += slots;
        self.in_flight += in_flight;
        if upstream.mean_latency_s > 0.0 {
            let turns = (f64::from(in_flight) / f64::from(slots)).max(1.0);
            self.slot_seconds += f64::from(slots) * upstream.mean_latency_s / turns;
            self.timed_slots += slots;
        }
    }

    fn own_time_s(self) -> Option<f64> {
        (self.timed_slots > 0).then(|| self.slot_seconds / f64::from(self.timed_slots))
    }

    /// Returns the expected wait for a slot in seconds.
    fn wait_s(self, own_time_s: f64) -> f64 {
        let queued = (self.in_flight + 1).saturating_sub(self.slots);
        own_time_s * f64::from(queued) / f64::from(self.slots.max(1))
    }
}

/// What one step of a share is computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteFacts {
    /// Upstreams in the host's data centre.
    pub home: SiteLoad,
    /// Upstreams with a free slot in the other data centres. A full one takes none of their
    /// room.
    pub elsewhere: SiteLoad,
    /// Age of the latest report of a peer; `None` if the host has never had one.
    pub news_age: Option<Duration>,
}

impl RemoteFacts {
    /// Returns the gain in waiting time by leaving, less its cost, in units of the time that
    /// a request takes. Requests gain nothing while home has room or elsewhere hasn't.
    fn gain(self) -> f64 {
        let is_outdated = self.news_age.is_some_and(|age| age >= MAX_NEWS_AGE);
        let home_has_room = self.home.in_flight < self.home.slots;
        let elsewhere_is_full = self.elsewhere.slots == 0;
        let own_time_s = self.home.own_time_s().or(self.elsewhere.own_time_s());
        match own_time_s {
            _ if is_outdated || home_has_room || elsewhere_is_full => -1.0,
            None => -1.0,
            Some(own_time_s) => {
                let elsewhere_s = self.elsewhere.own_time_s().unwrap_or(own_time_s);
                let wait = self.home.wait_s(own_time_s) - self.elsewhere.wait_s(elsewhere_s);
                (wait - 2.0 * ONE_WAY_S - MIN_GAIN_S) / own_time_s
            }
        }
    }
}

/// The share of one service's requests that may leave, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteShare {
    share: f64,
    stepped_at: Option<Timestamp>,
    /// Gain at the last step.
    last_gain: f64,
}

impl RemoteShare {
    /// Creates a share of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the share by the steps that are due and returns it.
    pub fn step(&mut self, now: Timestamp, facts: RemoteFacts) -> f64 {
        if facts.home.slots == 0 {
            self.share = 1.0;
            self.stepped_at = Some(now);
            return self.share;
        }
        let elapsed = self
            .stepped_at
            .map_or(STEP_INTERVAL, |last| now.since(last));
        let steps = (elapsed.as_micros() / STEP_INTERVAL.as_micros()) as u64;
        if steps > 0 {
            let gain = facts.gain();
            let change = match gain {
                // The share suffices: the queue at home is getting shorter.
                0.0.. if gain < self.last_gain => 0.0,
                _ => (STEP_PER_GAIN * gain).clamp(-MAX_STEP, MAX_STEP),
            };
            let steps = steps.min(MAX_STEPS_AT_ONCE) as f64;
            self.share = (self.share + change * steps).clamp(0.0, 1.0);
            self.last_gain = gain;
            self.stepped_at = Some(now);
        }
        self.share
    }
}

/// A change of a service's share that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteShareChange {
    /// Share at the last reported change.
    pub from: f64,
    /// Share now.
    pub to: f64,
    /// What the last step was computed from.
    pub facts: RemoteFacts,
}

/// Smallest change of a share that is reported, other than one to 0 or 1.
const MIN_REPORTED_CHANGE: f64 = 0.1;

/// The share of one service and what was last reported of it.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedShare {
    share: RemoteShare,
    reported: f64,
    change: Option<RemoteShareChange>,
}

/// The shares of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct RemoteShares(HashMap<String, ReportedShare>);

impl RemoteShares {
    /// Moves the share of the view's service by the steps that are due and returns it.
    pub(super) fn step(&mut self, view: FleetView<'_>, facts: RemoteFacts) -> f64 {
        if !self.0.contains_key(view.service) {
            self.0
                .insert(view.service.to_owned(), ReportedShare::default());
        }
        let Some(one) = self.0.get_mut(view.service) else {
            return 0.0;
        };
        let share = one.share.step(view.now, facts);
        let is_bound = share <= 0.0 || share >= 1.0;
        let difference = (share - one.reported).abs();
        if difference >= MIN_REPORTED_CHANGE || is_bound && difference > 0.0 {
            one.change = Some(RemoteShareChange {
                from: one.reported,
                to: share,
                facts,
            });
            one.reported = share;
        }
        share
    }

    /// Returns the latest change of a service's share that hasn't been returned yet.
    pub(super) fn take_change(&mut self, service: &str) -> Option<RemoteShareChange> {
        self.0.get_mut(service)?.change.take()
    }
}
