//! Processor time of a group of threads of this process.
//!
//! During a measurement, the entry, the engine and the load generator run in one
//! process, each on a runtime whose threads share a name. The kernel accounts the
//! processor time of each thread, so the entry's time can be measured separately.

use std::fs;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Directory that lists the threads of this process (proc(5)).
const THREADS_DIRECTORY: &str = "/proc/self/task";
/// Index of the user time among the fields that follow the thread's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among the same fields.
const SYSTEM_TIME_FIELD: usize = 12;
/// Unit of both times: the kernel reports them in hundredths of a second (proc(5)).
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// All threads of this process that have a given name.
#[derive(Clone, Debug)]
pub struct ThreadGroup {
    name: String,
}

/// An error from reading processor times.
#[derive(Debug, Error)]
pub enum ProcessorTimeError {
    /// A file of the kernel can't be read.
    #[error("can't read processor times: {0}")]
    Read(#[from] io::Error),
    /// A file has an unexpected format.
    #[error("unexpected format of processor times: {0}")]
    Malformed(String),
}

impl ThreadGroup {
    /// Creates a group of the threads named `name`, which has at most 15 bytes because
    /// the kernel truncates longer names.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
        }
    }

    /// Returns the processor time that the group's threads have used so far.
    ///
    /// # Errors
    ///
    /// Fails when the thread list can't be read, as on systems other than Linux, or has
    /// an unexpected format.
    pub fn processor_time(&self) -> Result<Duration, ProcessorTimeError> {
        let mut total = Duration::ZERO;
        for thread in fs::read_dir(THREADS_DIRECTORY)? {
            let text = fs::read_to_string(thread?.path().join("stat"))?;
            if let Some(fields) = self.parse_fields(&text) {
                total += parse_time(fields)
                    .ok_or_else(|| ProcessorTimeError::Malformed(text.clone()))?;
            }
        }
        Ok(total)
    }

    /// Returns the fields that follow the thread's name, if it is the group's name.
    fn parse_fields<'a>(&self, text: &'a str) -> Option<&'a str> {
        let (head, fields) = text.rsplit_once(')')?;
        let (_, name) = head.split_once('(')?;
        (name == self.name).then_some(fields)
    }
}

fn parse_time(fields: &str) -> Option<Duration> {
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u32 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: u32 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some(CLOCK_TICK * (user + system))
}
