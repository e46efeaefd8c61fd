//! Lines that a slow reader can't take.

use lagoonlift_telemetry::{Metrics, lossy_writer};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

/// A reader that takes nothing until it is told to.
struct StalledReader(Receiver<()>);

impl Write for StalledReader {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // The sender is gone once the test lets the reader go on.
        let _ = self.0.recv();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Nobody waits for a reader that stalls, and what is dropped is counted.
///
/// Seen failing with a writer that isn't lossy (it waits) and without the count.
#[test]
fn stalled_reader_stalls_nobody_and_drops_are_counted() {
    let metrics = Metrics::new().expect("a new registry");
    let (go_on, stalled) = channel();
    let (mut writer, flush) = lossy_writer(StalledReader(stalled));

    flush.export_dropped_lines(&metrics);
    for _ in 0..10_000 {
        writer.write_all(b"a line\n").expect("it doesn't wait");
    }
    let text = metrics.render().expect("metrics");
    let line = text
        .lines()
        .find(|line| line.starts_with("lagoonlift_log_lines_dropped"));
    let count = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    // All but those that wait and the one that the reader holds.
    let dropped = count.expect("the count is shown");
    assert!((5_000.0..10_000.0).contains(&dropped), "{text}");
    drop(go_on);
}
