//! What is asked of each workspace's limit, and by whom.
//!
//! A limit holds for all hosts together, but no request may cost a call to
//! another host. Each entry process therefore measures what it is asked for and
//! learns what all others are asked for; its part of a limit is its part of the
//! demand. Workspaces are divided into groups; in each data centre one process
//! adds up the demand of a group, and the adders of a group tell each other
//! their data centres' totals. Who adds up follows from the list of members
//! alone; when two processes disagree about it, some demand counts late, not
//! twice.
//!
//! This module holds the figures and does no I/O.

use crate::membership::{Member, MemberState};
use lagoonlift_types::{DataCentreName, ProcessId, ProcessRole, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Groups that workspaces are divided into.
const GROUPS: u8 = 16;

/// How long the demand at a process counts after it was told.
const PROCESS_FRESH: Duration = Duration::from_secs(1);

/// How long the demand at another data centre counts after it was told: one
/// that is cut off from this one keeps its part for a while.
const DATA_CENTRE_FRESH: Duration = Duration::from_secs(30);

/// What is asked of one workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Tokens a second.
    pub tokens_per_second: f64,
}

impl Add for Demand {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests_per_second: self.requests_per_second + other.requests_per_second,
            tokens_per_second: self.tokens_per_second + other.tokens_per_second,
        }
    }
}

impl Sub for Demand {
    type Output = Self;

    /// Subtracts, but not below zero.
    fn sub(self, other: Self) -> Self {
        let less = |a: f64, b: f64| (a - b).max(0.0);
        Self {
            requests_per_second: less(self.requests_per_second, other.requests_per_second),
            tokens_per_second: less(self.tokens_per_second, other.tokens_per_second),
        }
    }
}

/// Demand for several workspaces.
pub type DemandMap = BTreeMap<WorkspaceName, Demand>;

/// Whose demand a report tells.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DemandSource {
    /// That at one process; answered with the totals of all data centres.
    Process(ProcessId),
    /// That at all processes of a data centre; answered with the same of the
    /// receiver's.
    DataCentre(DataCentreName),
}

/// A group of workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandGroup(u8);

impl DemandGroup {
    pub(crate) fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }

    pub(crate) fn of(workspace: &WorkspaceName) -> Self {
        let digest = blake3::hash(workspace.as_str().as_bytes());
        Self(digest.as_bytes()[0] % GROUPS)
    }

    /// Returns which of the entry processes adds the group up: the one whose
    /// hash with the group is highest, so that a process that comes or goes
    /// moves only its own groups.
    pub(crate) fn adder<'a>(
        self,
        processes: impl Iterator<Item = &'a ProcessId>,
    ) -> Option<&'a ProcessId> {
        let rank = |process: &&ProcessId| {
            let digest = blake3::hash(format!("{process} {}", self.0).as_bytes());
            *digest.as_bytes()
        };
        processes.max_by_key(rank)
    }
}

/// Returns whether a member takes part in adding up.
pub(crate) fn is_adder(member: &Member) -> bool {
    member.process.role == ProcessRole::Entry && member.state == MemberState::Alive
}

#[derive(Clone, Copy, Debug)]
struct HeldDemand {
    seen: Duration,
    demand: Demand,
}

/// The demand that was told to this process. Times are since its start.
#[derive(Debug, Default)]
pub struct DemandTable {
    held: BTreeMap<(DemandSource, WorkspaceName), HeldDemand>,
}

impl DemandTable {
    /// Creates a board without figures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Holds what a source tells at `now`.
    pub fn record(&mut self, now: Duration, source: &DemandSource, demands: &DemandMap) {
        for (workspace, demand) in demands {
            let key = (source.clone(), workspace.clone());
            let held = HeldDemand {
                seen: now,
                demand: *demand,
            };
            self.held.insert(key, held);
        }
    }

    /// Forgets what is too old, and processes that are gone. `stretch` is how
    /// many times longer than in a small system reports take.
    pub fn expire(&mut self, now: Duration, stretch: u32, is_live: impl Fn(&ProcessId) -> bool) {
        self.held.retain(|(source, _), held| {
            let age = now.saturating_sub(held.seen);
            match source {
                DemandSource::Process(process) => {
                    age <= PROCESS_FRESH * stretch && is_live(process)
                }
                DemandSource::DataCentre(_) => age <= DATA_CENTRE_FRESH * stretch,
            }
        });
    }

    /// Adds up the demand at the processes of this data centre.
    pub fn local_totals(&self) -> DemandMap {
        self.add_up(|source| matches!(source, DemandSource::Process(_)))
    }

    /// Adds up the demand at all data centres.
    pub fn totals(&self) -> DemandMap {
        self.add_up(|_| true)
    }

    fn add_up(&self, counts: impl Fn(&DemandSource) -> bool) -> DemandMap {
        let mut totals = DemandMap::new();
        for ((source, workspace), held) in &self.held {
            if counts(source) {
                let total = totals.entry(workspace.clone()).or_default();
                *total = *total + held.demand;
            }
        }
        totals
    }
}
