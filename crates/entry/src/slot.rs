//! A slot at an upstream, released however its holder ends.

use crate::admission::{
    AdmissionActor, Observe, Place, Placement, PlacementRequest, ReportSilence,
};
use futures::FutureExt;
use lagoonlift_policy::{AttemptEnd, EntryEvent, UpstreamKey};
use lagoonlift_types::{NotRunReason, RequestId};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::{Address, WeakAddress};

use crate::upstream_handle::UpstreamHandle;

/// `Retry-After` value of a process that is shutting down.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The right to send one request to one upstream.
///
/// Dropping it reports the attempt to the policy as cancelled, so that a caller
/// that disconnects at any moment frees its slot.
pub(crate) struct UpstreamSlot {
    ticket: RequestId,
    upstream: UpstreamKey,
    upstream_handle: Arc<UpstreamHandle>,
    priority: u8,
    actor: WeakAddress<AdmissionActor>,
    end: AttemptEnd,
}

impl UpstreamSlot {
    pub(crate) fn new(
        ticket: RequestId,
        upstream: UpstreamKey,
        upstream_handle: Arc<UpstreamHandle>,
        priority: u8,
        actor: WeakAddress<AdmissionActor>,
    ) -> Self {
        Self {
            ticket,
            upstream,
            upstream_handle,
            priority,
            actor,
            end: AttemptEnd::Cancelled,
        }
    }

    pub(crate) fn upstream(&self) -> UpstreamKey {
        self.upstream
    }

    pub(crate) fn upstream_handle(&self) -> &Arc<UpstreamHandle> {
        &self.upstream_handle
    }

    pub(crate) fn priority(&self) -> u8 {
        self.priority
    }

    /// Reports that the request's first token has arrived.
    pub(crate) fn report_first_token(&self) {
        let request = self.ticket;
        self.notify(EntryEvent::FirstToken { request });
    }

    /// Reports that the upstream was silent for too long. The slot is kept.
    pub(crate) fn report_silence(&self) {
        if let Some(address) = self.actor.try_upgrade() {
            let message = ReportSilence(self.upstream);
            let _ = address.send(message).detach().now_or_never();
        }
    }

    fn notify(&self, event: EntryEvent) {
        if let Some(address) = self.actor.try_upgrade() {
            notify(&address, event);
        }
    }

    /// Releases the slot and reports how the attempt ended.
    pub(crate) fn finish(mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        self.notify(EntryEvent::Ended {
            request: self.ticket,
            upstream: self.upstream,
            end: self.end,
        });
    }
}

impl fmt::Debug for UpstreamSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamSlot")
            .field("ticket", &self.ticket)
            .field("upstream", &self.upstream_handle.name)
            .finish_non_exhaustive()
    }
}

/// Reports an event to the policy without waiting.
pub(crate) fn notify(actor: &Address<AdmissionActor>, event: EntryEvent) {
    // The mailbox is unbounded, so the first poll enqueues the message.
    let _ = actor.send(Observe(event)).detach().now_or_never();
}

/// Waits for a placement. Dropping the future cancels the request.
pub(crate) async fn place(
    actor: &Address<AdmissionActor>,
    placement_request: PlacementRequest,
    avoid: Option<Vec<UpstreamKey>>,
) -> Placement {
    let (reply, reply_receiver) = oneshot::channel();
    let message = Place {
        placement_request,
        avoid,
        replaced: None,
        reply,
    };
    send_place(actor, message, reply_receiver).await
}

/// Waits for the placement of a request beside the attempt that still runs at a
/// silent upstream; `replaced` is never chosen. Dropping the future cancels the
/// placement.
pub(crate) async fn place_replacement(
    actor: &Address<AdmissionActor>,
    placement_request: PlacementRequest,
    avoid: Option<Vec<UpstreamKey>>,
    replaced: Option<UpstreamKey>,
) -> Option<UpstreamSlot> {
    let (reply, reply_receiver) = oneshot::channel();
    let message = Place {
        placement_request: PlacementRequest {
            ticket: RequestId::new(),
            ..placement_request
        },
        avoid,
        replaced,
        reply,
    };
    match send_place(actor, message, reply_receiver).await {
        Placement::Dispatch(slot) => Some(slot),
        Placement::Refuse { .. } => None,
    }
}

async fn send_place(
    actor: &Address<AdmissionActor>,
    message: Place,
    reply_receiver: oneshot::Receiver<Placement>,
) -> Placement {
    let guard = CancelGuard {
        actor,
        ticket: message.placement_request.ticket,
        is_armed: true,
    };
    let _ = actor.send(message).detach().now_or_never();
    let placement = reply_receiver.await;
    guard.disarm();
    placement.unwrap_or(Placement::Refuse {
        reason: NotRunReason::ShuttingDown,
        retry_after: STOPPING_RETRY_AFTER,
    })
}

/// Cancels a queued request on drop, unless disarmed.
struct CancelGuard<'a> {
    actor: &'a Address<AdmissionActor>,
    ticket: RequestId,
    is_armed: bool,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let request = self.ticket;
            notify(self.actor, EntryEvent::Cancelled { request });
        }
    }
}
