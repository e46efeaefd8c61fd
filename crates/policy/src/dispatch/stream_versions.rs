//! The software versions at which streams began.
//!
//! What upstreams of two versions write doesn't fit together, so a stream goes on only at
//! the version that began it. A caller that takes a stream up names the attempt that brought
//! its first event, at any host. Each host keeps the versions of the streams that began
//! there, and sends a copy to a few others before the caller gets the first event. Which
//! hosts have the copy follows from the attempt and the roster of hosts, so that another
//! host knows whom to ask, also when the first one has ended.

use super::shared_hash::shared_hash;
use super::{SoftwareVersion, StreamLifetime};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Number of hosts that get a copy of a stream's version.
const COPIES: usize = 4;

/// Largest number of streams whose version is kept. Those that callers give up first are
/// forgotten first.
const MAX_STREAMS: usize = 40_000;

/// Largest number of copies and of questions that wait to be sent.
const MAX_NEWS: usize = 4_096;

/// Largest number of times that a question reaches three times as many hosts.
const MAX_WIDENING: u32 = 3;

/// Largest number of notices in a message, so that it fits into a datagram.
const MAX_NOTICES: usize = 60;

/// Hash of the caller's attempt that brought the first event of a stream, and of its
/// workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub(super) u64);

impl StreamKey {
    /// Returns the key of the attempt with the identifier `attempt`.
    pub fn new(workspace: Option<&str>, attempt: &str) -> Self {
        Self(shared_hash(&(workspace, attempt)))
    }
}

/// Hash of a service and a version of its upstreams' software, the same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionDigest(pub(super) u64);

impl VersionDigest {
    /// Stands for the version of an upstream whose version was doubtful when it began a stream.
    /// No upstream has it, so the stream goes on nowhere until its version is known.
    pub const DOUBTFUL: Self = Self(0);

    /// Returns the hash of `version` at `service`.
    pub fn new(service: &str, version: &SoftwareVersion) -> Self {
        Self(shared_hash(&(service, &version.0)))
    }
}

/// A host's message about the version of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamNotice {
    /// The stream.
    pub stream: StreamKey,
    /// The version that began it.
    pub version: VersionDigest,
    /// Time for which callers may resume it. It isn't part of the encoded form, which earlier
    /// releases decode too.
    #[serde(skip, default = "StreamLifetime::unknown")]
    pub lifetime: StreamLifetime,
}

/// What is known of a stream.
#[derive(Clone, Copy, Debug)]
struct KnownStream {
    /// `None` if streams of several versions have the same key.
    version: Option<VersionDigest>,
    /// Time until which callers may resume it.
    until: Timestamp,
    /// Whether the stream began at this host.
    is_own: bool,
    /// Whether the version is doubtful, and it was asked for.
    is_asked: bool,
}

/// The versions of the streams that began here, and copies from other hosts.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    streams: HashMap<StreamKey, KnownStream>,
    /// The streams in the order in which callers give them up.
    order: BTreeSet<(Timestamp, StreamKey)>,
    /// Streams of which other hosts have no copy yet.
    news: Vec<StreamNotice>,
    /// Streams whose version other hosts are asked for, and the number of the question.
    questions: Vec<(StreamKey, u32)>,
}

impl StreamVersions {
    /// Creates an instance without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a stream begins, and copies it to other hosts.
    pub fn record_begin(&mut self, now: Timestamp, notice: StreamNotice) {
        self.record(now, notice, true);
        if self.news.len() < MAX_NEWS {
            self.news.push(notice);
        }
    }

    /// Records the version of a stream that another host knows.
    pub fn record_notice(&mut self, now: Timestamp, notice: StreamNotice) {
        self.record(now, notice, false);
    }

    /// Asks other hosts for the version of a stream. `round` counts the questions about it,
    /// from 0.
    pub fn ask(&mut self, stream: StreamKey, round: u32) {
        if self.questions.len() < MAX_NEWS {
            self.questions.push((stream, round));
        }
    }

    /// Removes and returns the questions, and the hosts to ask: at first those that should
    /// have a copy, then also others, whose views of the hosts may differ.
    pub fn take_questions(
        &mut self,
        peers: impl Iterator<Item = SocketAddr> + Clone,
    ) -> Vec<(StreamKey, Vec<SocketAddr>)> {
        let questions = std::mem::take(&mut self.questions).into_iter();
        let asked = questions.map(|(stream, round)| {
            let count = COPIES * 3_usize.pow(round.min(MAX_WIDENING));
            (stream, nearest(stream, peers.clone(), count))
        });
        asked.collect()
    }

