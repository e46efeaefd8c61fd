//! Measures the demand for a service from the requests in flight.

use super::{PeerLoads, UpstreamTable};
use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time that one entry of a [`PeakWindow`] covers.
const BUCKET_DURATION: Duration = Duration::from_millis(500);

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
