//! Formats decisions as text for operators.

use crate::{Decision, DecisionStep, Evidence, HoldReason, RecordedDecision};
use lagoonlift_types::{NotRunReason, UpstreamRole};
use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

impl fmt::Display for RecordedDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Decision {
            subject,
            step,
            evidence,
            authority,
        } = &self.decision;
        let at = UNIX_EPOCH + Duration::from_millis(self.at);
        write!(f, "{} ", humantime::format_rfc3339_millis(at))?;
        write!(f, "{step}")?;
        if let Some(upstream) = &subject.upstream {
            write!(f, " at {upstream}")?;
        }
        if let Some(request) = &subject.request {
            write!(f, " for request {request}")?;
        }
        if let Some(workspace) = &subject.workspace {
            write!(f, " of {workspace}")?;
        }
        write!(f, " by {}", authority.holder)?;
        if let Some(epoch) = authority.epoch {
            write!(f, " at epoch {epoch}")?;
        }
        write!(f, " under revision {}", authority.revision)?;
        for (i, fact) in evidence.iter().enumerate() {
            let separator = if i == 0 { ": " } else { ", " };
            write!(f, "{separator}{fact}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DecisionStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted => f.write_str("admitted"),
            Self::Queued => f.write_str("queued"),
            Self::Dispatched { attempt, priority } => {
                write!(f, "dispatched (attempt {attempt}, priority {priority})")
            }
            Self::Refused { reason } => write!(f, "refused, not run ({})", reason_name(*reason)),
            Self::Ended { outcome } => write!(f, "ended as {outcome}"),
            Self::RoleChange { role } => write!(f, "ordered to become {}", role_name(*role)),
            Self::ModelLoad { model } => write!(f, "ordered to load {model}"),
            Self::AdapterLoad { adapter } => write!(f, "ordered to load adapter {adapter}"),
            Self::VersionLoad { version } => write!(f, "ordered to load version {version}"),
            Self::Held { reason } => write!(f, "left as it is ({reason})"),
            Self::OrderEnded { succeeded: true } => f.write_str("order done"),
            Self::OrderEnded { succeeded: false } => f.write_str("order failed"),
            Self::Draining => f.write_str("draining"),
            Self::LeaseTaken => f.write_str("lease taken"),
            Self::LeaseLost => f.write_str("lease lost"),
            Self::UpstreamsOrdered { count } => write!(f, "{count} upstreams ordered"),
            Self::UpstreamReturned => f.write_str("given back"),
            Self::WindowSealed { window } => write!(f, "usage window {window} sealed"),
            Self::WindowReported { window } => write!(f, "usage window {window} reported"),
        }
    }
}

fn role_name(role: UpstreamRole) -> &'static str {
    match role {
        UpstreamRole::Prefill => "prefill",
        UpstreamRole::Decode => "decode",
        UpstreamRole::Mixed => "mixed",
    }
}

fn reason_name(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Unauthorized => "no valid key",
        NotRunReason::BadRequest => "malformed request",
        NotRunReason::NotFound => "no such model or route",
        NotRunReason::TooLarge => "too large",
        NotRunReason::LimitReached => "limit reached",
        NotRunReason::Overloaded => "overloaded",
        NotRunReason::NoUpstream => "no upstream",
        NotRunReason::StoreUnavailable => "store unavailable",
        NotRunReason::ShuttingDown => "shutting down",
    }
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StaleReports => "reports are too old",
            Self::TooCostly => "the gain doesn't pay for the seconds away",
            Self::EnoughUnavailable => "enough engines are away",
            Self::OrderOpen => "another order is open",
            Self::FormerHolder => "the former holder may still send orders",
        })
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Planned(id) => write!(f, "asked for by the steward's plan {id}"),
            Self::Requested(id) => write!(f, "asked for by operator's request {id}"),
            Self::TimeLeft(left) => write!(f, "{} ms left", left.as_millis()),
            Self::Idempotent(true) => f.write_str("may run twice"),
            Self::Idempotent(false) => f.write_str("may not run twice"),
            Self::InFlight(count) => write!(f, "{count} in flight from here"),
            Self::Load {
                prefill_backlog_tokens,
                active_streams,
                age,
            } => write!(
                f,
                "{prefill_backlog_tokens} tokens waiting and {active_streams} streams {} ms ago",
                age.as_millis()
            ),
            Self::PrefixHeld => f.write_str("prompt's beginning cached"),
            Self::QueueLength(length) => write!(f, "{length} queued here"),
            Self::Avoided(upstream) => write!(f, "{upstream} failed it before"),
            Self::TokensDelivered(tokens) => write!(f, "{tokens} tokens delivered"),
            Self::PrefillShare(share) => write!(f, "prefill share {share:.2}"),
            Self::ExpectedPrefillShare(share) => write!(f, "expected prefill share {share:.2}"),
            Self::EnginesUnavailable(count) => write!(f, "{count} engines away"),
        }
    }
}
