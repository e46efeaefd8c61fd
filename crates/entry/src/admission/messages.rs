//! What the admission actor is told and asked.

use crate::slot::UpstreamSlot;
use crate::upstream_handle::{UpstreamDescription, UpstreamId};
use lagoonlift_policy::{EntryEvent, PrefixHash, Target, UpstreamKey};
use lagoonlift_types::{Configuration, NotRunReason, RequestId, Urgency, WorkspaceName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What the policy has to know of a request, in the entry's own terms.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) urgency: Urgency,
    pub(crate) target: Target,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) prefix: Option<PrefixHash>,
}

/// Where a request goes.
#[derive(Debug)]
pub(crate) enum Placement {
    /// To the upstream whose slot this is.
    Dispatch(UpstreamSlot),
    /// Nowhere.
    Refuse {
        reason: NotRunReason,
        retry_after: Duration,
    },
}

/// Asks for a place; the reply may take as long as the request is queued.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) placement_request: PlacementRequest,
    /// Upstreams that already failed the request; `None` at the first attempt.
    pub(crate) avoid: Option<Vec<UpstreamKey>>,
    pub(crate) reply: oneshot::Sender<Placement>,
}

/// Tells the policy what happened.
#[derive(Debug)]
pub(crate) struct Observe(pub(crate) EntryEvent);

/// Replaces what is known of workspaces and upstreams.
#[derive(Debug)]
pub(crate) struct Reconfigure {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) upstreams: BTreeMap<UpstreamId, UpstreamDescription>,
    /// Entry processes that place work on the same upstreams.
    pub(crate) entry_processes: u32,
}

/// Asks for all engines, to poll them.
#[derive(Debug)]
pub(crate) struct ListUpstreams;
