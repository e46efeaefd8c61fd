//! Measures the demand for a service from the requests in flight.

use super::{OccupiedUpstreams, PeerLoads, RoleLoads, Service, UpstreamTable};
use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time that one entry of a [`PeakWindow`] covers.
const BUCKET_DURATION: Duration = Duration::from_millis(500);

/// Largest number of hosts for each one that has reported lately. Beyond that, the reports
/// of a host that is cut off, or of an idle fleet, say too little.
const MAX_SCALE: f64 = 4.0;

/// The highest value that was observed within a time.
#[derive(Clone, Debug)]
pub struct PeakWindow {
    duration: Duration,
    /// Start and highest value of each bucket, oldest first.
    buckets: VecDeque<(Timestamp, u32)>,
}

impl PeakWindow {
    /// Creates a window that covers `duration`.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            buckets: VecDeque::new(),
        }
    }

    /// Records `value` as observed at `now`.
    pub fn record(&mut self, now: Timestamp, value: u32) {
        let oldest_allowed = self.duration;
        self.buckets
            .retain(|(start, _)| now.since(*start) < oldest_allowed);
        match self.buckets.back_mut() {
            Some((start, peak)) if now.since(*start) < BUCKET_DURATION => *peak = value.max(*peak),
            _ => self.buckets.push_back((now, value)),
        }
    }

    /// Returns the highest value within the window; `None` if nothing was observed.
    pub fn peak(&self, now: Timestamp) -> Option<u32> {
        let recent = self
            .buckets
            .iter()
            .filter(|(start, _)| now.since(*start) < self.duration);
        recent.map(|(_, peak)| *peak).max()
    }
}

/// Returns the requests in flight on all upstreams of `service`, from this host and from
/// the hosts whose reports are recent.
pub fn count_in_flight(table: &UpstreamTable, peers: &PeerLoads, service: &str) -> u32 {
    let of_service = table
        .iter()
        .map(|(_, one)| one)
        .filter(|one| one.record.service == service);
    let in_flight = of_service.map(|one| one.in_flight + peers.in_flight_on(one.digest).requests);
    in_flight.sum()
}

/// Returns how many upstreams the requests in flight of `service` occupy.
///
/// A prompt in prefill occupies an engine whatever its slots, since prefill is bound by
/// compute; other requests occupy one slot of `slots`. If fewer than `hosts` hosts have
/// reported lately, the number is scaled up.
pub fn count_occupied(
    table: &UpstreamTable,
    peers: &PeerLoads,
    service: &Service,
    slots: u32,
    hosts: usize,
) -> OccupiedUpstreams {
    let in_flight = count_in_flight(table, peers, &service.name);
    let loads = RoleLoads::new(table, peers, &service.name, &[]);
    let prefill = loads.prefill_in_flight.min(in_flight);
    let scale = (hosts as f64 / (peers.report_count() + 1) as f64).max(1.0);
    let uninterrupted = scale * f64::from(in_flight - prefill) / f64::from(slots.max(1));
    OccupiedUpstreams {
        total: (uninterrupted + scale * f64::from(prefill)).ceil() as u32,
        uninterrupted: uninterrupted.ceil() as u32,
        is_measured: scale <= MAX_SCALE,
    }
}
