//! The compared strategies: the production policies, four baselines and an
//! upper bound.

use serde::{Deserialize, Serialize};

/// A strategy for routing requests and assigning engine roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Contender {
    /// The entry policy and the fleet policy, as the daemons run them.
    Planned,
    /// The entry policy with engine roles fixed as configured.
    StaticSplit,
    /// The entry policy; every second, roles change to fit the traffic mix of
    /// the last five seconds.
    FollowMix,
    /// Round-robin routing without a queue; engine roles are fixed.
    RoundRobin,
    /// The entry policy; every engine runs both prefill and decode.
    AllMixed,
    /// An upper bound: it knows the future requests and the current load of
    /// every engine, and its role changes and upstream orders take no time.
    Oracle,
}

impl Contender {
    /// All contenders, in the order of the reports.
    pub const ALL: [Self; 6] = [
        Self::Planned,
        Self::StaticSplit,
        Self::FollowMix,
        Self::RoundRobin,
        Self::AllMixed,
        Self::Oracle,
    ];

    /// Returns the name used in tables, plots and result files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::StaticSplit => "static-split",
            Self::FollowMix => "follow-mix",
            Self::RoundRobin => "round-robin",
            Self::AllMixed => "all-mixed",
            Self::Oracle => "oracle",
        }
    }
}
