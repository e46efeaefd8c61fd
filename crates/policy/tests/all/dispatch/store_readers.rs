//! Who reads the store exactly, as hosts come, go and are cut off.

use super::support::at_ms;
use lagoonlift_policy::dispatch::{StoreReaderSelection, StoreStatus};
use std::net::SocketAddr;

const HOSTS: usize = 80;

fn address(host: u64) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host as u8], 7_662))
}

fn status(is_reading_store: bool, upstream_revision: u64) -> StoreStatus {
    StoreStatus {
        is_reading_store,
        upstream_revision,
    }
}

/// Returns what `own` knows after it has heard `others`, of which the first four
/// read.
fn heard(own: u64, others: impl Iterator<Item = u64>) -> StoreReaderSelection {
    let mut readers = StoreReaderSelection::new(own);
    for host in others.filter(|host| *host != own) {
        readers.record(at_ms(0), host, address(host), status(host < 4, 7));
    }
    readers
}

/// Many hosts that hear each other leave the store to a few.
#[test]
fn large_fleet_reads_through_a_few_hosts() {
    let all = 0..HOSTS as u64;
    let reading = all
        .clone()
        .filter(|own| heard(*own, all.clone()).is_reader(HOSTS));
    assert_eq!(reading.count(), 4);
    let ready = all
        .clone()
        .filter(|own| heard(*own, all.clone()).is_lease_candidate(HOSTS));
    assert_eq!(ready.count(), 8);
}

/// Hosts that are cut off from all others read for themselves.
#[test]
fn host_that_hears_nobody_reads_itself() {
    let mut cut_off = heard(70, 0..HOSTS as u64);
    assert!(!cut_off.is_reader(HOSTS));
    cut_off.expire(at_ms(1_000));
    assert!(cut_off.is_reader(HOSTS));
    assert!(cut_off.is_lease_candidate(HOSTS));
}

/// The readers lose the store and the others don't: the others read themselves.
#[test]
fn readers_without_a_store_are_not_relied_on() {
    let mut reader = heard(70, 0..HOSTS as u64);
    for host in 0..4 {
        reader.record(at_ms(100), host, address(host), status(false, 7));
    }
    assert!(reader.is_reader(HOSTS));
}

/// A few hosts each read for themselves.
#[test]
fn small_fleet_reads_everywhere() {
    assert!((0..9).all(|own| heard(own, 0..9).is_reader(9)));
}

/// A change that a reader knows of is fetched if the stale watch is late with it.
#[test]
fn late_watch_is_noticed_by_what_readers_say() {
    let mut readers = heard(70, 0..HOSTS as u64);
    assert!(!readers.is_watch_behind(at_ms(5_000), 7));
    readers.record(at_ms(6_000), 2, address(2), status(true, 9));
    assert!(!readers.is_watch_behind(at_ms(6_399), 8));
    assert!(readers.is_watch_behind(at_ms(6_400), 8));
    assert!(!readers.is_watch_behind(at_ms(6_400), 9));
}
