//! Tracks the orders of this process that may still reach an engine.
//!
//! A holder that lost the lease writes a step-down, after which its successor
//! sends orders to engines that ignore fencing tokens. The step-down must not be
//! written while an earlier send of the former holder can still arrive.

use lagoonlift_types::UpstreamName;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;

/// Orders in flight by engine: sent, but not known to have arrived or failed.
/// Clones share one state.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingSends {
    orders: Arc<watch::Sender<BTreeMap<UpstreamName, String>>>,
}

impl OutstandingSends {
    pub(crate) fn new() -> Self {
        Self {
            orders: Arc::new(watch::Sender::default()),
        }
    }

    /// Records that an order is about to be sent. Returns `false` if an earlier copy
    /// of it may still arrive.
    pub(crate) fn record_send(&self, upstream: &UpstreamName, id: &str) -> bool {
        let before = self.get(upstream);
        self.orders.send_modify(|orders| {
            orders.insert(upstream.clone(), id.to_owned());
        });
        before.as_deref() != Some(id)
    }

    /// Records that an order has arrived, or that it never will.
    pub(crate) fn resolve(&self, upstream: &UpstreamName, id: &str) {
        self.orders.send_modify(|orders| {
            if orders.get(upstream).is_some_and(|known| known == id) {
                orders.remove(upstream);
            }
        });
    }

    /// Returns the identifier of the outstanding order to an engine.
    pub(crate) fn get(&self, upstream: &UpstreamName) -> Option<String> {
        self.orders.borrow().get(upstream).cloned()
    }

    /// Waits until no order is outstanding.
    pub(crate) async fn wait_until_empty(&self) {
        let mut orders = self.orders.subscribe();
        // Can't fail, because `self` owns the sender.
        let _ = orders.wait_for(BTreeMap::is_empty).await;
    }
}
