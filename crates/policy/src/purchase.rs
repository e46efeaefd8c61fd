//! Decides when to purchase more upstreams and when to release one.
//!
//! In this module, an order is a purchase of upstreams from the platform, not a
//! command to an engine.
//!
//! Ordered upstreams are delivered minutes later, when the shift in demand that
//! caused the order may be over. Purchases therefore depend on the level of the
//! work over minutes and never on the mix of prefill and decode. Upstreams on
//! order count as capacity only to avoid ordering them twice.

use crate::{FleetLimits, Timestamp};
use std::time::Duration;

/// How long additional capacity must be needed before upstreams are ordered.
const ORDER_DELAY: Duration = Duration::from_secs(20);
/// How long there must be surplus capacity before an upstream is released.
const RELEASE_DELAY: Duration = Duration::from_secs(45);

/// The decision on purchases at one tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PurchaseChoice {
    /// Neither order nor release.
    Hold,
    /// Order this many upstreams.
    Order(u32),
    /// Release one purchased upstream.
    Release,
}

/// Tracks the need for upstreams of one model in one data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PurchasePlanner {
    /// Number of upstreams that were ordered and neither delivered nor cancelled.
    on_order: u32,
    needed_since: Option<Timestamp>,
    spare_since: Option<Timestamp>,
}

impl PurchasePlanner {
    /// Records that `count` upstreams on order were delivered or cancelled.
    pub(crate) fn close_purchases(&mut self, count: u32) {
        self.on_order = self.on_order.saturating_sub(count);
    }

    /// Decides on purchases, given `work` in engines kept busy and the number of
    /// `engines` present.
    pub(crate) fn choose(
        &mut self,
        now: Timestamp,
        work: f64,
        engines: usize,
        limits: &FleetLimits,
    ) -> PurchaseChoice {
        if engines == 0 {
            return PurchaseChoice::Hold;
        }
        let expected_engines = engines + self.on_order as usize;
        let is_needed = work > limits.order_utilisation * expected_engines as f64;
        let has_spare = work < limits.release_utilisation * (engines as f64 - 1.0);
        let held_for = |since: &mut Option<Timestamp>, is_held: bool| match (is_held, *since) {
            (false, _) => {
                *since = None;
                Duration::ZERO
            }
            (true, None) => {
                *since = Some(now);
                Duration::ZERO
            }
            (true, Some(at)) => now.since(at),
        };
        let needed_for = held_for(&mut self.needed_since, is_needed);
        let spare_for = held_for(&mut self.spare_since, has_spare);
        match () {
            () if needed_for >= ORDER_DELAY => {
                let missing = (work / limits.order_utilisation - expected_engines as f64).ceil();
                let permitted = limits.order_limit.saturating_sub(self.on_order);
                let count = (missing as u32).min(permitted);
                self.on_order += count;
                self.needed_since = None;
                match count {
                    0 => PurchaseChoice::Hold,
                    _ => PurchaseChoice::Order(count),
                }
            }
            () if spare_for >= RELEASE_DELAY && self.on_order == 0 => {
                self.spare_since = None;
                PurchaseChoice::Release
            }
            () => PurchaseChoice::Hold,
        }
    }
}
