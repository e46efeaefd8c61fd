//! Demand on each workspace's limits, by process and data centre.
//!
//! A limit applies to all hosts together, but no request may wait for a call to
//! another host. Each entry process therefore measures its own demand and
//! learns the demand at all others. Its share of a limit is its share of the
//! demand.
//!
//! Workspaces are divided into groups. In each data centre, one process, the
//! aggregator, adds up the demand on a group, and the aggregators of a group
//! exchange the totals of their data centres. Which process is the aggregator
//! follows from the list of members alone. When two processes disagree about
//! it, some demand counts late, but none counts twice.
//!
//! This module holds the figures and does no I/O.

use crate::membership::{Member, MemberState};
use lagoonlift_types::{DataCentreName, ProcessId, ProcessRole, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Number of groups that workspaces are divided into.
const GROUPS: u8 = 16;

/// How long reported demand of a process counts.
const PROCESS_DEMAND_TTL: Duration = Duration::from_secs(1);

/// How long reported demand of another data centre counts. It is longer than
/// for a process, so that a data centre that becomes unreachable keeps its
/// share for a while.
const DATA_CENTRE_DEMAND_TTL: Duration = Duration::from_secs(30);

/// Demand on one workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Tokens per second.
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
        let saturating_sub = |a: f64, b: f64| (a - b).max(0.0);
        Self {
            requests_per_second: saturating_sub(
                self.requests_per_second,
                other.requests_per_second,
            ),
            tokens_per_second: saturating_sub(self.tokens_per_second, other.tokens_per_second),
        }
    }
}

/// Demand on the limits of several workspaces.
pub type DemandMap = BTreeMap<WorkspaceName, Demand>;

/// The origin of a demand report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DemandSource {
    /// The demand at one process. The response contains the totals over all
    /// data centres.
    Process(ProcessId),
    /// The demand at all processes of a data centre. The response contains the
    /// same for the receiver's data centre.
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

    /// Returns the entry process that aggregates the demand on the group. It is
    /// the one with the highest hash of process and group, so that a process
    /// that joins or leaves moves only its own groups.
    pub(crate) fn aggregator<'a>(
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

/// Returns whether a member can be an aggregator.
pub(crate) fn can_aggregate(member: &Member) -> bool {
    member.process.role == ProcessRole::Entry && member.state == MemberState::Alive
}

#[derive(Clone, Copy, Debug)]
struct ReportedDemand {
    reported_at: Duration,
    demand: Demand,
}

/// The demand that was reported to this process. Times count from the start of
/// the process.
#[derive(Debug, Default)]
pub struct DemandTable {
    reports: BTreeMap<(DemandSource, WorkspaceName), ReportedDemand>,
}

impl DemandTable {
    /// Creates a table without figures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the demand that a source reported at `now`.
    pub fn record(&mut self, now: Duration, source: &DemandSource, demands: &DemandMap) {
        for (workspace, demand) in demands {
            let key = (source.clone(), workspace.clone());
            let report = ReportedDemand {
                reported_at: now,
                demand: *demand,
            };
            self.reports.insert(key, report);
        }
    }

    /// Removes reports that are too old and those of processes that aren't
    /// live. `interval_factor` is the factor by which a large system lengthens
    /// the report intervals.
    pub fn expire(
        &mut self,
        now: Duration,
        interval_factor: u32,
        is_live: impl Fn(&ProcessId) -> bool,
    ) {
        self.reports.retain(|(source, _), report| {
            let age = now.saturating_sub(report.reported_at);
            match source {
                DemandSource::Process(process) => {
                    age <= PROCESS_DEMAND_TTL * interval_factor && is_live(process)
                }
                DemandSource::DataCentre(_) => age <= DATA_CENTRE_DEMAND_TTL * interval_factor,
            }
        });
    }

    /// Returns the total demand at the processes of this data centre.
    pub fn local_totals(&self) -> DemandMap {
        self.sum_where(|source| matches!(source, DemandSource::Process(_)))
    }

    /// Returns the total demand over all data centres.
    pub fn totals(&self) -> DemandMap {
        self.sum_where(|_| true)
    }

    fn sum_where(&self, is_included: impl Fn(&DemandSource) -> bool) -> DemandMap {
        let mut totals = DemandMap::new();
        for ((source, workspace), report) in &self.reports {
            if is_included(source) {
                let total = totals.entry(workspace.clone()).or_default();
                *total = *total + report.demand;
            }
        }
        totals
    }
}
