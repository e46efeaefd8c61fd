//! A closed usage window of one incarnation, as the platform stores it.

use lagoonlift_hosts::{ClosedWindow, UsageRange};
use lagoonlift_types::{
    ClassName, DataCentreName, Incarnation, ProcessId, Sequence, UsageFigures, UsageSums, WindowId,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// The total usage of the records that one window of one incarnation covers.
///
/// The object is created only if absent and never changes. The windows of an
/// incarnation form a chain: each starts at the record where the previous one
/// ended, so that exactly one window covers each record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindow {
    /// Number of the window.
    pub window: WindowId,
    /// The process whose records these are.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The first record covered.
    pub from: Sequence,
    /// The first record after those covered.
    pub to: Sequence,
    /// Usage of each workspace and class.
    pub lines: Vec<UsageLine>,
    /// The process that closed the window.
    pub closed_by: ProcessId,
}

/// Usage of one workspace in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLine {
    /// The billed workspace.
    pub workspace: WorkspaceName,
    /// The class of the requests.
    pub class: ClassName,
    /// Total usage of those requests.
    pub figures: UsageFigures,
}

impl UsageWindow {
    /// Converts to the records that the window covers and their sums.
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

/// Converts sums to one line per workspace and class.
pub(crate) fn lines_of(sums: &UsageSums) -> Vec<UsageLine> {
    let line =
        |(workspace, class, figures): (&WorkspaceName, &ClassName, UsageFigures)| UsageLine {
            workspace: workspace.clone(),
            class: class.clone(),
            figures,
        };
    sums.iter().map(line).collect()
}

/// Returns the prefix of the object keys of a data centre's closed windows.
pub fn windows_prefix(data_centre: &DataCentreName) -> String {
    format!("usage/windows/{data_centre}/")
}

/// Returns the object key of one window of one incarnation.
pub fn window_key(
    data_centre: &DataCentreName,
    window: WindowId,
    process: &ProcessId,
    incarnation: Incarnation,
) -> String {
    let prefix = windows_prefix(data_centre);
    format!("{prefix}{window}/{process}/{incarnation}")
}

/// Returns the current window; `length` is the length of a window.
pub(crate) fn current_window(length: Duration) -> WindowId {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let number = since_epoch.as_millis() / length.as_millis().max(1);
    WindowId(number as u64)
}
