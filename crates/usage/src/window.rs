//! One closed window of one incarnation, as the platform keeps it.

use lagoonlift_hosts::{ClosedWindow, UsageRange};
use lagoonlift_types::{
    ClassName, DataCentreName, Incarnation, ProcessId, Sequence, UsageFigures, UsageSums, WindowId,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// The records that one window of one incarnation covers, summed up.
///
/// Created only if absent and never changed. The windows of an incarnation
/// form a chain: each starts with the record at which the one before it ended,
/// so that each record is covered by exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindow {
    /// The window.
    pub window: WindowId,
    /// The process whose records these are.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The first record covered.
    pub from: Sequence,
    /// The first record after those covered.
    pub to: Sequence,
    /// What was used, for each workspace and class.
    pub lines: Vec<UsageLine>,
    /// The process that closed the window.
    pub closed_by: ProcessId,
}

/// What one workspace used in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLine {
    /// The workspace that pays.
    pub workspace: WorkspaceName,
    /// The class of the requests.
    pub class: ClassName,
    /// What was used.
    pub figures: UsageFigures,
}

impl UsageWindow {
    /// Returns what the window covers.
    pub fn to_closed_window(&self) -> ClosedWindow {
        let mut sums = UsageSums::new();
        for line in &self.lines {
            sums.add(&line.workspace, &line.class, line.figures);
        }
        ClosedWindow {
            window: self.window,
            range: UsageRange {
                from: self.from,
                to: self.to,
                sums,
            },
        }
    }
}

/// Lists sums, for each workspace and class.
pub(crate) fn lines_of(sums: &UsageSums) -> Vec<UsageLine> {
    let line =
        |(workspace, class, figures): (&WorkspaceName, &ClassName, UsageFigures)| UsageLine {
            workspace: workspace.clone(),
            class: class.clone(),
            figures,
        };
    sums.iter().map(line).collect()
}

/// Returns the prefix of the keys of a data centre's closed windows.
pub fn windows_prefix(data_centre: &DataCentreName) -> String {
    format!("usage/windows/{data_centre}/")
}

/// Returns the key of one window of one incarnation.
pub fn window_key(
    data_centre: &DataCentreName,
    window: WindowId,
    process: &ProcessId,
    incarnation: Incarnation,
) -> String {
    let prefix = windows_prefix(data_centre);
    format!("{prefix}{window}/{process}/{incarnation}")
}

/// Returns the window that is running now.
pub(crate) fn current_window(length: Duration) -> WindowId {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let number = since_epoch.as_millis() / length.as_millis().max(1);
    WindowId(number as u64)
}
