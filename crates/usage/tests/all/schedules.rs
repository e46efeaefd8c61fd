//! Property tests of usage windows under arbitrary schedules.
//!
//! The process, two peers and the platform exchange messages that may be
//! delayed, duplicated, reordered or lost. Any of them may pause for any time,
//! and one host may die. The check reads only the windows that the platform
//! stores and the records that were created.

use lagoonlift_hosts::{CopyBatch, CopyQueue, CopyStore, PendingCopy, UsagePosition};
use lagoonlift_types::{Incarnation, RequestId, Sequence, UsageFigures, UsageRecord, WindowId};
use lagoonlift_usage::{UsageWindow, WindowChain};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::fmt::Write;

use crate::support::process;

const SCHEDULES: u64 = 10_000;
const MAX_STEPS: usize = 160;
const PEERS: usize = 2;
const INCARNATION: Incarnation = Incarnation(1);

/// One step of a schedule. Indexes select among the possible choices at that
/// time.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The process creates a record.
    Record,
    /// The process sends copies of records to its peer.
    SendCopies,
    /// The process sends its copies to the other peer from now on.
    SwitchPeer,
    /// A batch of copies in flight arrives; it may arrive again later.
    DeliverCopies { choice: usize, is_duplicate: bool },
    /// The confirmation of the last batch arrives at the process.
    ConfirmCopies,
    /// The next window becomes the current one.
    NextWindow,
    /// A host (0 is the process, the others are peers) attempts to close its next
    /// window.
    Attempt { host: usize },
    /// A host stops waiting for the response to its attempt.
    GiveUp { host: usize },
    /// An attempt in flight takes effect, and its response arrives or is lost. It
    /// may take effect again later.
    DeliverAttempt {
        choice: usize,
        is_duplicate: bool,
        has_response: bool,
    },
    /// One of the hosts dies, if none is dead yet.
    Die { host: usize },
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let choice = usize::arbitrary(random);
        let host = choice % (PEERS + 1);
        let is_duplicate = u8::arbitrary(random) < 40;
        let has_response = u8::arbitrary(random) < 180;
        match u8::arbitrary(random) % 32 {
            0..=6 => Self::Record,
            7..=10 => Self::SendCopies,
            11 => Self::SwitchPeer,
            12..=15 => Self::DeliverCopies {
                choice,
                is_duplicate,
            },
            16..=18 => Self::ConfirmCopies,
            19..=21 => Self::NextWindow,
            22..=25 => Self::Attempt { host },
            26 => Self::GiveUp { host },
            27..=30 => Self::DeliverAttempt {
                choice,
                is_duplicate,
                has_response,
            },
            _ => Self::Die { host },
        }
    }
}

/// An attempt to close a window that is in flight to the platform.
#[derive(Clone)]
struct AttemptInFlight {
    number: u64,
    host: usize,
    attempt: UsageWindow,
}

/// A batch of copies that is in flight.
#[derive(Clone)]
struct BatchInFlight {
    peer: usize,
    stream: u64,
    batch: CopyBatch,
}

/// The simulated process, its peers, the platform and the messages in flight.
struct Simulation {
    current: u64,
    chain: WindowChain,
    queue: CopyQueue,
    peers: Vec<CopyStore>,
    /// The chain that each peer closes windows of while it waits for a response.
    peer_chains: Vec<Option<WindowChain>>,
    dead: Option<usize>,
    /// Index of the peer that copies are sent to, and the number of the stream to
    /// it.
    stream: (usize, u64),
    /// End of the batch whose confirmation the process waits for, and whether the
    /// batch arrived at the peer.
    unconfirmed: Option<(Sequence, bool)>,
    copies: Vec<BatchInFlight>,
    attempts: Vec<AttemptInFlight>,
    waiting: Vec<Option<u64>>,
    next_attempt_number: u64,
    platform: BTreeMap<WindowId, UsageWindow>,
    created: Vec<UsageFigures>,
    /// End of the records whose second copy was confirmed to their callers.
    copied: Sequence,
    /// Kept alive so that the queue can complete the copies.
    pending: Vec<PendingCopy>,
}

