//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the lock is sound");
        writeln!(file, "{:8.3} s  {text}", self.now()).expect("the record can be written");
        file.flush().expect("the record can be written");
    }
}
