//! Single steps of the lease state machine.

use lagoonlift_platform::Version;
use lagoonlift_steward::{
    BootTime, LeaseAction, LeaseCallFailure, LeaseConfig, LeaseEvent, LeaseIdentity, LeaseRecord,
    LeaseStateMachine, StoredLease,
};
use lagoonlift_types::{Epoch, HostName, Incarnation, ProcessId, ProcessRole};
use std::time::Duration;

const TERM: Duration = Duration::from_secs(10);
const MARGIN: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> BootTime {
    BootTime(Duration::from_secs(seconds))
}

fn identity(host: &str) -> LeaseIdentity {
    LeaseIdentity {
        process: ProcessId {
            host: HostName::new(host).expect("a valid name"),
            role: ProcessRole::Steward,
        },
        incarnation: Incarnation(1),
        nonce: 7,
    }
}

fn machine(host: &str) -> LeaseStateMachine {
    LeaseStateMachine::new(LeaseConfig {
        identity: identity(host),
        term: TERM,
    })
}

fn stored(record: LeaseRecord, version: u64) -> Box<StoredLease> {
    Box::new(StoredLease {
        record,
        version: Version(version),
    })
}

fn written(action: Option<LeaseAction>) -> LeaseRecord {
    match action {
        Some(LeaseAction::Write { record, .. }) => record,
        other => panic!("expected a write, got {other:?}"),
    }
}

/// Lets a state machine acquire a lease that doesn't exist yet. Returns the record,
/// which it writes at 11 s.
fn take_absent(machine: &mut LeaseStateMachine) -> LeaseRecord {
    assert_eq!(
        machine.handle(at(0), LeaseEvent::TimerFired),
        Some(LeaseAction::Read)
    );
    assert_eq!(
        machine.handle(at(0), LeaseEvent::ReadCompleted(Ok(None))),
        None
    );
    let read = machine.handle(at(4), LeaseEvent::TimerFired);
    assert_eq!(read, Some(LeaseAction::Read));
    assert_eq!(
        machine.handle(at(10), LeaseEvent::ReadCompleted(Ok(None))),
        None
    );
    written(machine.handle(at(11), LeaseEvent::TimerFired))
}

/// Lets a state machine hold the lease from 12 s. Returns the record.
fn hold(machine: &mut LeaseStateMachine) -> LeaseRecord {
    let record = take_absent(machine);
    machine.handle(at(12), LeaseEvent::WriteCompleted(Ok(Version(1))));
    record
}

/// Fails if the deadline counts from the receipt of the response.
#[test]
fn the_deadline_counts_from_before_the_write_was_sent() {
    let mut machine = machine("a");
    let record = hold(&mut machine);
    let grant = machine.grant().expect("the lease is held");
    assert_eq!(record.epoch, Epoch(1));
    assert_eq!(grant.deadline, at(11) + (TERM - MARGIN));
}

/// Fails if a lost response counts as a success.
#[test]
fn a_lost_answer_grants_nothing_until_a_read_shows_the_write() {
    let mut machine = machine("a");
    let record = take_absent(&mut machine);
    machine.handle(
        at(12),
        LeaseEvent::WriteCompleted(Err(LeaseCallFailure::OutcomeUnknown)),
    );
    assert_eq!(machine.grant(), None);
    let read = machine.handle(at(13), LeaseEvent::TimerFired);
    assert_eq!(read, Some(LeaseAction::Read));
    machine.handle(
        at(14),
        LeaseEvent::ReadCompleted(Ok(Some(stored(record, 1)))),
    );
    let grant = machine.grant().expect("the read shows the write");
    assert_eq!(grant.deadline, at(11) + (TERM - MARGIN));
}

/// Fails if `handle` doesn't call `expire` before it handles the event.
#[test]
fn a_holder_paused_past_its_term_holds_nothing_when_it_wakes() {
    let mut machine = machine("a");
    hold(&mut machine);
    machine.handle(at(20), LeaseEvent::TimerFired);
    assert_eq!(machine.grant(), None);
}

#[test]
fn a_renewal_after_the_deadline_regains_the_same_epoch() {
    let mut machine = machine("a");
    hold(&mut machine);
    let renewal = written(machine.handle(at(30), LeaseEvent::TimerFired));
    assert_eq!((renewal.epoch, machine.grant()), (Epoch(1), None));
    machine.handle(at(31), LeaseEvent::WriteCompleted(Ok(Version(2))));
    let grant = machine.grant().expect("no other holder came in between");
    assert_eq!(grant.deadline, at(30) + (TERM - MARGIN));
}

/// Fails if a conflict is treated like a failure that is retried.
#[test]
fn a_holder_that_was_replaced_stops_at_once() {
    let mut machine = machine("a");
    let record = hold(&mut machine);
    written(machine.handle(at(15), LeaseEvent::TimerFired));
    let other = LeaseRecord {
        epoch: Epoch(2),
        identity: identity("b"),
        ..record
    };
    let conflict = LeaseCallFailure::Conflict(Some(stored(other, 2)));
    machine.handle(at(16), LeaseEvent::WriteCompleted(Err(conflict)));
    assert_eq!(machine.grant(), None);
}

