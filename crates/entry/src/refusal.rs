//! Replies to callers for requests that are refused, or for which no attempt
//! succeeded.

use crate::body::BodyError;
use crate::retry::RunEvidence;
use lagoonlift_callers::OutcomeReply;
use lagoonlift_types::{NotRunReason, Outcome};
use std::time::Duration;

/// Returns the reply to a request without a valid key: the key is missing,
/// unknown, withdrawn or another workspace's. A route that doesn't exist gets the
/// same reply, unless the key is valid for its workspace.
pub(crate) fn unauthorized_reply() -> OutcomeReply {
    OutcomeReply::not_run(
        NotRunReason::Unauthorized,
        None,
        "the key is missing, unknown or withdrawn",
    )
}

/// Returns the reply to a malformed request.
pub(crate) fn bad_request(message: impl Into<String>) -> OutcomeReply {
    OutcomeReply::not_run(NotRunReason::BadRequest, None, message)
}

/// Returns the reply to a request for a resource that doesn't exist.
pub(crate) fn not_found(message: impl Into<String>) -> OutcomeReply {
    OutcomeReply::not_run(NotRunReason::NotFound, None, message)
}

/// Returns the reply to a request whose body couldn't be read.
pub(crate) fn body_reply(error: BodyError) -> OutcomeReply {
    let reason = match error {
        BodyError::TooLarge(_) => NotRunReason::TooLarge,
        BodyError::TooSlow | BodyError::Broken => NotRunReason::BadRequest,
    };
    OutcomeReply::not_run(reason, None, error.to_string())
}

/// Returns the reply to a request that gets no further attempt, depending on
/// whether it ran. "Ran" means that a response arrived, so a request that an
/// engine rejected as invalid is also reported to have run and failed.
pub(crate) fn failure_reply(
    evidence: RunEvidence,
    reason: NotRunReason,
    retry_after: Duration,
) -> OutcomeReply {
    match evidence {
        RunEvidence::NotRun => {
            OutcomeReply::not_run(reason, Some(retry_after), not_run_message(reason))
        }
        RunEvidence::MayHaveRun => OutcomeReply::new(
            Outcome::Unknown,
            "the upstream didn't answer; the request may have run",
        ),
        RunEvidence::Ran => OutcomeReply::new(Outcome::Failed, "the request ran and failed"),
    }
}

fn not_run_message(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Overloaded => "the system is overloaded; the request was not run",
        NotRunReason::ShuttingDown => "this host is stopping; the request was not run",
        _ => "no upstream can take the request now; it was not run",
    }
}
