//! Tests of a data centre that becomes unreachable from this host and recovers.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, table_of};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{EngineRole, UpstreamTable};

/// Connection timeout, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Creates a fleet of ten engines in each of the data centres a, b and c.
fn thirty_engines() -> UpstreamTable {
    let records = (0..30).map(|number| engine(number, EngineRole::Prefill));
    table_of(records.collect())
}

fn usable_in(table: &UpstreamTable, data_centre: &str, ms: u64) -> usize {
    let usable = table.usable(SERVICE, at_ms(ms));
    usable
        .filter(|(_, one)| one.record.data_centre == data_centre)
        .count()
}

/// Sends a request every 10 ms, to the usable engines in turn. The engines in data
/// centre a are unreachable from `partition_start` to `partition_end`. Returns the
/// number of requests that were delayed by a connection timeout. All times are in
/// milliseconds.
fn simulate_partition(
    table: &mut UpstreamTable,
    partition_start: u64,
    partition_end: u64,
    end: u64,
) -> usize {
    let mut connecting: Vec<(u64, UpstreamKey)> = Vec::new();
    let mut request = 0;
    let mut delayed = 0;
    for ms in (0..end).step_by(10) {
        let now = at_ms(ms);
        let due = connecting.extract_if(.., |(since, _)| *since + CONNECT_TIMEOUT_MS <= ms);
        for (_, key) in due.collect::<Vec<_>>() {
            table.record_contact(now, key, false);
            table
                .get_mut(key)
                .expect("upstream is listed")
                .record_failure(now, true);
        }
        let usable: Vec<UpstreamKey> = table.usable(SERVICE, now).map(|(key, _)| key).collect();
        request += 1;
        let key = usable[request % usable.len()];
        table.record_send(now, key);
        let is_partitioned = table
            .get(key)
            .expect("upstream is listed")
            .record
            .data_centre
            == "a";
        match is_partitioned && (partition_start..partition_end).contains(&ms) {
            true => {
                delayed += 1;
                connecting.push((ms, key));
            }
            false => {
                table.record_contact(now, key, true);
            }
        }
    }
    delayed
}

/// A data centre is unreachable for 6 s. After the first timeouts, only single probe
/// requests are delayed, not one for each engine and backoff.
///
/// The test fails if `MIN_TIMED_OUT_UPSTREAMS` is changed to 100: 57 requests are
/// delayed then.
#[test]
fn unreachable_data_centre_is_detected_from_a_few_engines() {
    let mut table = thirty_engines();
    let delayed = simulate_partition(&mut table, 1_000, 7_000, 7_000);
    let sent_before_first_timeout = (CONNECT_TIMEOUT_MS / 10 / 3) as usize + 1;
    assert!(
        delayed <= sent_before_first_timeout + 8,
        "{delayed} requests delayed"
    );
}

/// A data centre is used again soon after it has become reachable.
///
/// The test fails if `MIN_TIMED_OUT_UPSTREAMS` is changed to 100, and also if the code
/// is changed so that responses do not clear the recorded timeouts.
#[test]
fn recovered_data_centre_is_used_again() {
    let mut table = thirty_engines();
    simulate_partition(&mut table, 1_000, 4_000, 5_500);
    assert!(usable_in(&table, "a", 5_500) >= 8);
}

/// Two engines of a data centre are dead while the others respond. The data centre
/// does not count as unreachable.
///
/// The test fails if the code is changed so that a response does not clear the recorded
/// timeouts.
#[test]
fn dead_engines_do_not_make_their_data_centre_unreachable() {
    let mut table = thirty_engines();
    for (ms, dead, alive) in [(0, 0, 3), (10, 6, 9), (20, 0, 3)] {
        table.record_contact(at_ms(ms), key_of(&table, dead), false);
        table.record_contact(at_ms(ms + 5), key_of(&table, alive), true);
    }
    assert_eq!(usable_in(&table, "a", 30), 10);
}

/// If all data centres are unreachable, all listed upstreams are still tried.
///
/// The test fails if the fallback to unreachable data centres is removed.
#[test]
fn host_without_any_connection_still_tries() {
    let mut table = thirty_engines();
    for number in 0..6 {
        table.record_contact(at_ms(0), key_of(&table, number), false);
    }
    assert_eq!(table.usable(SERVICE, at_ms(1)).count(), 30);
}
