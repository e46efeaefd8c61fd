//! Memory of a prompt that one engine has read and another may take over.

use crate::connection::{PeerKey, call};
use crate::host::Host;
use lagoonlift_adapter::upstream::{KvCacheHandle, release_kv_cache_request};
use lagoonlift_policy::UpstreamKey;
use std::rc::Rc;
use std::time::Duration;

/// Time for freeing memory that nobody will take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Memory of a prompt that was read; freed when it is dropped untaken.
pub(crate) struct PromptMemory {
    host: Rc<Host>,
    pub(crate) handle: KvCacheHandle,
    /// Engine that read the prompt.
    pub(crate) reader: UpstreamKey,
    /// Engines that were told to take it.
    pub(crate) sends: u32,
    pub(crate) is_taken: bool,
}

impl PromptMemory {
    pub(crate) fn new(host: &Rc<Host>, reader: UpstreamKey, handle: KvCacheHandle) -> Self {
        Self {
            host: Rc::clone(host),
            handle,
            reader,
            sends: 0,
            is_taken: false,
        }
    }
}

impl Drop for PromptMemory {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let pool = self.host.pool.clone();
        let peer = PeerKey::Upstream(self.reader);
        let holder = self.handle.holder;
        let request = release_kv_cache_request(&self.handle);
        tokio::task::spawn_local(async move {
            if let Err(error) = call(&pool, peer, holder, request, RELEASE_TIMEOUT).await {
                tracing::debug!(%holder, %error, "memory of a prompt was not freed");
            }
        });
    }
}
