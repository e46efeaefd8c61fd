//! Logging to a reader that stalls.

use lagoonlift_telemetry::{Metrics, lossy_writer};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

/// A reader of the log that blocks every write until the test drops the sender.
struct StalledReader(Receiver<()>);

impl Write for StalledReader {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // `recv` returns once the test drops the sender.
        let _ = self.0.recv();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A stalled reader doesn't block the writer, and dropped lines are counted.
///
/// Fails if the writer isn't lossy, because then it blocks, and if dropped lines
/// aren't counted.
#[test]
fn stalled_reader_stalls_nobody_and_drops_are_counted() {
    let metrics = Metrics::new().expect("failed to create the metrics registry");
    let (blocking_sender, write_permits) = channel();
    let (mut writer, flush_guard) = lossy_writer(StalledReader(write_permits));

    flush_guard.export_dropped_lines(&metrics);
    for _ in 0..10_000 {
        writer
            .write_all(b"a line\n")
            .expect("a lossy writer doesn't block");
    }
    let text = metrics.render().expect("failed to render the metrics");
    let line = text
        .lines()
        .find(|line| line.starts_with("lagoonlift_log_lines_dropped"));
    let count = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    // All lines except the buffered ones and the one in the blocked write.
    let dropped = count.expect("the counter of dropped lines is not exported");
    assert!((5_000.0..10_000.0).contains(&dropped), "{text}");
    drop(blocking_sender);
}
