//! The versions of streams on their way to the store.
//!
//! While one version alone serves, the record of versions proves at which one a stream began.
//! Where several do, only the host that began the stream and a few others know it, and all of
//! them may end at once. The versions of these streams are therefore written to the store, in
//! batches: each host sends them to the archivists, two of the hosts that read the store, and
//! these write one object for all that came within an interval. Objects are used again once
//! nobody can resume the streams in them.
//!
//! A stream whose batch wasn't written in time is unknown afterwards, and goes on nowhere.

use super::StreamLifetime;
use super::stream_versions::{StreamKey, StreamNotice, VersionDigest};
use super::version_record::CLOCK_MARGIN;
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of hosts that write batches.
const ARCHIVISTS: usize = 2;

/// Least time between two batches, unless one is full.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of streams in a batch, which is some 20 KB.
const MAX_BATCH_STREAMS: usize = 1_000;

/// Largest number of streams that wait to be sent or written. Further ones aren't archived.
const MAX_WAITING: usize = 20_000;

/// Length of a key in hexadecimal digits.
const KEY_DIGITS: usize = 16;

/// Returns the addresses of the archivists among the hosts that read the store; all hosts
/// that know the same readers choose the same ones.
pub fn archivists(readers: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut readers: Vec<SocketAddr> = readers.collect();
    readers.sort_unstable();
    readers.dedup();
    readers.truncate(ARCHIVISTS);
    readers
}

/// Contents of an object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// Unix time of the write, in milliseconds.
    pub written_ms: i64,
    /// Unix time until which callers may resume a stream of the batch, in milliseconds; `None`
    /// in batches of releases that didn't state it.
    #[serde(default)]
    until_ms: Option<i64>,
    /// The streams by the version that began them.
    versions: Vec<ArchivedVersion>,
}

/// The streams of a batch that began at one version. Keys are written in hexadecimal digits,
/// since not every store keeps integers of 64 bits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ArchivedVersion {
    version: String,
    /// The keys of the streams, without separators.
    streams: String,
}

impl StreamBatch {
    /// Creates a batch that is written at `unix_ms`.
    pub fn new(unix_ms: i64, notices: &[StreamNotice]) -> Self {
        let mut by_version: BTreeMap<u64, String> = BTreeMap::new();
        for notice in notices {
            let streams = by_version.entry(notice.version.0).or_default();
            streams.push_str(&format!("{:016x}", notice.stream.0));
        }
        let versions = by_version.into_iter().map(|(version, streams)| {
            let version = format!("{version:016x}");
            ArchivedVersion { version, streams }
        });
        Self {
            written_ms: unix_ms,
            until_ms: Some(unix_ms + millis_of(longest_of(notices).duration())),
            versions: versions.collect(),
        }
    }

    /// Returns whether callers may resume no stream of the batch any more, by any host's clock.
    pub fn is_outdated(&self, unix_ms: i64) -> bool {
        self.time_left(unix_ms).is_zero()
    }

    /// Returns the longest time for which callers may resume a stream of the batch.
    fn time_left(&self, unix_ms: i64) -> Duration {
        let longest = millis_of(StreamLifetime::LONGEST.duration());
        let latest_ms = self.written_ms.saturating_add(longest);
        let until_ms = self
            .until_ms
            .map_or(latest_ms, |until| until.min(latest_ms));
        let left_ms = until_ms
            .saturating_add(millis_of(CLOCK_MARGIN))
            .saturating_sub(unix_ms);
        Duration::from_millis(u64::try_from(left_ms).unwrap_or(0))
    }

    /// Returns the streams of the batch. What isn't a key is left out.
    pub fn notices(&self, unix_ms: i64) -> impl Iterator<Item = StreamNotice> {
        let lifetime = StreamLifetime::covering(self.time_left(unix_ms));
        self.versions.iter().flat_map(move |one| {
            let version = decode_key(one.version.as_bytes()).map(VersionDigest);
            let keys = one.streams.as_bytes().chunks(KEY_DIGITS);
            let streams = keys.filter_map(decode_key).map(StreamKey);
            streams.filter_map(move |stream| {
                let version = version?;
                Some(StreamNotice {
                    stream,
                    version,
                    lifetime,
                })
            })
        })
    }
}

