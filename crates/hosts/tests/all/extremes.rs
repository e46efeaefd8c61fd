//! Well-formed messages with absurd content, from a process that knows the key.

use crate::support::{data_centre, print_seed, process};
use lagoonlift_hosts::{
    ClosedWindow, CopyBatch, CopyStore, Datagram, DatagramKind, IncarnationId, MemberRecord,
    Membership, MembershipConfig, ReportedState, UsagePosition, UsageRange,
};
use lagoonlift_types::{Incarnation, Revision, Sequence, UsageFigures, WindowId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const CASES: u64 = 2_000;
const LENGTH: usize = 30;
const OWN_INCARNATION: Incarnation = Incarnation(5);

/// A number that is small, or close to the largest.
#[derive(Clone, Copy, Debug)]
struct Extreme(u64);

impl Arbitrary for Extreme {
    fn arbitrary(random: &mut Gen) -> Self {
        let near = u64::from(u8::arbitrary(random) % 8);
        Self(match bool::arbitrary(random) {
            true => near,
            false => u64::MAX - near,
        })
    }
}

/// What a batch of copies is made from.
type BatchParts = ((Extreme, Extreme), (Extreme, Extreme, bool));

/// What a datagram is made from.
type Parts = (u8, Extreme, Extreme, Extreme);

fn fact(host: u8, incarnation: Extreme, refutation: Extreme) -> MemberRecord {
    let states = [
        ReportedState::Alive,
        ReportedState::Draining,
        ReportedState::Suspect,
        ReportedState::Left,
    ];
    MemberRecord {
        process: process(&format!("h{}", host % 4)),
        data_centre: data_centre("dc1"),
        address: ([127, 0, 0, 1], u16::from(host)).into(),
        incarnation: Incarnation(incarnation.0),
        refutation: refutation.0 as u32,
        state: states[usize::from(host / 4 % 4)],
    }
}

fn datagram((host, incarnation, refutation, sequence): Parts) -> Datagram {
    let target = IncarnationId::of(&process("h0"), OWN_INCARNATION);
    let kinds = [
        DatagramKind::Ping { probe: sequence.0 },
        DatagramKind::Ack { probe: sequence.0 },
        DatagramKind::IndirectPing {
            probe: sequence.0,
            target,
            address: ([127, 0, 0, 1], 9).into(),
        },
        DatagramKind::Gossip,
    ];
    Datagram {
        sender: fact(host, incarnation, refutation),
        to: target,
        sequence: sequence.0,
        kind: kinds[usize::from(host / 16 % 4)],
        revision: Revision(sequence.0),
        fleets: Vec::new(),
        member_records: vec![fact(host / 2, incarnation, refutation)],
    }
}

/// Seen failing with a refutation number that is raised without a limit.
#[test]
fn absurd_datagrams_never_panic() {
    fn holds(arrivals: Vec<(Parts, bool)>) -> bool {
        let own = fact(0, Extreme(OWN_INCARNATION.0), Extreme(0));
        let config = MembershipConfig {
            own,
            heartbeat_interval: Duration::from_secs(1),
            seeds: Vec::new(),
            random_seed: 1,
        };
        let mut now = Duration::ZERO;
        let mut membership = Membership::new(config, now);
        for (parts, round) in arrivals {
            let from = ([127, 0, 0, 1], 1).into();
            let mut actions = Vec::new();
            // Most of them are refused.
            let _ = membership.receive(now, from, datagram(parts), &mut actions);
            if round {
                now += Duration::from_secs(1);
                membership.tick(now, &mut actions);
            }
        }
        membership.own().incarnation == OWN_INCARNATION
    }
    let random = Gen::from_size_and_seed(LENGTH, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(CASES)
        .quickcheck(holds as fn(Vec<(Parts, bool)>) -> bool);
}

/// Seen failing with figures added up without a limit.
#[test]
fn absurd_copies_never_panic() {
    fn holds(batches: Vec<BatchParts>) -> bool {
        let mut ledger = CopyStore::new();
        for ((window, covered), (from, to, is_full)) in batches {
            let mut range = UsageRange::new(Sequence(from.0));
            range.to = Sequence(to.0);
            let figures = UsageFigures {
                requests: u64::MAX,
                prompt_tokens: from.0,
                output_tokens: to.0,
            };
            let names = ("plumbers".parse(), "default".parse());
            let (workspace, class) = (names.0.expect("valid"), names.1.expect("valid"));
            range.sums.add(&workspace, &class, figures);
            let closed = ClosedWindow {
                window: WindowId(window.0),
                range: range.clone(),
            };
            ledger.close_window(&process("h0"), Incarnation(1), &closed);
            ledger.add_batch(CopyBatch {
                process: process("h0"),
                incarnation: Incarnation(1),
                position: UsagePosition {
                    next_window: WindowId(window.0),
                    covered_to: Sequence(covered.0),
                },
                is_full,
                range,
            });
        }
        ledger
            .held()
            .iter()
            .all(|held| held.range.from == held.position.covered_to)
    }
    let random = Gen::from_size_and_seed(LENGTH, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(CASES)
        .quickcheck(holds as fn(Vec<BatchParts>) -> bool);
}
