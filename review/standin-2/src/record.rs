//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("a record"))),
            start: Instant::now(),
        }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    /// Adds a line with the time since the start in milliseconds.
    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().expect("a lock");
        writeln!(file, "{:>6} {line}", self.ms()).expect("the record is written");
    }

    /// Adds a line, and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}
