//! The stored objects of sealing.

use lagoonlift_platform::{Version, wire};
use lagoonlift_types::{ClassName, DataCentreName, Epoch, UsageFigures, WindowId, WorkspaceName};
use lagoonlift_usage::{UsageLine, UsageWindow};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The figures of one window of one data centre, stored as JSON. Created only if
/// absent and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealRecord {
    /// The sealed window.
    pub window: WindowId,
    /// Epoch of the lease holder that created the seal.
    pub epoch: Epoch,
    /// The seal covers closed windows written up to this version.
    pub through: Version,
    /// Usage by workspace and class.
    pub lines: Vec<UsageLine>,
    /// Number of closed windows of earlier windows, which were written too late for the
    /// seal of their own window and are covered by this one.
    pub late: u64,
}

impl SealRecord {
    /// Returns the object key of a window's seal.
    pub fn key(data_centre: &DataCentreName, window: WindowId) -> String {
        format!("usage/seals/{data_centre}/{window}")
    }

    pub(crate) fn report(&self, data_centre: &DataCentreName) -> wire::UsageReport {
        let line = |line: &UsageLine| wire::UsageLine {
            workspace: line.workspace.to_string(),
            class: line.class.to_string(),
            requests: line.figures.requests,
            prompt_tokens: line.figures.prompt_tokens,
            output_tokens: line.figures.output_tokens,
        };
        wire::UsageReport {
            data_centre: data_centre.to_string(),
            window: self.window.0,
            epoch: self.epoch.0,
            lines: self.lines.iter().map(line).collect(),
        }
    }
}

/// Position up to which a data centre's windows are sealed and reported, stored as
/// JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealCursor {
    /// The last reported window.
    pub window: WindowId,
    /// The version up to which its seal covers closed windows.
    pub through: Version,
}

impl SealCursor {
    /// Returns the object key of a data centre's cursor.
    pub fn key(data_centre: &DataCentreName) -> String {
        format!("usage/sealed/{data_centre}")
    }
}

/// The usage that a new seal covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealContents {
    /// The version up to which closed windows are covered.
    pub through: Version,
    /// Usage by workspace and class.
    pub lines: Vec<UsageLine>,
    /// Number of closed windows of earlier windows, which were written too late for the
    /// seal of their own window and are covered by this one.
    pub late: u64,
}

impl SealContents {
    /// Sums up the closed windows that the seal of `window` covers: those of `window`
    /// written up to `through`, and those of earlier windows written after `after`
    /// and up to `through`. Others are ignored.
    pub fn new(
        window: WindowId,
        after: Version,
        through: Version,
        closed_windows: impl IntoIterator<Item = (Version, UsageWindow)>,
    ) -> Self {
        let mut sums: BTreeMap<(WorkspaceName, ClassName), UsageFigures> = BTreeMap::new();
        let mut late = 0;
        for (version, closed) in closed_windows {
            let is_late = closed.window < window && version > after;
            if version > through || !(closed.window == window || is_late) {
                continue;
            }
            late += u64::from(is_late);
            for line in closed.lines {
                *sums.entry((line.workspace, line.class)).or_default() += line.figures;
            }
        }
        let lines = sums
            .into_iter()
            .map(|((workspace, class), figures)| UsageLine {
                workspace,
                class,
                figures,
            });
        Self {
            through,
            lines: lines.collect(),
            late,
        }
    }
}
