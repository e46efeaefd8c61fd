//! A place at an upstream, given back whatever happens to its holder.

use crate::admission::{AdmissionActor, Observe, Place, Placement, PlacementRequest};
use futures::FutureExt;
use lagoonlift_policy::{AttemptEnd, EntryEvent, UpstreamKey};
use lagoonlift_types::{NotRunReason, RequestId};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::{Address, WeakAddress};

use crate::link::UpstreamLink;

/// How long callers are asked to wait by a process that is stopping.
const STOPPING_RETRY: Duration = Duration::from_secs(1);

/// The right to send one request to one upstream.
///
/// Dropping it tells the policy that the attempt was cancelled, so that a
/// caller that leaves at any moment frees its place.
pub(crate) struct UpstreamSlot {
    request: RequestId,
    upstream: UpstreamKey,
    link: Arc<UpstreamLink>,
    priority: u8,
    actor: WeakAddress<AdmissionActor>,
    end: AttemptEnd,
}

impl UpstreamSlot {
    pub(crate) fn new(
        request: RequestId,
        upstream: UpstreamKey,
        link: Arc<UpstreamLink>,
        priority: u8,
        actor: WeakAddress<AdmissionActor>,
    ) -> Self {
        Self {
            request,
            upstream,
            link,
            priority,
            actor,
            end: AttemptEnd::Cancelled,
        }
    }

    pub(crate) fn upstream(&self) -> UpstreamKey {
        self.upstream
    }

    pub(crate) fn link(&self) -> &Arc<UpstreamLink> {
        &self.link
    }

    pub(crate) fn priority(&self) -> u8 {
        self.priority
    }

    /// Gives the place back and says how the attempt ended.
    pub(crate) fn finish(mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        if let Some(address) = self.actor.try_upgrade() {
            let event = EntryEvent::Ended {
                request: self.request,
                upstream: self.upstream,
                end: self.end,
            };
            notify(&address, event);
        }
    }
}

impl fmt::Debug for UpstreamSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamSlot")
            .field("request", &self.request)
            .field("upstream", &self.link.name)
            .finish_non_exhaustive()
    }
}

/// Tells the policy what happened, without waiting.
pub(crate) fn notify(actor: &Address<AdmissionActor>, event: EntryEvent) {
    // The mailbox is unbounded, so the first poll puts the message into it.
    let _ = actor.send(Observe(event)).detach().now_or_never();
}

/// Waits for a place. Dropping the future withdraws the request.
pub(crate) async fn place(
    actor: &Address<AdmissionActor>,
    facts: PlacementRequest,
    avoid: Option<Vec<UpstreamKey>>,
) -> Placement {
    let (reply, placement) = oneshot::channel();
    let withdrawal = Withdrawal {
        actor,
        request: facts.request,
        armed: true,
    };
    let message = Place {
        facts,
        avoid,
        reply,
    };
    let _ = actor.send(message).detach().now_or_never();
    let placement = placement.await;
    withdrawal.disarm();
    placement.unwrap_or(Placement::Refuse {
        reason: NotRunReason::ShuttingDown,
        retry_after: STOPPING_RETRY,
    })
}

/// Withdraws a queued request unless disarmed.
struct Withdrawal<'a> {
    actor: &'a Address<AdmissionActor>,
    request: RequestId,
    armed: bool,
}

impl Withdrawal<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if self.armed {
            let request = self.request;
            notify(self.actor, EntryEvent::Cancelled { request });
        }
    }
}
