//! A guard that ties a claim to the request that made it.
//!
//! However a request ends, its claim must end with it: released if nothing ran,
//! otherwise updated with the request's final state. Dropping the guard applies
//! whichever change is correct at that moment, so the claim is resolved even if
//! the caller disconnects.

use crate::claim::{
    Claim, ClaimChange, ClaimKey, ClaimResult, ClaimShard, ClaimState, ContentDigest,
};
use crate::claim_actor::{ChangeClaim, ClaimActor, ClaimStoreError, unix_seconds};
use futures::FutureExt;
use http::{HeaderMap, HeaderValue};
use lagoonlift_callers::{IDEMPOTENCY_HEADER, OutcomeReply};
use lagoonlift_types::{NotRunReason, Outcome, RequestId, WorkspaceName};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use xtra::Address;

/// `Retry-After` value when a claim can't be made now.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Returns the caller's `Idempotency-Key`, if there is one; refuses an empty or
/// too long one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<Vec<u8>>, OutcomeReply> {
    match headers.get(IDEMPOTENCY_HEADER).map(HeaderValue::as_bytes) {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(OutcomeReply::not_run(
            NotRunReason::BadRequest,
            None,
            "the idempotency key must have between 1 and 255 bytes",
        )),
        Some(key) => Ok(Some(key.to_vec())),
    }
}

/// A request's `Idempotency-Key` and the content that it stands for.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRequest {
    pub(crate) workspace: WorkspaceName,
    pub(crate) idempotency_key: Vec<u8>,
    pub(crate) content: ContentDigest,
}

/// A claim held by a running request; resolved on drop.
pub(crate) struct ClaimGuard {
    actor: Address<ClaimActor>,
    shard: ClaimShard,
    key: ClaimKey,
    request: RequestId,
    change_timeout: Duration,
    /// Change that is sent when the guard is dropped.
    on_drop: Option<ClaimChange>,
}

impl ClaimGuard {
    /// Claims the key for `request`.
    ///
    /// # Errors
    ///
    /// Returns the reply for the caller if the request must not run.
    pub(crate) async fn acquire(
        actor: Address<ClaimActor>,
        claim_request: ClaimRequest,
        request: RequestId,
        change_timeout: Duration,
    ) -> Result<Self, OutcomeReply> {
        let (shard, key) =
            ClaimKey::locate(&claim_request.workspace, &claim_request.idempotency_key);
        let mut guard = Self {
            actor,
            shard,
            key,
            request,
            change_timeout,
            on_drop: Some(ClaimChange::Release { request }),
        };
        let claim = Claim {
            request,
            content: claim_request.content.clone(),
            state: ClaimState::Open,
            made_at: unix_seconds(),
        };
        let refusal = match guard.change(ClaimChange::Open(claim)).await {
            Ok(ClaimResult::Applied) => return Ok(guard),
            Ok(ClaimResult::HeldByOther(claim)) => {
                held_by_other_reply(&claim, &claim_request.content)
            }
            Ok(ClaimResult::Full) => store_unavailable_reply(),
            // The guard is dropped with its release pending, which undoes a
            // claim that may have been applied.
            Err(ClaimStoreError {
                may_be_applied: true,
            }) => return Err(store_unavailable_reply()),
            Err(ClaimStoreError {
                may_be_applied: false,
            }) => store_unavailable_reply(),
        };
        guard.on_drop = None;
        Err(refusal)
    }

    /// Marks the request as about to be sent: from now on it may have run.
    pub(crate) fn mark_sending(&mut self) {
        self.on_drop = Some(ClaimChange::Finish {
            request: self.request,
            state: ClaimState::Unknown,
        });
    }

    /// Marks the last attempt as certainly not run.
    pub(crate) fn mark_not_run(&mut self) {
        let request = self.request;
        self.on_drop = Some(ClaimChange::Release { request });
    }

    /// Ends the claim with the request's outcome.
    pub(crate) async fn end(mut self, outcome: &Outcome) {
        let request = self.request;
        let finish = |state| ClaimChange::Finish { request, state };
        let change = match outcome {
            Outcome::NotRun { .. } => ClaimChange::Release { request },
            Outcome::Answered => finish(ClaimState::Answered),
            Outcome::Failed => finish(ClaimState::Failed),
            Outcome::Unknown => finish(ClaimState::Unknown),
        };
        self.on_drop = Some(change.clone());
        match self.change(change).await {
            // The actor retries final states and releases by itself.
            Ok(_) | Err(_) => self.on_drop = None,
        }
    }

    async fn change(&self, change: ClaimChange) -> Result<ClaimResult, ClaimStoreError> {
        let (reply, result) = oneshot::channel();
        self.send(change, reply);
        let result = timeout(self.change_timeout, result).await;
        match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ClaimStoreError {
                may_be_applied: true,
            }),
        }
    }

    fn send(
        &self,
        change: ClaimChange,
        reply: oneshot::Sender<Result<ClaimResult, ClaimStoreError>>,
    ) {
        let message = ChangeClaim {
            shard: self.shard.clone(),
            key: self.key.clone(),
            change,
            reply,
        };
        // The mailbox is unbounded, so the first poll enqueues the message.
        let _ = self.actor.send(message).detach().now_or_never();
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(change) = self.on_drop.take() {
            let (reply, _) = oneshot::channel();
            self.send(change, reply);
        }
    }
}

/// Returns the reply for a claim that couldn't be confirmed, or whose object has
/// reached its maximum number of claims.
fn store_unavailable_reply() -> OutcomeReply {
    OutcomeReply::not_run(
        NotRunReason::StoreUnavailable,
        Some(STORE_RETRY_AFTER),
        "the idempotency key can't be checked now; the request was not run",
    )
}

fn held_by_other_reply(claim: &Claim, content: &ContentDigest) -> OutcomeReply {
    if claim.content != *content {
        return OutcomeReply::not_run(
            NotRunReason::BadRequest,
            None,
            "the idempotency key was used for another request",
        );
    }
    let (outcome, message) = match claim.state {
        ClaimState::Open => (
            Outcome::Unknown,
            "a request with this idempotency key is running, or was lost while it ran",
        ),
        ClaimState::Answered => (
            Outcome::Answered,
            "the request with this idempotency key already ran and was answered",
        ),
        ClaimState::Failed => (
            Outcome::Failed,
            "the request with this idempotency key already ran and failed",
        ),
        ClaimState::Unknown => (
            Outcome::Unknown,
            "the request with this idempotency key may have run",
        ),
    };
    OutcomeReply::already_ran(outcome, message)
}