/// Fails if the successor waits one term without the margin.
#[test]
fn a_successor_waits_a_term_and_the_margin_from_its_first_sight() {
    let mut holder = machine("a");
    let record = hold(&mut holder);
    let mut successor = machine("b");
    successor.handle(at(0), LeaseEvent::TimerFired);
    let seen = LeaseEvent::ReadCompleted(Ok(Some(stored(record.clone(), 1))));
    assert_eq!(successor.handle(at(15), seen.clone()), None);
    let mut now = 15;
    let taken = loop {
        now += 1;
        match successor.handle(at(now), LeaseEvent::TimerFired) {
            Some(LeaseAction::Read) => successor.handle(at(now), seen.clone()),
            Some(LeaseAction::Write { record, .. }) => break record,
            None => None,
        };
    };
    assert_eq!(now, 26, "first seen at 15, term 10, margin 1");
    assert_eq!(taken.epoch, Epoch(2));
    assert_eq!(taken.predecessors.len(), 1);
}

#[test]
fn a_moving_version_starts_the_wait_again() {
    let mut holder = machine("a");
    let record = hold(&mut holder);
    let mut successor = machine("b");
    successor.handle(at(0), LeaseEvent::TimerFired);
    for step in 0..20 {
        let now = at(step * 5);
        let seen = LeaseEvent::ReadCompleted(Ok(Some(stored(record.clone(), step))));
        successor.handle(now, seen);
        let action = successor.handle(at(step * 5 + 4), LeaseEvent::TimerFired);
        assert_eq!(action, Some(LeaseAction::Read));
    }
}

/// Fails if the successor waits out the term of a released record.
#[test]
fn a_released_lease_is_taken_at_once_and_leaves_no_predecessor() {
    let mut holder = machine("a");
    hold(&mut holder);
    let released = written(holder.handle(at(13), LeaseEvent::ReleaseRequested));
    assert!(released.released);
    assert_eq!(
        holder.grant(),
        None,
        "the grant ends before the write is sent"
    );
    holder.handle(at(14), LeaseEvent::WriteCompleted(Ok(Version(2))));
    assert!(holder.is_release_complete());
    let mut successor = machine("b");
    successor.handle(at(0), LeaseEvent::TimerFired);
    let seen = LeaseEvent::ReadCompleted(Ok(Some(stored(released, 2))));
    let taken = written(successor.handle(at(1), seen));
    assert_eq!(taken.epoch, Epoch(2));
    assert!(taken.predecessors.is_empty());
}

/// Fails if the next epoch is derived from the object alone.
#[test]
fn an_epoch_is_not_used_twice_when_the_object_is_lost() {
    let mut machine = machine("b");
    let record = {
        let mut holder = self::machine("a");
        LeaseRecord {
            epoch: Epoch(41),
            ..hold(&mut holder)
        }
    };
    machine.handle(at(0), LeaseEvent::TimerFired);
    machine.handle(
        at(1),
        LeaseEvent::ReadCompleted(Ok(Some(stored(record, 9)))),
    );
    machine.handle(at(5), LeaseEvent::TimerFired);
    machine.handle(at(6), LeaseEvent::ReadCompleted(Ok(None)));
    machine.handle(at(10), LeaseEvent::TimerFired);
    machine.handle(at(11), LeaseEvent::ReadCompleted(Ok(None)));
    let mut now = 11;
    let taken = loop {
        now += 1;
        match machine.handle(at(now), LeaseEvent::TimerFired) {
            Some(LeaseAction::Read) => machine.handle(at(now), LeaseEvent::ReadCompleted(Ok(None))),
            Some(LeaseAction::Write { record, .. }) => break record,
            None => None,
        };
    };
    assert_eq!(taken.epoch, Epoch(42));
}

/// Fails if a renewal keeps predecessors that are known to be resolved.
#[test]
fn a_resolved_predecessor_is_dropped_from_the_next_renewal() {
    let mut holder = machine("a");
    let record = hold(&mut holder);
    let mut successor = machine("b");
    successor.handle(at(0), LeaseEvent::TimerFired);
    successor.handle(
        at(1),
        LeaseEvent::ReadCompleted(Ok(Some(stored(record, 1)))),
    );
    // After the failed read, the next call is a retry at 6 s, so the timer at 5 s leads
    // to no call. The retry at 12 s finds the lease unchanged for a term and the safety
    // margin, so the successor takes over.
    successor.handle(at(5), LeaseEvent::TimerFired);
    successor.handle(
        at(5),
        LeaseEvent::ReadCompleted(Err(LeaseCallFailure::NotApplied)),
    );
    let taken = written(successor.handle(at(5), LeaseEvent::TimerFired).or_else(|| {
        let read = successor.handle(at(12), LeaseEvent::TimerFired);
        assert_eq!(read, Some(LeaseAction::Read));
        let lease = successor
            .record()
            .cloned()
            .expect("a record was read before");
        successor.handle(
            at(12),
            LeaseEvent::ReadCompleted(Ok(Some(stored(lease, 1)))),
        )
    }));
    successor.handle(at(13), LeaseEvent::WriteCompleted(Ok(Version(2))));
    let predecessors = successor.predecessors();
    assert_eq!(predecessors, taken.predecessors);
    let renewal = written(successor.handle(at(14), LeaseEvent::PredecessorsResolved(predecessors)));
    assert!(renewal.predecessors.is_empty());
    assert!(successor.predecessors().is_empty());
}
