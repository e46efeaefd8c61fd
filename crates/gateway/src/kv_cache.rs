//! Memory of a prompt that one engine has read and another may take over.

use crate::connection::{Endpoint, call};
use crate::host::Host;
use lagoonlift_adapter::runner::{PromptHandle, release_request};
use lagoonlift_policy::UpstreamKey;
use std::rc::Rc;
use std::time::Duration;

/// Time for freeing memory that nobody will take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Memory of a prompt that was read; freed when it is dropped untaken.
pub(crate) struct HeldKvCache {
    host: Rc<Host>,
    pub(crate) handle: PromptHandle,
    /// Engine that read the prompt.
    pub(crate) prefill_engine: UpstreamKey,
    /// Engines that were told to take it.
    pub(crate) attempts: u32,
    pub(crate) is_transferred: bool,
}

impl HeldKvCache {
    pub(crate) fn new(host: &Rc<Host>, prefill_engine: UpstreamKey, handle: PromptHandle) -> Self {
        Self {
            host: Rc::clone(host),
            handle,
            prefill_engine,
            attempts: 0,
            is_transferred: false,
        }
    }
}

impl Drop for HeldKvCache {
    fn drop(&mut self) {
        if self.is_transferred {
            return;
        }
        let pool = self.host.pool.clone();
        let endpoint = Endpoint::Upstream(self.prefill_engine);
        let holder = self.handle.holder;
        let request = release_request(&self.handle);
        tokio::task::spawn_local(async move {
            if let Err(error) = call(&pool, endpoint, holder, request, RELEASE_TIMEOUT).await {
                tracing::debug!(%holder, %error, "memory of a prompt was not freed");
            }
        });
    }
}
