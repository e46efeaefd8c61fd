//! Decides how many engines of a model prefill and how many decode.
//!
//! A role change makes an engine unavailable for seconds. A change is therefore
//! worthwhile only if, over the payback horizon, it saves a multiple of the
//! capacity that it costs. Savings and costs are measured in engine-seconds.

use crate::{EngineRates, FleetLimits, LoadReport, PhaseWork};
use lagoonlift_types::UpstreamRole;
use std::time::Duration;

/// Number of concurrent streams that fully use one decode engine.
const FULL_BATCH_STREAMS: f64 = 64.0;

/// Prefill throughput of the spare capacity of a decode engine, relative to a
/// prefill engine.
const OVERFLOW_EFFICIENCY: f64 = 0.5;

/// Number of engines of one model by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RoleCounts {
    pub(crate) prefill: usize,
    pub(crate) decode: usize,
    pub(crate) mixed: usize,
}

impl RoleCounts {
    pub(crate) fn from_roles(roles: impl Iterator<Item = UpstreamRole>) -> Self {
        let mut counts = Self::default();
        for role in roles {
            match role {
                UpstreamRole::Prefill => counts.prefill += 1,
                UpstreamRole::Decode => counts.decode += 1,
                UpstreamRole::Mixed => counts.mixed += 1,
            }
        }
        counts
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
            mixed: self.mixed + other.mixed,
        }
    }

    pub(crate) fn total(self) -> usize {
        self.prefill + self.decode + self.mixed
    }

    /// Returns the part of `work`, in engines, that engines with these roles
    /// can't serve when each is used up to `utilisation`.
    fn unserved(self, work: PhaseWork, utilisation: f64) -> f64 {
        let spare_decode = (utilisation * self.decode as f64 - work.decode).max(0.0);
        let short_prefill = (work.prefill - utilisation * self.prefill as f64).max(0.0);
        let short_prefill = (short_prefill - OVERFLOW_EFFICIENCY * spare_decode).max(0.0);
        let short_decode = (work.decode - utilisation * self.decode as f64).max(0.0);
        (short_prefill + short_decode - utilisation * self.mixed as f64).max(0.0)
    }
}

/// A change of one engine from one role to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoleChange {
    pub(crate) from: UpstreamRole,
    pub(crate) to: UpstreamRole,
}

/// A role change that saves enough, with its expected saving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ScoredRoleChange {
    pub(crate) change: RoleChange,
    /// Expected saving as a multiple of the minimum saving of a role change.
    pub(crate) relative_saving: f64,
}

/// Returns the role change that saves the most over the payback horizon, or
/// `None` if no change saves enough. The last engine of a role never changes.
pub(crate) fn best_role_change(
    counts: RoleCounts,
    work: PhaseWork,
    limits: &FleetLimits,
) -> Option<ScoredRoleChange> {
    let to_prefill = (counts.decode > 1).then(|| {
        let counts_after = RoleCounts {
            prefill: counts.prefill + 1,
            decode: counts.decode - 1,
            ..counts
        };
        let change = RoleChange {
            from: UpstreamRole::Decode,
            to: UpstreamRole::Prefill,
        };
        (change, counts_after)
    });
    let to_decode = (counts.prefill > 1).then(|| {
        let counts_after = RoleCounts {
            prefill: counts.prefill - 1,
            decode: counts.decode + 1,
            ..counts
        };
        let change = RoleChange {
            from: UpstreamRole::Prefill,
            to: UpstreamRole::Decode,
        };
        (change, counts_after)
    });
    let unserved = counts.unserved(work, limits.target_utilisation);
    let min_saving = limits.change_downtime.as_secs_f64() * limits.min_saving_ratio;
    let options = [to_prefill, to_decode].into_iter().flatten();
    let savings = options.map(|(change, counts_after)| {
        let engines_saved = unserved - counts_after.unserved(work, limits.target_utilisation);
        (change, engines_saved * limits.payback_horizon.as_secs_f64())
    });
    let worthwhile = savings.filter(|(_, saving)| *saving > min_saving);
    let best = worthwhile.max_by(|(_, a), (_, b)| a.total_cmp(b));
    best.map(|(change, saving)| ScoredRoleChange {
        change,
        relative_saving: saving / min_saving,
    })
}

/// Estimates the work of one engine from its load report.
///
/// An engine with any prefill backlog counts as 0.9 engines busy with prefill,
/// plus what it takes to clear the backlog within `catch_up_time`.
pub(crate) fn engine_work_from_load_report(
    report: &LoadReport,
    rates: EngineRates,
    catch_up_time: Duration,
) -> PhaseWork {
    let backlog_seconds = report.prefill_backlog_tokens as f64 / rates.prefill_tokens_per_second;
    let busy_share = if report.prefill_backlog_tokens > 0 {
        0.9
    } else {
        0.0
    };
    PhaseWork {
        prefill: busy_share + backlog_seconds / catch_up_time.as_secs_f64(),
        decode: f64::from(report.active_streams) / FULL_BATCH_STREAMS,
    }
}
