//! What traffic and which faults a run brings.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Length of a run.
pub(crate) const RUN_LENGTH: Duration = Duration::from_secs(480);

/// A traffic profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// Reviews of long bulletins set in at once, summaries follow.
    StormOnset,
    /// More calls than the fleet can take for some minutes, then long histories.
    FloodNight,
    /// The mix swings by half, back and forth, every few minutes.
    MixSwing,
    /// One workspace sends more than the whole fleet can do.
    WorkspaceFlood,
    /// All cheap upstreams of a data centre vanish at once.
    CheapLost,
    /// Load and demand reports stand still while the mix swings.
    ReportsFrozen,
}

/// What the large pool is asked for at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Intensity {
    /// Work asked for, as a share of the configured large pool.
    pub(crate) utilisation: f64,
    /// Share of it that is prefill.
    pub(crate) prefill_share: f64,
    /// Work that the flooding workspace adds, as a share of the pool.
    pub(crate) flood: f64,
}

/// How one seed varies a profile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Variation {
    pub(crate) utilisation_factor: f64,
    pub(crate) share_offset: f64,
    pub(crate) time_offset: f64,
}

/// The index of the workspace that floods.
pub(crate) const FLOODING_WORKSPACE: usize = 3;
/// The data centre that loses its cheap upstreams.
pub(crate) const LOSING_DATA_CENTRE: usize = 0;
/// When it loses them.
pub(crate) const CHEAP_LOST_AT: Duration = Duration::from_secs(200);
/// When reports stop and resume.
pub(crate) const FROZEN: (Duration, Duration) =
    (Duration::from_secs(150), Duration::from_secs(330));

impl Profile {
    /// All profiles.
    pub const ALL: [Self; 6] = [
        Self::StormOnset,
        Self::FloodNight,
        Self::MixSwing,
        Self::WorkspaceFlood,
        Self::CheapLost,
        Self::ReportsFrozen,
    ];

    /// Returns the name used in tables and files.
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

    /// Returns what is asked for `seconds` after the start.
    pub(crate) fn intensity(self, seconds: f64, variation: Variation) -> Intensity {
        let time = seconds - variation.time_offset;
        let (utilisation, share, flood) = match self {
            Self::StormOnset => (
                curve(
                    time,
                    &[(110.0, 0.5), (125.0, 0.95), (260.0, 0.95), (300.0, 0.6)],
                ),
                curve(
                    time,
                    &[(110.0, 0.35), (125.0, 0.75), (230.0, 0.75), (260.0, 0.3)],
                ),
                0.0,
            ),
            Self::FloodNight => (
                curve(
                    time,
                    &[(60.0, 0.6), (90.0, 1.15), (240.0, 1.15), (280.0, 0.75)],
                ),
                curve(
                    time,
                    &[(60.0, 0.5), (90.0, 0.35), (240.0, 0.35), (280.0, 0.7)],
                ),
                0.0,
            ),
            Self::MixSwing | Self::ReportsFrozen => (0.92, swing(time), 0.0),
            Self::WorkspaceFlood => (
                0.7,
                0.5,
                curve(
                    time,
                    &[(120.0, 0.0), (125.0, 1.0), (360.0, 1.0), (365.0, 0.0)],
                ),
            ),
            Self::CheapLost => (0.7, curve(time, &[(100.0, 0.4), (300.0, 0.6)]), 0.0),
        };
        Intensity {
            utilisation: utilisation * variation.utilisation_factor,
            prefill_share: (share + variation.share_offset).clamp(0.1, 0.9),
            flood,
        }
    }
}

/// Swings between 0.25 and 0.75, with ramps of 30 s and level parts of 70 s.
fn swing(time: f64) -> f64 {
    const LOW: f64 = 0.25;
    const HIGH: f64 = 0.75;
    const RAMP: f64 = 30.0;
    const HALF_PERIOD: f64 = 100.0;
    let phase = time.max(0.0) % (2.0 * HALF_PERIOD);
    let rising = (phase / RAMP).min(1.0);
    let falling = ((phase - HALF_PERIOD) / RAMP).clamp(0.0, 1.0);
    match phase < HALF_PERIOD {
        true => LOW + (HIGH - LOW) * rising,
        false => HIGH - (HIGH - LOW) * falling,
    }
}

/// Interpolates between `(time, value)` points; level before and after them.
fn curve(time: f64, points: &[(f64, f64)]) -> f64 {
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
