//! Estimates how many decode engines the work of a service calls for.
//!
//! The lease holder estimates the number from the requests in flight of all hosts and
//! announces it, so that all hosts derive the same role orders. The mix of requests
//! swings within seconds and a role change takes an engine away for seconds, so the
//! number follows the peak of the last seconds.

use super::demand::PeakWindow;
use super::roles::{min_decode_engines, planned_engines};
use super::{EngineRole, EngineSpec, PeerLoads, RoleOrder, UpstreamTable};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time over whose peaks the number is estimated. It spans several swings of the mix.
const PEAK_DURATION: Duration = Duration::from_secs(10);

/// Utilization of the slots of decode engines up to which fewer of them would suffice.
const TARGET_UTILIZATION: f64 = 0.6;

/// Largest change of the number at a time, as a share of the engines of the service.
const MAX_STEP_SHARE: f64 = 0.1;

/// Margin after a role change until its effect on the load is measured.
const EFFECT_MARGIN: Duration = Duration::from_secs(1);

/// Shortest time between changes in opposite directions, so that no engine changes its
/// role back within this time.
const REVERSAL_DELAY: Duration = Duration::from_secs(10);

/// 32-bit hash of a service's name, the same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceDigest(u32);

impl ServiceDigest {
    /// Returns the hash of `service`.
    pub fn new(service: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

/// What a host knows of the number of decode engines that the work calls for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DecodeWork {
    /// No lease holder has announced a number.
    #[default]
    Unknown,
    /// The number of engines that the lease holder has announced.
    Announced(u32),
    /// A number was announced, but not lately.
    Outdated,
}

/// The engines of a service and the requests in flight on them, by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleLoads {
    /// Decode engines, by the roles after the open orders.
    pub decode_engines: u32,
    /// Prefill engines, by the roles after the open orders.
    pub prefill_engines: u32,
    /// Requests in flight on decode engines.
    pub decode_in_flight: u32,
    /// Requests in flight on prefill engines.
    pub prefill_in_flight: u32,
    /// Whether any order to change a role of one of the engines is open.
    pub is_changing: bool,
    /// Whether any of the open orders changes a decode engine to a prefill engine.
    pub is_reducing: bool,
}

impl RoleLoads {
    /// Returns the loads of the engines of `service`. In-flight requests count for the
    /// role that the engine has now.
    pub fn new(
        table: &UpstreamTable,
        peers: &PeerLoads,
        service: &str,
        open: &[RoleOrder],
    ) -> Self {
        let is_of_service = |order: &&RoleOrder| {
            let upstream = table.get(order.upstream);
            upstream.is_some_and(|one| one.record.service == service)
        };
        let mut loads = Self::default();
        for order in open.iter().filter(is_of_service) {
            loads.is_changing = true;
            loads.is_reducing |= order.role == EngineRole::Prefill;
        }
        for engine in planned_engines(table, service, open) {
            match engine.role {
                EngineRole::Decode => loads.decode_engines += 1,
                EngineRole::Prefill => loads.prefill_engines += 1,
            }
            let upstream = engine.upstream;
            let in_flight = upstream.in_flight + peers.in_flight_on(upstream.digest).requests;
            match upstream.record.role {
                Some(EngineRole::Prefill) => loads.prefill_in_flight += in_flight,
                _ => loads.decode_in_flight += in_flight,
            }
        }
        loads
    }
}

/// Estimates the number of decode engines that the work of one service calls for.
#[derive(Clone, Debug)]
pub struct DecodeWorkEstimate {
    decode_peak: PeakWindow,
    prefill_peak: PeakWindow,
    /// Minimum number of decode engines of the fleet, which may have shrunk lately.
    min_peak: PeakWindow,
    engines: u32,
    changed_at: Option<Timestamp>,
    /// Time at which decode engines last were under orders to become prefill engines.
    reduced_at: Option<Timestamp>,
}

/// The peaks of the requests in flight, as numbers of engines.
struct WorkPeaks {
    /// Decode engines whose slots the work fills completely.
    least: u32,
    /// Decode engines that the work fills up to [`TARGET_UTILIZATION`].
    ample: u32,
    /// Prefill engines whose slots the work fills completely.
    prefill: u32,
}

