//! Messages of the admission actor.

use crate::slot::UpstreamSlot;
use crate::upstream_handle::{UpstreamDescription, UpstreamId};
use lagoonlift_policy::{EntryEvent, PrefixHash, Target, UpstreamKey};
use lagoonlift_types::{Configuration, NotRunReason, RequestId, Urgency, WorkspaceName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The request properties that the policy decides on, with names and instants
/// in place of the policy's keys and timestamps.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) request: RequestId,
    /// Identifies this placement to the policy. It differs from `request` if the
    /// request is placed while an earlier attempt still runs.
    pub(crate) ticket: RequestId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) urgency: Urgency,
    pub(crate) target: Target,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) prefix: Option<PrefixHash>,
}

/// The policy's decision on a request.
#[derive(Debug)]
pub(crate) enum Placement {
    /// Send the request to the upstream of this slot.
    Dispatch(UpstreamSlot),
    /// Don't send the request.
    Refuse {
        reason: NotRunReason,
        retry_after: Duration,
    },
}

/// Requests a placement. The reply arrives once the request leaves the queue.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) placement_request: PlacementRequest,
    /// Upstreams that already failed the request; `None` for the first attempt.
    pub(crate) avoid: Option<Vec<UpstreamKey>>,
    /// The silent upstream that should be replaced. Unlike those to avoid, it is
    /// never chosen.
    pub(crate) replaced: Option<UpstreamKey>,
    pub(crate) reply: oneshot::Sender<Placement>,
}

/// Reports an event to the policy.
#[derive(Debug)]
pub(crate) struct Observe(pub(crate) EntryEvent);

/// Reports that an upstream was silent for too long on an attempt that goes on.
#[derive(Debug)]
pub(crate) struct ReportSilence(pub(crate) UpstreamKey);

/// Replaces the known workspaces and upstreams.
#[derive(Debug)]
pub(crate) struct Reconfigure {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) upstreams: BTreeMap<UpstreamId, UpstreamDescription>,
    /// Number of entry processes that share the same upstreams.
    pub(crate) entry_processes: u32,
}

/// Requests the handles of all upstreams, for load polling.
#[derive(Debug)]
pub(crate) struct ListUpstreams;
