//! The list of upstreams through outages, restarts and refusals.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, present, table_of};
use lagoonlift_policy::dispatch::{
    EngineRole, ListChange, UpstreamId, UpstreamPhase, UpstreamTable,
};
use std::time::Duration;

fn usable(table: &UpstreamTable, ms: u64) -> usize {
    table.usable(SERVICE, at_ms(ms)).count()
}

fn three() -> UpstreamTable {
    let records = (0..3).map(|number| engine(number, EngineRole::Decode));
    table_of(records.collect())
}

fn removed(number: usize) -> ListChange {
    ListChange::Removed(UpstreamId(format!("i-{number:02}")))
}

#[test]
fn removed_upstream_gets_nothing_at_once() {
    let mut table = three();
    assert!(table.apply(at_ms(10), removed(1)).is_some());
    assert_eq!(usable(&table, 10), 2);
}

/// The store drops living upstreams while it is away; they have two seconds to
/// come back, and what is missing then is gone.
#[test]
fn upstreams_missing_after_an_outage_have_time_to_return() {
    let mut table = three();
    table.record_store_unavailable();
    let back = vec![engine(0, EngineRole::Decode)];
    table.record_store_available(at_ms(5_000));
    table.apply_list(at_ms(5_000), back);
    assert_eq!(usable(&table, 5_001), 3);
    table.apply(at_ms(6_000), present(engine(1, EngineRole::Decode)));
    assert!(table.remove_missing(at_ms(6_900)).is_empty());
    assert_eq!(table.remove_missing(at_ms(7_001)).len(), 1);
    assert_eq!(usable(&table, 7_001), 2);
}

/// The outage itself must not keep an upstream that had said it is leaving.
#[test]
fn leaving_upstream_stays_away_through_an_outage() {
    let mut table = three();
    let mut leaving = engine(1, EngineRole::Decode);
    leaving.phase = UpstreamPhase::Leaving;
    table.apply(at_ms(0), present(leaving));
    // A heartbeat that was under way says that it serves.
    table.apply(at_ms(100), present(engine(1, EngineRole::Decode)));
    table.record_store_unavailable();
    table.record_store_available(at_ms(5_000));
    table.apply_list(at_ms(5_000), vec![engine(0, EngineRole::Decode)]);
    assert_eq!(usable(&table, 5_000), 2);
    let usable: Vec<_> = table.usable(SERVICE, at_ms(5_000)).collect();
    assert!(usable.iter().all(|(_, one)| one.record.id.0 != "i-01"));
}

/// A restart under the same identifier is another upstream: nothing that was
/// known of the one before holds.
#[test]
fn restart_under_the_same_identifier_starts_anew() {
    let mut table = three();
    let before = key_of(&table, 1);
    let mut leaving = engine(1, EngineRole::Decode);
    leaving.phase = UpstreamPhase::Leaving;
    table.apply(at_ms(0), present(leaving));
    let mut restarted = engine(1, EngineRole::Decode);
    restarted.started_ms = Some(8);
    assert_eq!(table.apply(at_ms(900), present(restarted)), Some(before));
    assert_ne!(key_of(&table, 1), before);
    assert_eq!(usable(&table, 900), 3);
}

/// An engine that changes its role refuses everything and has nothing in flight.
#[test]
fn engine_that_refuses_in_a_row_is_passed_over() {
    let mut table = three();
    let key = key_of(&table, 1);
    let mut passed_over = 0;
    for ms in (0..3_000).step_by(10) {
        let now = at_ms(ms);
        let upstream = table.get_mut(key).expect("the upstream is listed");
        match upstream.is_usable(now) {
            true => upstream.record_refusal(now),
            false => passed_over += 1,
        }
    }
    assert!(passed_over > 285, "passed over {passed_over} of 300 times");
    let upstream = table.get_mut(key).expect("the upstream is listed");
    upstream.record_response(Duration::from_millis(5));
    assert!(upstream.is_usable(at_ms(3_000)));
}

/// A dead upstream is tried again, less and less often.
#[test]
fn unreachable_upstream_is_tried_ever_less() {
    let mut table = three();
    let key = key_of(&table, 2);
    let mut tries = 0;
    for ms in (0..10_000).step_by(10) {
        let upstream = table.get_mut(key).expect("the upstream is listed");
        if upstream.is_usable(at_ms(ms)) {
            upstream.record_failure(at_ms(ms), true);
            tries += 1;
        }
    }
    assert!((4..=7).contains(&tries), "{tries} tries in 10 s");
}
