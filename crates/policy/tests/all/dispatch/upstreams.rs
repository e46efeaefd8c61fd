//! Tests of the list of upstreams during outages, restarts and refusals.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, present, table_of};
use lagoonlift_policy::dispatch::{
    EngineRole, ListChange, PeerLoads, UpstreamId, UpstreamPhase, UpstreamTable,
};
use std::time::Duration;

fn usable(table: &UpstreamTable, ms: u64) -> usize {
    table.usable(SERVICE, at_ms(ms)).count()
}

fn three_engines() -> UpstreamTable {
    let records = (0..3).map(|number| engine(number, EngineRole::Decode));
    table_of(records.collect())
}

fn removed(number: usize) -> ListChange {
    ListChange::Removed(UpstreamId(format!("i-{number:02}")))
}

#[test]
fn removed_upstream_is_not_used() {
    let mut table = three_engines();
    assert!(table.apply(at_ms(10), removed(1)).is_some());
    assert_eq!(usable(&table, 10), 2);
}

/// The store removes live upstreams during an outage. They have two seconds to be
/// listed again, after which missing upstreams are removed.
#[test]
fn upstreams_missing_after_an_outage_have_time_to_be_listed_again() {
    let mut table = three_engines();
    table.record_store_unavailable(at_ms(4_000));
    let listed_again = vec![engine(0, EngineRole::Decode)];
    table.record_store_available(at_ms(5_000), None);
    table.apply_list(at_ms(5_000), listed_again);
    assert_eq!(usable(&table, 5_001), 3);
    table.apply(at_ms(6_000), present(engine(1, EngineRole::Decode)));
    assert!(table.remove_missing(at_ms(6_900)).is_empty());
    assert_eq!(table.remove_missing(at_ms(7_001)).len(), 1);
    assert_eq!(usable(&table, 7_001), 2);
}

/// Guards against upstreams that are dropped because a list doesn't show them that isn't whole, and
/// against a host that takes an empty part for a fleet without upstreams.
#[test]
fn part_of_a_list_removes_no_upstreams() {
    let mut table = three_engines();
    let records = vec![engine(0, EngineRole::Decode), engine(3, EngineRole::Decode)];
    assert_eq!(table.missing_from(&records).len(), 2);
    assert!(table.apply_partial_list(at_ms(10), records).is_empty());
    assert_eq!(usable(&table, 10), 4);
    let mut table = UpstreamTable::new();
    table.apply_partial_list(at_ms(0), Vec::new());
    assert!(!table.is_loaded());
    table.apply_partial_list(at_ms(10), vec![engine(0, EngineRole::Decode)]);
    assert!(table.is_loaded());
}

/// An outage must not retain an upstream that was draining before.
#[test]
fn draining_upstream_is_not_used_after_an_outage() {
    let mut table = three_engines();
    let mut draining = engine(1, EngineRole::Decode);
    draining.phase = UpstreamPhase::Leaving;
    table.apply(at_ms(0), present(draining));
    // A heartbeat that was sent before the drain arrives late and says `Serving`.
    table.apply(at_ms(100), present(engine(1, EngineRole::Decode)));
    table.record_store_unavailable(at_ms(4_000));
    table.record_store_available(at_ms(5_000), None);
    table.apply_list(at_ms(5_000), vec![engine(0, EngineRole::Decode)]);
    assert_eq!(usable(&table, 5_000), 2);
    let usable: Vec<_> = table.usable(SERVICE, at_ms(5_000)).collect();
    assert!(usable.iter().all(|(_, one)| one.record.id.0 != "i-01"));
}

/// A restart under the same identifier counts as another upstream, without the state
/// of the previous incarnation.
#[test]
fn restart_under_the_same_identifier_resets_the_state() {
    let mut table = three_engines();
    let previous = key_of(&table, 1);
    let mut draining = engine(1, EngineRole::Decode);
    draining.phase = UpstreamPhase::Leaving;
    table.apply(at_ms(0), present(draining));
    let mut restarted = engine(1, EngineRole::Decode);
    restarted.started_ms = Some(8);
    assert_eq!(table.apply(at_ms(900), present(restarted)), Some(previous));
    assert_ne!(key_of(&table, 1), previous);
    assert_eq!(usable(&table, 900), 3);
}

/// An engine that changes its role refuses all requests and has none in flight, so it
/// appears idle.
#[test]
fn engine_that_refuses_in_a_row_is_avoided() {
    let mut table = three_engines();
    let key = key_of(&table, 1);
    let mut avoided = 0;
    for ms in (0..3_000).step_by(10) {
        let now = at_ms(ms);
        let upstream = table.get_mut(key).expect("upstream is listed");
        match upstream.is_usable(now) {
            true => upstream.record_refusal(now, &PeerLoads::new()),
            false => avoided += 1,
        }
    }
    assert!(avoided > 285, "avoided {avoided} of 300 times");
    let upstream = table.get_mut(key).expect("upstream is listed");
    upstream.record_response(Duration::from_millis(5));
    assert!(upstream.is_usable(at_ms(3_000)));
}

/// A dead upstream is tried again with an increasing backoff.
#[test]
fn unreachable_upstream_is_tried_less_and_less_often() {
    let mut table = three_engines();
    let key = key_of(&table, 2);
    let mut tries = 0;
    for ms in (0..10_000).step_by(10) {
        let upstream = table.get_mut(key).expect("upstream is listed");
        if upstream.is_usable(at_ms(ms)) {
            upstream.record_failure(at_ms(ms), true);
            tries += 1;
        }
    }
    assert!((4..=7).contains(&tries), "{tries} tries in 10 s");
}

/// This host is cut off from the store for 12 s, in which the store serves the others and
/// upstreams drain and leave. On its return the missing ones are gone at once; they used
/// to get requests for two seconds more.
#[test]
fn upstreams_that_left_during_a_cut_of_one_host_are_not_kept() {
    let mut table = three_engines();
    table.record_store_unavailable(at_ms(4_000));
    let available_since = Some(at_ms(0));
    table.record_store_available(at_ms(12_000), available_since);
    let removed = table.apply_list(at_ms(12_000), vec![engine(0, EngineRole::Decode)]);
    assert_eq!(removed.len(), 2);
    assert_eq!(usable(&table, 12_000), 1);
}

/// The store returns for everybody, and this host notices it 1.5 s after the readers.
/// Upstreams have half a second left to be listed again.
#[test]
fn time_to_be_listed_again_counts_from_the_return_of_the_store() {
    let mut table = three_engines();
    table.record_store_unavailable(at_ms(4_000));
    table.record_store_available(at_ms(9_500), Some(at_ms(8_000)));
    table.apply_list(at_ms(9_500), vec![engine(0, EngineRole::Decode)]);
    assert_eq!(usable(&table, 9_600), 3);
    assert_eq!(table.remove_missing(at_ms(10_001)).len(), 2);
}
