//! Tests of the versions of streams that outlive all hosts: streams of two or three versions
//! begin at hosts that restart and that know different hosts, while the store is away at times
//! and loses responses; then all hosts end at once.

use super::{Network, Randomness, run_schedules};
use crate::dispatch::support::{SERVICE, at_ms};
use lagoonlift_policy::dispatch::{
    BatchWrite, SoftwareVersion, StreamArchive, StreamBatch, StreamKey, StreamLifetime,
    StreamNotice, VersionDigest, archivists,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Sizes of the deployments: one schedule in [`LARGE_RARITY`] has the second one.
const SMALL: usize = 6;
const LARGE: usize = 757;
const LARGE_RARITY: u64 = 10;
/// Hosts that read the store in a large deployment.
const READERS: usize = 4;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;
/// Interval in which hosts tell the archivists of streams, in milliseconds.
const TELL_INTERVAL_MS: u64 = 100;
/// Life of a stream, in milliseconds, and what one in [`LONG_RARITY`] lives longer.
const LIFE_MS: u64 = 8_000;
const LONG_LIFE_MS: u64 = 30_000;
const LONG_RARITY: u64 = 6;
/// Least and greatest time until all hosts end, in milliseconds.
const KILL_MS: (u64, u64) = (10_000, 16_000);
/// One in this many steps restarts a host, or begins an outage of the store.
const FAULT_RARITY: u64 = 60;
/// Longest outage of the store, in milliseconds.
const MAX_OUTAGE_MS: u64 = 2_000;
/// One in this many messages, and responses of the store, is lost.
const LOSS_RARITY: u64 = 30;
/// One in this many hosts doesn't know a host that reads the store.
const UNKNOWN_RARITY: u64 = 12;
/// Time for which the store has to answer while a stream lives for the stream to be judged, in
/// milliseconds: nothing outlives all hosts while the store is away.
const RECORD_MS: u64 = 1_000;
/// Longest way of a message, in milliseconds.
const MAX_TRANSIT_MS: u64 = 20;

struct Told {
    to: usize,
    notices: Vec<StreamNotice>,
}

/// Objects of the store by host, incarnation and number, with their revisions.
#[derive(Default)]
struct Store {
    objects: BTreeMap<(usize, u64, u32), (u64, StreamBatch)>,
    revision: u64,
    away_until_ms: u64,
    /// Time for which it has answered so far, in milliseconds.
    answering_ms: u64,
}

/// A stream, and when it began: by the clock, and by the time for which the store had answered.
struct BegunStream {
    version: VersionDigest,
    begun_ms: u64,
    life_ms: u64,
    answering_ms: u64,
}

struct Host {
    archive: StreamArchive,
    incarnation: u64,
    known_readers: Vec<usize>,
}

struct Simulation {
    randomness: Randomness,
    network: Network<Told>,
    hosts: Vec<Host>,
    store: Store,
    begun: HashMap<StreamKey, BegunStream>,
    versions: u64,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (host / 200) as u8, (host % 200) as u8], 7_662))
}

fn version(number: u64) -> VersionDigest {
    VersionDigest::new(SERVICE, &SoftwareVersion(format!("v{number}")))
}

impl Store {
    /// Writes a batch if its condition holds; returns its revision.
    fn write(&mut self, key: (usize, u64, u32), write: &BatchWrite, now: u64) -> Option<u64> {
        let revision = self.objects.get(&key).map(|(revision, _)| *revision);
        if revision != write.replaced {
            return None;
        }
        self.revision += 1;
        let batch = StreamBatch::new(now as i64, &write.notices);
        let text = serde_json::to_string(&batch).expect("a batch is encoded");
        let stored = serde_json::from_str(&text).expect("a batch is decoded");
        self.objects.insert(key, (self.revision, stored));
        Some(self.revision)
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut randomness = Randomness::new(seed);
        let count = match randomness.once_in(LARGE_RARITY) {
            true => LARGE,
            false => SMALL,
        };
        let readers = READERS.min(count);
        let hosts = (0..count)
            .map(|_| Host {
                archive: StreamArchive::new(),
                incarnation: 0,
                known_readers: (0..readers)
                    .filter(|_| !randomness.once_in(UNKNOWN_RARITY))
                    .collect(),
            })
            .collect();
        Self {
            versions: 2 + randomness.below(2),
            randomness,
            network: Network::new(),
            hosts,
            store: Store::default(),
            begun: HashMap::new(),
        }
    }

    fn run(mut self) -> Result<(), String> {
        let killed_ms = KILL_MS.0 + self.randomness.below(KILL_MS.1 - KILL_MS.0);
        for now in (0..killed_ms).step_by(STEP_MS as usize) {
            for told in self.network.arrived(now) {
                let archive = &mut self.hosts[told.to].archive;
                let notices = told.notices.into_iter();
                notices.for_each(|notice| archive.record_unwritten(notice));
            }
            self.break_something(now);
            if now >= self.store.away_until_ms {
                self.store.answering_ms += STEP_MS;
            }
            self.begin_streams(now);
            if now.is_multiple_of(TELL_INTERVAL_MS) {
                self.tell(now);
                self.write(now);
            }
        }
        self.judge(killed_ms)
    }

