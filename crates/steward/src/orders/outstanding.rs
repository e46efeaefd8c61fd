//! Which of this process's orders may still be on their way to an engine.
//!
//! A holder that has lost the lease tells its successor that it has stopped,
//! and only then are engines that ignore fencing numbers given new orders. It
//! may say so only when nothing that it sent can still arrive.

use lagoonlift_types::UpstreamName;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;

/// Orders sent whose arrival isn't known, by engine.
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

    /// Notes that an order is about to be sent. Returns whether no copy of it
    /// sent before may still arrive.
    pub(crate) fn record_send(&self, upstream: &UpstreamName, id: &str) -> bool {
        let before = self.get(upstream);
        self.orders.send_modify(|orders| {
            orders.insert(upstream.clone(), id.to_owned());
        });
        before.as_deref() != Some(id)
    }

    /// Notes that an order has arrived, or certainly won't.
    pub(crate) fn resolve(&self, upstream: &UpstreamName, id: &str) {
        self.orders.send_modify(|orders| {
            if orders.get(upstream).is_some_and(|known| known == id) {
                orders.remove(upstream);
            }
        });
    }

    /// Returns the order to an engine whose arrival isn't known.
    pub(crate) fn get(&self, upstream: &UpstreamName) -> Option<String> {
        self.orders.borrow().get(upstream).cloned()
    }

    /// Waits until nothing is on its way.
    pub(crate) async fn wait_until_empty(&self) {
        let mut orders = self.orders.subscribe();
        // The sender lives as long as this ledger.
        let _ = orders.wait_for(BTreeMap::is_empty).await;
    }
}
