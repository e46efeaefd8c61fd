//! KV cache of a prompt, held by the prefill engine for transfer to a decode engine.

use crate::clock;
use crate::connection::{CallLimits, Endpoint, call};
use crate::in_flight::UpstreamWork;
use crate::state::GatewayState;
use lagoonlift_adapter::upstream::{KvCacheHandle, release_kv_cache_request};
use lagoonlift_policy::{Timestamp, UpstreamKey};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of the call that releases a KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// KV cache of a prompt after its prefill. Dropping it releases the cache at the
/// prefill engine, unless a decode engine may have fetched it.
pub(crate) struct HeldKvCache {
    state: Rc<GatewayState>,
    pub(crate) handle: KvCacheHandle,
    /// Engine that ran the prefill and holds the KV cache.
    pub(crate) prefill_engine: UpstreamKey,
    /// Attempts so far to continue from the KV cache on a decode engine.
    pub(crate) attempts: u32,
    /// Whether a decode engine may have fetched the KV cache.
    pub(crate) may_be_transferred: bool,
    pub(crate) prefilled_at: Timestamp,
    /// Counts the request as in flight on the prefill engine while it waits for a decode
    /// engine, so that all hosts know how many wait.
    pub(crate) waiting: Option<UpstreamWork>,
}

impl HeldKvCache {
    pub(crate) fn new(
        state: &Rc<GatewayState>,
        prefill_engine: UpstreamKey,
        handle: KvCacheHandle,
    ) -> Self {
        Self {
            state: Rc::clone(state),
            handle,
            prefill_engine,
            attempts: 0,
            may_be_transferred: false,
            prefilled_at: clock::now(),
            waiting: Some(UpstreamWork::new(state, prefill_engine, 0)),
        }
    }
}

impl HeldKvCache {
    /// Returns whether the prefill engine takes another request. If it doesn't, its KV cache
    /// is left to expire.
    fn may_release(&self) -> bool {
        let mut table = self.state.table.borrow_mut();
        let now = clock::now();
        let engine = table.get(self.prefill_engine);
        let is_held_off = engine.is_some_and(|one| one.hold_off(now).is_some());
        !is_held_off && table.take_rate_share(now, self.prefill_engine)
    }
}

impl Drop for HeldKvCache {
    fn drop(&mut self) {
        if self.may_be_transferred || !self.may_release() {
            return;
        }
        let pool = self.state.pool.clone();
        let endpoint = Endpoint::Upstream(self.prefill_engine);
        let holder = self.handle.holder;
        let request = release_kv_cache_request(&self.handle);
        let limits = CallLimits::control(RELEASE_TIMEOUT);
        tokio::task::spawn_local(async move {
            if let Err(error) = call(&pool, endpoint, holder, request, limits).await {
                tracing::debug!(%holder, %error, "failed to release a KV cache");
            }
        });
    }
}
