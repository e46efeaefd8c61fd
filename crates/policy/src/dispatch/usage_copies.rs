//! Copies of other hosts' usage counts, for hosts that can't publish them.
//!
//! Every host sends its counts of the current window, and of windows that it hasn't
//! published, to a few peers about once a second. A peer publishes such a copy with its
//! own counts if the host states that it couldn't, or if the host has fallen silent,
//! because it may have been killed. A copy that is published needlessly changes no sum,
//! since of several counts of one incarnation only the latest ones are used.

use super::UsageWindow;
use super::usage::WindowCounts;
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a copy from an incarnation after which it may have been killed.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Most copies that a host keeps. Further ones are dropped, which can make a sum too
/// small, and nothing else.
const MAX_COPIES: usize = 8_192;

/// The counts of one incarnation of a host in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCopy {
    /// Name of the host.
    pub host: String,
    /// Identifies the incarnation.
    pub start_id: i64,
    /// Unix time of the copy by the host's clock, in microseconds.
    pub unix_us: i64,
    /// Number of the window.
    pub window: u64,
    /// The counts.
    pub counts: WindowCounts,
    /// Whether the host asks a peer to publish them.
    pub is_unpublished: bool,
}

/// Identifies an incarnation: host and `start_id`.
type IncarnationKey = (String, i64);

#[derive(Clone, Debug, Default)]
struct Incarnation {
    heard_at: Timestamp,
    windows: BTreeMap<u64, UsageCopy>,
}

/// The copies that this host received.
#[derive(Clone, Debug, Default)]
pub struct UsageCopies {
    incarnations: BTreeMap<IncarnationKey, Incarnation>,
}

impl UsageCopies {
    /// Creates an instance without copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a copy, unless a later one of the same window is known.
    pub fn record(&mut self, now: Timestamp, copy: UsageCopy) {
        let count: usize = self
            .incarnations
            .values()
            .map(|one| one.windows.len())
            .sum();
        let key = (copy.host.clone(), copy.start_id);
        if count >= MAX_COPIES {
            return;
        }
        let incarnation = self.incarnations.entry(key).or_default();
        incarnation.heard_at = now;
        let known = incarnation.windows.get(&copy.window);
        if known.is_none_or(|known| known.unix_us <= copy.unix_us) {
            incarnation.windows.insert(copy.window, copy);
        }
    }

    /// Removes the copies of windows before `oldest`.
    pub fn expire(&mut self, oldest: UsageWindow) {
        for incarnation in self.incarnations.values_mut() {
            incarnation.windows.retain(|window, _| *window >= oldest.0);
        }
        self.incarnations.retain(|_, one| !one.windows.is_empty());
    }

    /// Returns the copies that this host has to publish.
    pub fn due(&self, now: Timestamp) -> Vec<UsageCopy> {
        let is_silent = |incarnation: &Incarnation| now.since(incarnation.heard_at) >= SILENCE;
        self.incarnations
            .values()
            .flat_map(|incarnation| {
                let is_silent = is_silent(incarnation);
                let windows = incarnation.windows.values();
                windows.filter(move |copy| is_silent || copy.is_unpublished)
            })
            .cloned()
            .collect()
    }
}
