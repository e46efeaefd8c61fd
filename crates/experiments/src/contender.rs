//! What is compared: the policy, four baselines and an upper bound.

use serde::{Deserialize, Serialize};

/// One way to run a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Contender {
    /// The entry policy and the fleet policy, as the daemons run them.
    Planned,
    /// The entry policy; roles stay as configured.
    StaticSplit,
    /// The entry policy; roles follow the mix of the last seconds at once.
    FollowMix,
    /// Requests go to the engines in turn, without a queue; roles stay.
    RoundRobin,
    /// The entry policy; every engine does both phases.
    AllMixed,
    /// Knows the requests to come and every engine's load, changes roles and
    /// gets upstreams at once: an upper bound.
    Oracle,
}

impl Contender {
    /// All contenders.
    pub const ALL: [Self; 6] = [
        Self::Planned,
        Self::StaticSplit,
        Self::FollowMix,
        Self::RoundRobin,
        Self::AllMixed,
        Self::Oracle,
    ];

    /// Returns the name used in tables and files.
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
