//! Processor time of a group of threads of this process.
//!
//! Entry, engine and load generator run in one process during a measurement,
//! each on a runtime whose threads have their own name. The kernel counts each
//! thread's time, so the entry's share can be told from the rest.

use std::fs;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Folder that lists the threads of this process (proc(5)).
const THREADS_FOLDER: &str = "/proc/self/task";
/// Position of the user time among the fields behind the thread's name, from 0.
const USER_TIME_FIELD: usize = 11;
/// Position of the system time.
const SYSTEM_TIME_FIELD: usize = 12;
/// Unit of both times: the kernel reports hundredths of a second (proc(5)).
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// The threads of this process that have one name.
#[derive(Clone, Debug)]
pub struct ThreadGroup {
    name: String,
}

/// Processor times that can't be read.
#[derive(Debug, Error)]
pub enum ProcessorTimeError {
    /// The kernel's files can't be read.
    #[error("processor times can't be read: {0}")]
    Read(#[from] io::Error),
    /// A file has another form than expected.
    #[error("processor times have an unknown form: {0}")]
    Malformed(String),
}

impl ThreadGroup {
    /// Creates a group of the threads named `name`, at most 15 characters.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
        }
    }

    /// Returns the processor time that the group's threads have used so far.
    ///
    /// # Errors
    ///
    /// Fails where the kernel doesn't list threads.
    pub fn processor_time(&self) -> Result<Duration, ProcessorTimeError> {
        let mut total = Duration::ZERO;
        for thread in fs::read_dir(THREADS_FOLDER)? {
            let text = fs::read_to_string(thread?.path().join("stat"))?;
            if let Some(fields) = self.fields_of(&text) {
                total +=
                    time_of(fields).ok_or_else(|| ProcessorTimeError::Malformed(text.clone()))?;
            }
        }
        Ok(total)
    }

    /// Returns the fields behind the name, if the name is the group's.
    fn fields_of<'a>(&self, text: &'a str) -> Option<&'a str> {
        let (head, fields) = text.rsplit_once(')')?;
        let (_, name) = head.split_once('(')?;
        (name == self.name).then_some(fields)
    }
}

fn time_of(fields: &str) -> Option<Duration> {
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u32 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: u32 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some(CLOCK_TICK * (user + system))
}
