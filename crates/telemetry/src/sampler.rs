//! Which of many similar log lines are written.

use std::time::{Duration, Instant};

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of a window that are all written.
const WHOLE_LINES: u32 = 100;

/// Beyond them, one line in so many is written.
const SAMPLE: u32 = 10;

/// Bounds the lines about what went well: all of them while they are few, a
/// tenth of the rest. What fails is never left out and doesn't pass through here.
#[derive(Debug, Default)]
pub struct LogSampler {
    window_start: Option<Instant>,
    seen: u32,
    left_out: u64,
}

impl LogSampler {
    /// Creates a sampler that has seen no line.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a line is written; if so, the number of lines left out
    /// since the one written before.
    pub fn sample(&mut self, now: Instant) -> Option<u64> {
        let is_over = |start: Instant| now.saturating_duration_since(start) >= WINDOW;
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
            self.seen = 0;
        }
        self.seen += 1;
        let beyond = self.seen.saturating_sub(WHOLE_LINES);
        match beyond.is_multiple_of(SAMPLE) {
            true => Some(std::mem::take(&mut self.left_out)),
            false => {
                self.left_out += 1;
                None
            }
        }
    }
}