    /// Records that a caller takes a stream up, here or at another host, so that a doubtful
    /// version has to be confirmed. Returns whether it is doubtful.
    pub fn record_question(&mut self, stream: StreamKey) -> bool {
        let known = self.streams.get_mut(&stream);
        let doubtful = known.filter(|known| known.version == Some(VersionDigest::DOUBTFUL));
        doubtful.map(|known| known.is_asked = true).is_some()
    }

    /// Returns whether the doubtful version of a stream was asked for.
    pub fn is_asked(&self, stream: StreamKey) -> bool {
        self.streams
            .get(&stream)
            .is_some_and(|known| known.is_asked)
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn find(&self, now: Timestamp, stream: StreamKey) -> Option<VersionDigest> {
        self.notice_of(now, stream).map(|notice| notice.version)
    }

    /// Returns what other hosts have to know of a stream, if its version is known.
    pub fn notice_of(&self, now: Timestamp, stream: StreamKey) -> Option<StreamNotice> {
        let known = self.streams.get(&stream)?;
        let version = known.version.filter(|_| now < known.until)?;
        Some(StreamNotice {
            stream,
            version,
            lifetime: StreamLifetime::covering(known.until.since(now)),
        })
    }

    /// Returns the number of streams whose version is kept.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Removes and returns the notices that other hosts have to get, by host.
    pub fn take_news(
        &mut self,
        peers: impl Iterator<Item = SocketAddr> + Clone,
    ) -> Vec<(SocketAddr, Vec<StreamNotice>)> {
        let mut by_host: HashMap<SocketAddr, Vec<StreamNotice>> = HashMap::new();
        for notice in std::mem::take(&mut self.news) {
            for holder in nearest(notice.stream, peers.clone(), COPIES) {
                by_host.entry(holder).or_default().push(notice);
            }
        }
        let messages = by_host.into_iter().flat_map(|(host, notices)| {
            let chunks: Vec<_> = notices.chunks(MAX_NOTICES).map(<[_]>::to_vec).collect();
            chunks.into_iter().map(move |chunk| (host, chunk))
        });
        messages.collect()
    }

    /// Returns the streams that began at this host and that callers may still resume.
    pub fn begun_here(&self, now: Timestamp) -> impl Iterator<Item = StreamNotice> {
        let own = self.streams.iter().filter(|(_, known)| known.is_own);
        own.filter_map(move |(stream, _)| self.notice_of(now, *stream))
    }

    fn record(&mut self, now: Timestamp, notice: StreamNotice, is_own: bool) {
        let StreamNotice {
            stream,
            version,
            lifetime,
        } = notice;
        let until = now + lifetime.duration();
        match self.streams.get_mut(&stream) {
            Some(known) => {
                known.merge(version);
                if known.until < until {
                    self.order.remove(&(known.until, stream));
                    self.order.insert((until, stream));
                    known.until = until;
                }
            }
            None => {
                let known = KnownStream {
                    version: Some(version),
                    until,
                    is_own,
                    is_asked: false,
                };
                self.streams.insert(stream, known);
                self.order.insert((until, stream));
            }
        }
        self.remove_old(now);
    }

    fn remove_old(&mut self, now: Timestamp) {
        while let Some((until, stream)) = self.order.first().copied() {
            if now < until && self.order.len() <= MAX_STREAMS {
                return;
            }
            self.streams.remove(&stream);
            self.order.pop_first();
        }
    }
}

impl KnownStream {
    /// Takes over a version at which the stream is said to have begun.
    fn merge(&mut self, version: VersionDigest) {
        match self.version {
            Some(known) if known == version => {}
            _ if version == VersionDigest::DOUBTFUL => {}
            Some(VersionDigest::DOUBTFUL) => self.version = Some(version),
            _ => self.version = None,
        }
    }
}

/// Returns the `count` hosts among `peers` with the highest rendezvous scores for a stream.
fn nearest(
    stream: StreamKey,
    peers: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut peers: Vec<SocketAddr> = peers.collect();
    peers.sort_by_cached_key(|peer| Reverse(shared_hash(&(stream, peer))));
    peers.truncate(count);
    peers
}