impl DecodeWorkEstimate {
    /// Creates an estimate that starts from the number of the previous lease holder, if
    /// one is known.
    pub fn new(now: Timestamp, announced: DecodeWork) -> Self {
        let engines = match announced {
            DecodeWork::Announced(engines) => engines,
            DecodeWork::Unknown | DecodeWork::Outdated => 0,
        };
        Self {
            decode_peak: PeakWindow::new(PEAK_DURATION),
            prefill_peak: PeakWindow::new(PEAK_DURATION),
            min_peak: PeakWindow::new(PEAK_DURATION),
            engines,
            changed_at: (engines > 0).then_some(now),
            reduced_at: None,
        }
    }

    /// Returns the number of decode engines; zero if the work calls for no more than the
    /// minimum.
    pub fn engines(&self) -> u32 {
        self.engines
    }

    /// Returns whether the number is to be announced. Zero is announced for some time
    /// after another number.
    pub fn is_announced(&self, now: Timestamp) -> bool {
        self.engines > 0 || !has_passed(now, self.changed_at, REVERSAL_DELAY)
    }

    /// Returns the peaks of the requests in flight on decode and on prefill engines.
    pub fn peaks(&self, now: Timestamp) -> (u32, u32) {
        let peak = |window: &PeakWindow| window.peak(now).unwrap_or(0);
        (peak(&self.decode_peak), peak(&self.prefill_peak))
    }

    /// Records the loads at `now` and updates the number.
    pub fn record(&mut self, now: Timestamp, loads: RoleLoads, spec: &EngineSpec) {
        let total = loads.decode_engines + loads.prefill_engines;
        self.min_peak.record(now, min_decode_engines(total));
        if loads.is_changing {
            // The work moves with the roles, so peaks from before say nothing of it.
            self.restart(now);
            self.reduced_at = loads.is_reducing.then_some(now).or(self.reduced_at);
            return;
        }
        self.decode_peak.record(now, loads.decode_in_flight);
        self.prefill_peak.record(now, loads.prefill_in_flight);
        self.update(now, loads, spec);
    }

    fn update(&mut self, now: Timestamp, loads: RoleLoads, spec: &EngineSpec) {
        let peaks = self.work_peaks(now, spec);
        let total = loads.decode_engines + loads.prefill_engines;
        let step = (f64::from(total) * MAX_STEP_SHARE).ceil() as u32;
        let raised = peaks.least.min(loads.decode_engines + step);
        let raised_prefill = total.saturating_sub(raised);
        let kept = self.kept_engines(now, loads, &peaks);
        if kept > self.engines {
            self.engines = kept;
        } else if raised > loads.decode_engines.max(self.engines)
            && peaks.prefill < raised_prefill
            && has_passed(now, self.changed_at, spec.role_change_time + EFFECT_MARGIN)
            && has_passed(now, self.reduced_at, REVERSAL_DELAY)
        {
            self.engines = raised;
            self.restart(now);
        } else if peaks.ample < self.engines && has_passed(now, self.changed_at, REVERSAL_DELAY) {
            self.engines = peaks.ample.max(self.engines.saturating_sub(step));
            self.restart(now);
        }
    }

    /// Returns how many of the present decode engines keep their role although the fleet
    /// has become smaller. No engine changes its role for that.
    fn kept_engines(&self, now: Timestamp, loads: RoleLoads, peaks: &WorkPeaks) -> u32 {
        let needed = match peaks.prefill < loads.prefill_engines {
            true => peaks.ample,
            false => peaks.least,
        };
        let recent_min = self.min_peak.peak(now).unwrap_or(0);
        needed.min(loads.decode_engines).min(recent_min)
    }

    fn work_peaks(&self, now: Timestamp, spec: &EngineSpec) -> WorkPeaks {
        let (decode, prefill) = self.peaks(now);
        let engines = |in_flight: u32, utilization: f64| {
            let usable_slots = f64::from(spec.slots.max(1)) * utilization;
            (f64::from(in_flight) / usable_slots).ceil() as u32
        };
        WorkPeaks {
            least: engines(decode, 1.0),
            ample: engines(decode, TARGET_UTILIZATION),
            prefill: engines(prefill, 1.0),
        }
    }

    /// Starts new peaks after a change.
    fn restart(&mut self, now: Timestamp) {
        self.decode_peak = PeakWindow::new(PEAK_DURATION);
        self.prefill_peak = PeakWindow::new(PEAK_DURATION);
        self.changed_at = Some(now);
    }
}

/// Returns whether `delay` has passed since `at`, or there is no such time.
fn has_passed(now: Timestamp, at: Option<Timestamp>, delay: Duration) -> bool {
    at.is_none_or(|at| now.since(at) >= delay)
}
