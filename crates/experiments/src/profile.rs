//! Traffic profiles: the offered load over time, and the faults of a run.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Virtual time during which requests arrive.
pub(crate) const ARRIVAL_PERIOD: Duration = Duration::from_secs(480);

/// A traffic profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// Prefill-heavy requests rise sharply; decode-heavy requests follow.
    StormOnset,
    /// More load than the fleet can serve for some minutes, most of it decode,
    /// followed by prefill-heavy requests.
    FloodNight,
    /// The prefill share alternates between 0.25 and 0.75 with a period of
    /// 200 s.
    MixSwing,
    /// One workspace alone adds as much work as the whole large pool can do.
    WorkspaceFlood,
    /// All reclaimable upstreams of one data centre disappear at once.
    CheapLost,
    /// No load or demand report arrives for some minutes, while the mix
    /// alternates as in [`Profile::MixSwing`].
    ReportsFrozen,
}

/// The load offered to the large pool at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OfferedLoad {
    /// Work per second, as a share of the configured large pool's capacity.
    pub(crate) utilisation: f64,
    /// Share of this work that is prefill.
    pub(crate) prefill_share: f64,
    /// Additional work of the flooding workspace, as a share of the large
    /// pool's capacity.
    pub(crate) flood: f64,
}

/// Random changes that a seed makes to a profile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeedVariation {
    pub(crate) utilisation_factor: f64,
    pub(crate) prefill_share_offset: f64,
    /// Seconds by which the profile is shifted.
    pub(crate) time_offset: f64,
}

/// Index of the workspace that floods in [`Profile::WorkspaceFlood`].
pub(crate) const FLOODING_WORKSPACE: usize = 3;
/// Index of the data centre that loses its reclaimable upstreams in
/// [`Profile::CheapLost`].
pub(crate) const CHEAP_LOST_DATA_CENTRE: usize = 0;
/// Time from the start of the run at which they disappear.
pub(crate) const CHEAP_LOST_AT: Duration = Duration::from_secs(200);
/// Times from the start of the run at which reports stop and resume in
/// [`Profile::ReportsFrozen`].
pub(crate) const REPORTS_FROZEN_PERIOD: (Duration, Duration) =
    (Duration::from_secs(150), Duration::from_secs(330));

impl Profile {
    /// All profiles, in the order of the reports.
    pub const ALL: [Self; 6] = [
        Self::StormOnset,
        Self::FloodNight,
        Self::MixSwing,
        Self::WorkspaceFlood,
        Self::CheapLost,
        Self::ReportsFrozen,
    ];

    /// Returns the name used in tables, plots and result files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::StormOnset => "storm-onset",
            Self::FloodNight => "flood-night",
            Self::MixSwing => "mix-swing",
            Self::WorkspaceFlood => "workspace-flood",
            Self::CheapLost => "cheap-lost",
            Self::ReportsFrozen => "reports-frozen",
        }
    }

    /// Returns the load offered `seconds` after the start of the run.
    pub(crate) fn offered_load(self, seconds: f64, variation: SeedVariation) -> OfferedLoad {
        let time = seconds - variation.time_offset;
        let (utilisation, share, flood) = match self {
            Self::StormOnset => (
                interpolate(
                    time,
                    &[(110.0, 0.5), (125.0, 0.95), (260.0, 0.95), (300.0, 0.6)],
                ),
                interpolate(
                    time,
                    &[(110.0, 0.35), (125.0, 0.75), (230.0, 0.75), (260.0, 0.3)],
                ),
                0.0,
            ),
            Self::FloodNight => (
                interpolate(
                    time,
                    &[(60.0, 0.6), (90.0, 1.15), (240.0, 1.15), (280.0, 0.75)],
                ),
                interpolate(
                    time,
                    &[(60.0, 0.5), (90.0, 0.35), (240.0, 0.35), (280.0, 0.7)],
                ),
                0.0,
            ),
            Self::MixSwing | Self::ReportsFrozen => (0.92, alternating_share(time), 0.0),
            Self::WorkspaceFlood => (
                0.7,
                0.5,
                interpolate(
                    time,
                    &[(120.0, 0.0), (125.0, 1.0), (360.0, 1.0), (365.0, 0.0)],
                ),
            ),
            Self::CheapLost => (0.7, interpolate(time, &[(100.0, 0.4), (300.0, 0.6)]), 0.0),
        };
        OfferedLoad {
            utilisation: utilisation * variation.utilisation_factor,
            prefill_share: (share + variation.prefill_share_offset).clamp(0.1, 0.9),
            flood,
        }
    }
}

/// Alternates between 0.25 and 0.75, with ramps of 30 s and constant parts of
/// 70 s.
fn alternating_share(time: f64) -> f64 {
    const LOW: f64 = 0.25;
    const HIGH: f64 = 0.75;
    const RAMP: f64 = 30.0;
    const HALF_PERIOD: f64 = 100.0;
    let position = time.max(0.0) % (2.0 * HALF_PERIOD);
    let rising = (position / RAMP).min(1.0);
    let falling = ((position - HALF_PERIOD) / RAMP).clamp(0.0, 1.0);
    match position < HALF_PERIOD {
        true => LOW + (HIGH - LOW) * rising,
        false => HIGH - (HIGH - LOW) * falling,
    }
}

/// Interpolates linearly between `(time, value)` points; constant before the
/// first and after the last.
fn interpolate(time: f64, points: &[(f64, f64)]) -> f64 {
    let after = points.iter().position(|(at, _)| *at > time);
    match after {
        Some(0) => points[0].1,
        Some(index) => {
            let (start, from) = points[index - 1];
            let (end, to) = points[index];
            from + (to - from) * (time - start) / (end - start)
        }
        None => points.last().map_or(0.0, |(_, value)| *value),
    }
}