    fn break_something(&mut self, now: u64) {
        if self.randomness.once_in(FAULT_RARITY) {
            self.store.away_until_ms = now + self.randomness.below(MAX_OUTAGE_MS);
        }
        if self.randomness.once_in(FAULT_RARITY) {
            let number = self.randomness.below(self.hosts.len().min(SMALL) as u64) as usize;
            let host = &mut self.hosts[number];
            host.archive = StreamArchive::new();
            host.incarnation += 1;
        }
    }

    fn begin_streams(&mut self, now: u64) {
        for _ in 0..self.randomness.below(6) {
            let host = self.randomness.below(self.hosts.len() as u64) as usize;
            let stream = StreamKey::new(Some("north"), &format!("a{}", self.begun.len()));
            let version = version(self.randomness.below(self.versions));
            let begun = BegunStream {
                version,
                begun_ms: now,
                life_ms: LIFE_MS + LONG_LIFE_MS * u64::from(self.randomness.once_in(LONG_RARITY)),
                answering_ms: self.store.answering_ms,
            };
            let life = Duration::from_millis(begun.life_ms);
            self.begun.insert(stream, begun);
            self.hosts[host].archive.add(StreamNotice {
                stream,
                version,
                lifetime: StreamLifetime::covering(life),
            });
        }
    }

    fn tell(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            let untold = self.hosts[number].archive.take_untold();
            if untold.is_empty() {
                continue;
            }
            let known = &self.hosts[number].known_readers;
            let own = (number < READERS).then_some(number);
            let known: Vec<usize> = known.iter().copied().chain(own).collect();
            let chosen = archivists(known.iter().map(|reader| address(*reader)));
            for to in known
                .into_iter()
                .filter(|to| chosen.contains(&address(*to)))
            {
                let is_lost = to != number && self.randomness.once_in(LOSS_RARITY);
                let arrival = now + 1 + self.randomness.below(MAX_TRANSIT_MS);
                let notices = untold.clone();
                let told = Told { to, notices };
                self.network.send((!is_lost).then_some(arrival), told);
            }
        }
    }

    fn write(&mut self, now: u64) {
        for number in 0..READERS {
            let Some(write) = self.hosts[number].archive.next_batch(at_ms(now)) else {
                continue;
            };
            let key = (number, self.hosts[number].incarnation, write.number);
            let is_away = now < self.store.away_until_ms;
            let is_lost = self.randomness.once_in(LOSS_RARITY);
            let written = match is_away {
                true => None,
                false => self.store.write(key, &write, now),
            };
            let archive = &mut self.hosts[number].archive;
            match written.filter(|_| !is_lost) {
                Some(revision) => archive.record_written(at_ms(now), &write, revision),
                None => archive.record_failed(write),
            }
        }
    }

    fn judge(self, killed_ms: u64) -> Result<(), String> {
        let mut known = HashMap::new();
        let batches = self.store.objects.values();
        let read = batches.filter(|(_, batch)| !batch.is_outdated(killed_ms as i64));
        for notice in read.flat_map(|(_, batch)| batch.notices(killed_ms as i64)) {
            let begun = self.begun.get(&notice.stream);
            match begun {
                Some(begun) if begun.version == notice.version => {}
                _ => return Err("a stream is known at another version".to_owned()),
            }
            known.insert(notice.stream, notice.version);
        }
        let judged = self.begun.iter().filter(|(_, begun)| {
            let is_alive = begun.begun_ms + begun.life_ms >= killed_ms;
            is_alive && self.store.answering_ms >= begun.answering_ms + RECORD_MS
        });
        let alive: Vec<&StreamKey> = judged.map(|(stream, _)| stream).collect();
        let kept = alive.iter().filter(|stream| known.contains_key(stream));
        let (kept, alive) = (kept.count(), alive.len());
        match 2 * kept < alive {
            true => Err(format!("{kept} of {alive} streams are known")),
            false => Ok(()),
        }
    }
}

/// Guards against streams that no host can take up after all have ended, and against a batch
/// that names another version than the one that began a stream.
#[test]
fn versions_of_streams_outlive_all_hosts() {
    run_schedules(|seed| Simulation::new(seed).run());
}

/// Guards against a malformed batch that hides others or names streams that never began.
#[test]
fn malformed_batches_name_no_streams() {
    let texts = [
        r#"{"written_ms": 1, "versions": [{"version": "", "streams": "00"}]}"#,
        r#"{"written_ms": 1, "versions": [{"version": "00000000000000ff", "streams": "+0000000000000ff"}]}"#,
        r#"{"written_ms": 1, "versions": [{"version": "zz", "streams": "00000000000000ff"}]}"#,
    ];
    for text in texts {
        let batch: StreamBatch = serde_json::from_str(text).expect("the form of a batch");
        assert_eq!(batch.notices(1).count(), 0, "{text}");
    }
}

/// Guards against objects that pile up in the store while two versions serve for long.
#[test]
fn objects_are_used_again() {
    let mut archive = StreamArchive::new();
    let mut numbers = std::collections::BTreeSet::new();
    for round in 0..400 {
        let now = at_ms(round * 500);
        archive.record_unwritten(StreamNotice {
            stream: StreamKey::new(None, &format!("s{round}")),
            version: version(1),
            lifetime: StreamLifetime::from(26),
        });
        let write = archive.next_batch(now).expect("a batch is due");
        numbers.insert(write.number);
        archive.record_written(now, &write, round);
    }
    assert!(numbers.len() <= 53, "{} objects", numbers.len());
}
