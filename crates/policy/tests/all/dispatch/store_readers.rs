//! Tests of the selection of store readers while hosts join, leave and are
//! partitioned.

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
        era: None,
        upstream_revision,
    }
}

/// Creates the selection of the host `own` after it has received the reports of
/// `others`, of which hosts 0 to 3 are store readers.
fn selection_of(own: u64, others: impl Iterator<Item = u64>) -> StoreReaderSelection {
    let mut selection = StoreReaderSelection::new(own);
    for host in others.filter(|host| *host != own) {
        selection.record(at_ms(0), host, address(host), status(host < 4, 7));
    }
    selection
}

/// In a large deployment without partitions, a few hosts are store readers.
#[test]
fn large_deployment_reads_through_a_few_hosts() {
    let all = 0..HOSTS as u64;
    let store_readers = all
        .clone()
        .filter(|own| selection_of(*own, all.clone()).is_reader(HOSTS));
    assert_eq!(store_readers.count(), 4);
    let candidates = all
        .clone()
        .filter(|own| selection_of(*own, all.clone()).is_lease_candidate(HOSTS));
    assert_eq!(candidates.count(), 8);
}

/// A host that is partitioned from all others reads the store itself.
#[test]
fn partitioned_host_reads_the_store_itself() {
    let mut partitioned = selection_of(70, 0..HOSTS as u64);
    assert!(!partitioned.is_reader(HOSTS));
    partitioned.expire(at_ms(1_000));
    assert!(partitioned.is_reader(HOSTS));
    assert!(partitioned.is_lease_candidate(HOSTS));
}

/// The store becomes unavailable only for the store readers. The other hosts then
/// read it themselves.
#[test]
fn hosts_do_not_rely_on_readers_without_a_store() {
    let mut selection = selection_of(70, 0..HOSTS as u64);
    for host in 0..4 {
        selection.record(at_ms(100), host, address(host), status(false, 7));
    }
    assert!(selection.is_reader(HOSTS));
}

/// In a small deployment, every host reads the store itself.
#[test]
fn small_deployment_reads_on_every_host() {
    assert!((0..9).all(|own| selection_of(own, 0..9).is_reader(9)));
}

/// A stale watch counts as behind if it is late with a change that a store reader
/// reported.
#[test]
fn late_watch_is_detected_from_reports_of_readers() {
    let mut selection = selection_of(70, 0..HOSTS as u64);
    assert!(!selection.is_watch_behind(at_ms(5_000), None, 7));
    selection.record(at_ms(6_000), 2, address(2), status(true, 9));
    assert!(!selection.is_watch_behind(at_ms(6_399), None, 8));
    assert!(selection.is_watch_behind(at_ms(6_400), None, 8));
    assert!(!selection.is_watch_behind(at_ms(6_400), None, 9));
}
