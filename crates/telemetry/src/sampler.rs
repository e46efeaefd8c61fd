//! Sampling of frequent log lines.

use std::time::{Duration, Instant};

/// Length of the window over which lines are counted.
const SAMPLING_WINDOW: Duration = Duration::from_secs(1);

/// Number of lines per window that are written without sampling.
const UNSAMPLED_LINES: u32 = 100;

/// Beyond [`UNSAMPLED_LINES`], one line in this many is written.
const SAMPLING_RATIO: u32 = 10;

/// Bounds the volume of log lines about successful operations.
///
/// In each window of one second, it writes the first 100 lines and one in ten of
/// the rest. Lines about failures must not be sampled: callers write them
/// directly.
#[derive(Debug, Default)]
pub struct LogSampler {
    window_start: Option<Instant>,
    lines_in_window: u32,
    suppressed: u64,
}

impl LogSampler {
    /// Creates a sampler whose first window begins with its first line.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a line at the time `now` is written.
    ///
    /// Returns the number of lines suppressed since the previous written line, or
    /// `None` if this line is suppressed.
    pub fn sample(&mut self, now: Instant) -> Option<u64> {
        let is_window_over =
            |start: Instant| now.saturating_duration_since(start) >= SAMPLING_WINDOW;
        if self.window_start.is_none_or(is_window_over) {
            self.window_start = Some(now);
            self.lines_in_window = 0;
        }
        self.lines_in_window += 1;
        let excess_lines = self.lines_in_window.saturating_sub(UNSAMPLED_LINES);
        match excess_lines.is_multiple_of(SAMPLING_RATIO) {
            true => Some(std::mem::take(&mut self.suppressed)),
            false => {
                self.suppressed += 1;
                None
            }
        }
    }
}
