//! When to order more upstreams and when to give one back.
//!
//! Ordered upstreams arrive minutes later, when the shift that asked for them
//! may be over. Purchases therefore follow the level of the work over minutes,
//! never the mix, and what is on order counts as capacity only for not ordering
//! it twice.

use crate::{FleetLimits, Timestamp};
use std::time::Duration;

/// How long the need must last before anything is ordered.
const ORDER_DELAY: Duration = Duration::from_secs(20);
/// How long the surplus must last before anything is released.
const RELEASE_DELAY: Duration = Duration::from_secs(45);

/// What to do about purchases now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PurchaseChoice {
    /// Nothing.
    Hold,
    /// Order this many.
    Order(u32),
    /// Give one back.
    Release,
}

/// Follows one model's need for upstreams in one data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PurchasePlanner {
    on_order: u32,
    needed_since: Option<Timestamp>,
    spare_since: Option<Timestamp>,
}

impl PurchasePlanner {
    /// Takes in that `count` upstreams came or won't come.
    pub(crate) fn close_orders(&mut self, count: u32) {
        self.on_order = self.on_order.saturating_sub(count);
    }

    /// Chooses for `work` busy engines out of `engines`.
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
        let expected = engines + self.on_order as usize;
        let needed = work > limits.order_utilisation * expected as f64;
        let spare = work < limits.release_utilisation * (engines as f64 - 1.0);
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
        let needed_for = held_for(&mut self.needed_since, needed);
        let spare_for = held_for(&mut self.spare_since, spare);
        match () {
            () if needed_for >= ORDER_DELAY => {
                let missing = (work / limits.order_utilisation - expected as f64).ceil();
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
