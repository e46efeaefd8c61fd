//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Mutex::new(file),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let time = self.now_ms() as f64 / 1_000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{time:8.3} {text}");
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