fn longest_of(notices: &[StreamNotice]) -> StreamLifetime {
    let lifetimes = notices.iter().map(|notice| notice.lifetime);
    lifetimes.max().unwrap_or(StreamLifetime::LEAST)
}

fn millis_of(time: Duration) -> i64 {
    time.as_millis() as i64
}

fn decode_key(digits: &[u8]) -> Option<u64> {
    let text = str::from_utf8(digits).ok()?;
    let is_key = text.len() == KEY_DIGITS && text.bytes().all(|one| one.is_ascii_hexdigit());
    is_key.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A batch to write: to a new object, or in place of one whose streams have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchWrite {
    /// Number of the object among those of this host.
    pub number: u32,
    /// Revision of the object that is replaced.
    pub replaced: Option<u64>,
    /// The streams.
    pub notices: Vec<StreamNotice>,
}

/// An object that this host has written.
#[derive(Clone, Copy, Debug)]
struct WrittenBatch {
    number: u32,
    revision: u64,
    /// Time until which callers may resume a stream of the batch.
    until: Timestamp,
}

/// What this host has to tell the archivists, and what it has to write if it is one.
#[derive(Clone, Debug, Default)]
pub struct StreamArchive {
    /// Services at which several versions may have begun the streams of now.
    divided: HashSet<String>,
    /// Streams that the archivists haven't been told of.
    untold: Vec<StreamNotice>,
    /// Streams that this host has to write.
    unwritten: VecDeque<StreamNotice>,
    /// Objects of this host.
    written: Vec<WrittenBatch>,
    next_number: u32,
    latest_write: Option<Timestamp>,
}

impl StreamArchive {
    /// Creates an instance for a process that has written nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether several versions may have begun the streams of `service`. Returns
    /// whether that has become so, and streams that began before have to be added.
    pub fn set_divided(&mut self, service: &str, is_divided: bool) -> bool {
        match is_divided {
            true => self.divided.insert(service.to_owned()),
            false => {
                self.divided.remove(service);
                false
            }
        }
    }

    /// Returns whether streams of `service` have to be added.
    pub fn is_divided(&self, service: &str) -> bool {
        self.divided.contains(service)
    }

    /// Adds a stream that began at this host.
    pub fn add(&mut self, notice: StreamNotice) {
        if self.untold.len() < MAX_WAITING {
            self.untold.push(notice);
        }
    }

    /// Removes and returns the streams that the archivists have to be told of.
    pub fn take_untold(&mut self) -> Vec<StreamNotice> {
        std::mem::take(&mut self.untold)
    }

    /// Records a stream that this host has to write.
    pub fn record_unwritten(&mut self, notice: StreamNotice) {
        if self.unwritten.len() < MAX_WAITING {
            self.unwritten.push_back(notice);
        }
    }

    /// Removes and returns the next batch if one is due. It replaces an object whose streams
    /// callers have given up.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<BatchWrite> {
        let is_full = self.unwritten.len() >= MAX_BATCH_STREAMS;
        let has_waited = self
            .latest_write
            .is_none_or(|at| now.since(at) >= BATCH_INTERVAL);
        if self.unwritten.is_empty() || !(is_full || has_waited) {
            return None;
        }
        self.latest_write = Some(now);
        let count = self.unwritten.len().min(MAX_BATCH_STREAMS);
        let notices: Vec<StreamNotice> = self.unwritten.drain(..count).collect();
        let ended = self.written.iter().position(|one| one.until <= now);
        let (number, replaced) = match ended.map(|index| self.written.swap_remove(index)) {
            Some(ended) => (ended.number, Some(ended.revision)),
            None => {
                self.next_number += 1;
                (self.next_number, None)
            }
        };
        Some(BatchWrite {
            number,
            replaced,
            notices,
        })
    }

    /// Records that a batch was written with this revision.
    pub fn record_written(&mut self, now: Timestamp, write: &BatchWrite, revision: u64) {
        self.written.push(WrittenBatch {
            number: write.number,
            revision,
            until: now + longest_of(&write.notices).duration(),
        });
    }

    /// Records that a write failed. It may still land, so the streams go to another object,
    /// which is due at once: the store may be back for a moment only.
    pub fn record_failed(&mut self, write: BatchWrite) {
        self.latest_write = None;
        for notice in write.notices.into_iter().rev() {
            if self.unwritten.len() < MAX_WAITING {
                self.unwritten.push_front(notice);
            }
        }
    }
}