impl Simulation {
    fn new() -> Self {
        let chain = WindowChain::new(process("h0"), INCARNATION, UsagePosition::default());
        Self {
            current: 1,
            chain,
            queue: CopyQueue::new(),
            peers: (0..PEERS).map(|_| CopyStore::new()).collect(),
            peer_chains: (0..PEERS).map(|_| None).collect(),
            dead: None,
            stream: (0, 0),
            unconfirmed: None,
            copies: Vec::new(),
            attempts: Vec::new(),
            waiting: vec![None; PEERS + 1],
            next_attempt_number: 0,
            platform: BTreeMap::new(),
            created: Vec::new(),
            copied: Sequence(0),
            pending: Vec::new(),
        }
    }

    fn is_alive(&self, host: usize) -> bool {
        self.dead != Some(host)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Record if self.is_alive(0) => self.record(),
            Step::SendCopies if self.is_alive(0) => self.send_copies(),
            Step::SwitchPeer if self.is_alive(0) => self.switch_peer(),
            Step::DeliverCopies {
                choice,
                is_duplicate,
            } => self.deliver_copies(choice, is_duplicate),
            Step::ConfirmCopies if self.is_alive(0) => self.confirm_copies(),
            Step::NextWindow => self.current += 1,
            Step::Attempt { host } if self.is_alive(host) => self.attempt(host),
            Step::GiveUp { host } => self.waiting[host] = None,
            Step::DeliverAttempt {
                choice,
                is_duplicate,
                has_response,
            } => self.deliver_attempt(choice, is_duplicate, has_response),
            Step::Die { host } if self.dead.is_none() => self.dead = Some(host),
            _ => {}
        }
    }

    fn record(&mut self) {
        let sequence = self.chain.next_sequence();
        let figures = UsageFigures {
            requests: 1,
            // Powers of two, so that different sets of records have different sums.
            prompt_tokens: 1 << (sequence.0 % 60),
            output_tokens: sequence.0,
        };
        let record = UsageRecord {
            process: process("h0"),
            incarnation: INCARNATION,
            sequence,
            request: RequestId::new(),
            workspace: "plumbers".parse().expect("a valid name"),
            class: "default".parse().expect("a valid name"),
            figures,
        };
        self.created.push(figures);
        self.chain.add(&record, WindowId(self.current));
        self.queue.skip_to(self.chain.position().next_window);
        self.pending.push(self.queue.add(&record));
    }

    fn send_copies(&mut self) {
        if self.unconfirmed.is_some() {
            return;
        }
        if let Some(batch) = self.queue.take_batch(&process("h0"), INCARNATION) {
            self.unconfirmed = Some((batch.range.to, false));
            let (peer, stream) = self.stream;
            self.copies.push(BatchInFlight {
                peer,
                stream,
                batch,
            });
        }
    }

    fn switch_peer(&mut self) {
        self.reconnect((self.stream.0 + 1) % PEERS);
    }

    fn reconnect(&mut self, peer: usize) {
        self.stream = (peer, self.stream.1 + 1);
        self.unconfirmed = None;
        self.queue.resend_all();
    }

    fn deliver_copies(&mut self, choice: usize, is_duplicate: bool) {
        if self.copies.is_empty() {
            return;
        }
        let index = choice % self.copies.len();
        let message = match is_duplicate {
            true => self.copies[index].clone(),
            false => self.copies.swap_remove(index),
        };
        if !self.is_alive(message.peer + 1) {
            return;
        }
        let sent_to = message.batch.range.to;
        let is_accepted = self.peers[message.peer].add_batch(message.batch);
        match &mut self.unconfirmed {
            _ if message.stream != self.stream.1 => {}
            Some((end, arrived)) if is_accepted && *end == sent_to => *arrived = true,
            // A refusal ends the stream; the next stream starts with all records.
            _ if !is_accepted => self.reconnect(self.stream.0),
            _ => {}
        }
    }

    fn confirm_copies(&mut self) {
        if let Some((end, true)) = self.unconfirmed {
            self.unconfirmed = None;
            self.queue.confirm(end);
            self.copied = self.copied.max(end);
        }
    }

    fn attempt(&mut self, host: usize) {
        if self.waiting[host].is_some() {
            return;
        }
        let current = WindowId(self.current);
        let attempt = match host {
            0 => self.chain.next_attempt(current, &process("h0")),
            _ => {
                let chain = self.chain_of_peer(host - 1);
                let attempt = chain.next_attempt(current, &process(&format!("h{host}")));
                self.peer_chains[host - 1] = Some(chain);
                attempt
            }
        };
        if let Some(attempt) = attempt {
            self.next_attempt_number += 1;
            let number = self.next_attempt_number;
            self.waiting[host] = Some(number);
            self.attempts.push(AttemptInFlight {
                number,
                host,
                attempt,
            });
        }
    }

    fn chain_of_peer(&self, peer: usize) -> WindowChain {
        let held = self.peers[peer].held();
        let (position, range) = held
            .into_iter()
            .next()
            .map(|held| (held.position, held.range))
            .unwrap_or_default();
        WindowChain::new(process("h0"), INCARNATION, position).with_range(range)
    }

    fn deliver_attempt(&mut self, choice: usize, is_duplicate: bool, has_response: bool) {
        if self.attempts.is_empty() {
            return;
        }
        let index = choice % self.attempts.len();
        let message = match is_duplicate {
            true => self.attempts[index].clone(),
            false => self.attempts.swap_remove(index),
        };
        let window = message.attempt.window;
        let held = self
            .platform
            .entry(window)
            .or_insert(message.attempt)
            .clone();
        let host = message.host;
        if has_response && self.is_alive(host) && self.waiting[host] == Some(message.number) {
            self.waiting[host] = None;
            self.apply(host, &held);
        }
    }

    fn apply(&mut self, host: usize, window: &UsageWindow) {
        let closed = window.to_closed_window();
        let result = match host {
            0 => {
                assert!(
                    self.queue.close_window(&closed),
                    "the window fits the queued records"
                );
                self.chain.apply(window)
            }
            _ => {
                let store = &mut self.peers[host - 1];
                store.close_window(&process("h0"), INCARNATION, &closed);
                let chain = self.peer_chains[host - 1]
                    .as_mut()
                    .expect("the peer made an attempt");
                chain.apply(window)
            }
        };
        result.expect("the platform's window fits the chain");
    }

    /// Delivers all messages in flight, then lets each live host close its windows.
    fn drain(&mut self) {
        self.waiting.fill(None);
        self.current += 1;
        while !self.attempts.is_empty() {
            self.deliver_attempt(0, false, false);
        }
        for host in 0..=PEERS {
            loop {
                self.waiting[host] = None;
                if !self.is_alive(host) {
                    break;
                }
                self.attempt(host);
                if self.attempts.is_empty() {
                    break;
                }
                self.deliver_attempt(0, false, true);
                self.current += 1;
            }
        }
    }

    /// Compares the windows that the platform stores with the records that were
    /// created; returns a description of the differences.
    fn check(&self) -> String {
        let mut differences = String::new();
        let mut covered = vec![0; self.created.len()];
        for window in self.platform.values() {
            let mut sum = UsageFigures::default();
            for sequence in window.from.0..window.to.0 {
                covered[sequence as usize] += 1;
                sum += self.created[sequence as usize];
            }
            let mut billed = UsageFigures::default();
            for line in &window.lines {
                billed += line.figures;
            }
            if billed != sum {
                let _ = writeln!(differences, "window {} has wrong figures", window.window);
            }
        }
        for (sequence, times) in covered.into_iter().enumerate() {
            // A dead process may have created records without a confirmed copy.
            let must_be_billed = self.is_alive(0) || (sequence as u64) < self.copied.0;
            if times > 1 || (must_be_billed && times == 0) {
                let _ = writeln!(differences, "record {sequence} is billed {times} times");
            }
        }
        differences
    }
}

/// Guards against five failures:
///
/// * All uncovered records are dropped when a window covers a part of them
///   ("record 1 is billed 0 times").
/// * The sums of the covered part stay in the remaining range ("window 2 has
///   wrong figures").
/// * A window is skipped while there are uncovered records ("record 0 is billed 2
///   times").
/// * A peer appends a batch that doesn't continue its range ("window 2 has wrong
///   figures").
/// * A delayed batch replaces a newer one ("record 1 is billed 0 times").
#[test]
fn every_record_is_billed_exactly_once() {
    let seed = rand::random();
    println!("seed {seed}");
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        simulation.drain();
        match simulation.check() {
            differences if differences.is_empty() => Ok(()),
            differences => Err(differences),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, seed))
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Vec<Step>) -> Result<(), String>);
}
