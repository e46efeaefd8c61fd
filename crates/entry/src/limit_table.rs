//! The limiters of all workspaces, and their exchange of demand with other
//! hosts.

use crate::limit::{TokenCharge, WorkspaceDemand, WorkspaceLimiter};
use lagoonlift_hosts::{Demand, DemandMap, PeerNode};
use lagoonlift_types::{Limits, WorkspaceName};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval between exchanges with other hosts.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// The limiters of all workspaces. Each request holds the lock only briefly.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    limiters: Mutex<BTreeMap<WorkspaceName, WorkspaceLimiter>>,
}

/// A charge that is refunded on drop, unless it has been settled.
#[derive(Debug)]
pub(crate) struct ChargeGuard {
    table: Arc<LimitTable>,
    workspace: WorkspaceName,
    charge: Option<TokenCharge>,
}

impl LimitTable {
    /// Applies the limits of all workspaces. `hosts` is the number of live entry
    /// processes, one per host.
    pub(crate) fn set_limits<'a>(
        &self,
        limits: impl Iterator<Item = (&'a WorkspaceName, Limits)>,
        hosts: u32,
    ) {
        let now = Instant::now();
        let mut limiters = self.lock();
        let mut updated = BTreeMap::new();
        for (workspace, limits) in limits {
            let limiter = match limiters.remove(workspace) {
                Some(mut limiter) => {
                    limiter.update(now, limits, hosts);
                    limiter
                }
                None => WorkspaceLimiter::new(now, limits, hosts),
            };
            updated.insert(workspace.clone(), limiter);
        }
        *limiters = updated;
    }

    /// Admits a request, or returns the time to wait before retrying.
    pub(crate) fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        prompt_tokens: u64,
        max_output_tokens: u64,
    ) -> Result<ChargeGuard, Duration> {
        let mut limiters = self.lock();
        // A workspace without a limiter was just removed; the request is refused
        // later because its key is no longer valid.
        let charge = match limiters.get_mut(workspace) {
            Some(limiter) => {
                Some(limiter.admit(Instant::now(), prompt_tokens, max_output_tokens)?)
            }
            None => None,
        };
        Ok(ChargeGuard {
            table: Arc::clone(self),
            workspace: workspace.clone(),
            charge,
        })
    }

    /// Returns the demand at this host, without workspaces that have none.
    fn local_demand(&self) -> DemandMap {
        let now = Instant::now();
        let limiters = self.lock();
        let demands = limiters.iter().map(|(workspace, limiter)| {
            let local = limiter.demand(now);
            let demand = Demand {
                requests_per_second: local.requests,
                tokens_per_second: local.tokens,
            };
            (workspace.clone(), demand)
        });
        demands
            .filter(|(_, demand)| *demand != Demand::default())
            .collect()
    }

    fn set_other_hosts_demand(&self, other_hosts: &DemandMap) {
        let now = Instant::now();
        for (workspace, limiter) in self.lock().iter_mut() {
            let demand = other_hosts.get(workspace).copied().unwrap_or_default();
            let workspace_demand = WorkspaceDemand {
                requests: demand.requests_per_second,
                tokens: demand.tokens_per_second,
            };
            limiter.set_other_hosts_demand(now, workspace_demand);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkspaceName, WorkspaceLimiter>> {
        // No code that can panic runs between two writes to a limiter.
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChargeGuard {
    /// Settles the charge with the tokens actually used.
    pub(crate) fn settle(mut self, prompt_tokens: u64, output_tokens: u64) {
        if let Some(charge) = self.charge.take()
            && let Some(limiter) = self.table.lock().get_mut(&self.workspace)
        {
            limiter.settle(charge, prompt_tokens, output_tokens);
        }
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take()
            && let Some(limiter) = self.table.lock().get_mut(&self.workspace)
        {
            limiter.refund(charge);
        }
    }
}

/// Publishes this host's demand and applies the demand of other hosts, until
/// the task is aborted.
pub(crate) async fn exchange_demand(table: Arc<LimitTable>, node: PeerNode) {
    let other_hosts = node.peer_demand();
    let mut ticks = interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        node.set_demand(table.local_demand());
        let other_hosts = Arc::clone(&other_hosts.borrow());
        table.set_other_hosts_demand(&other_hosts);
    }
}
