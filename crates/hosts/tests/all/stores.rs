//! The configuration never goes back and is never a mixture.

use crate::support::{configuration, cut, print_seed};
use lagoonlift_hosts::{ConfigurationStore, OfferOutcome};
use lagoonlift_types::{ChunkDigest, Configuration, Manifest, Revision};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::sync::LazyLock;

const SCHEDULES: u64 = 3_000;
const OFFERS: usize = 60;
const REVISIONS: u64 = 12;
type Chunks = BTreeMap<ChunkDigest, Vec<u8>>;

const WORKSPACES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns the configuration of a revision; the same for each call.
fn configuration_at(revision: u64) -> Configuration {
    let present = |index: &usize| !(revision + *index as u64).is_multiple_of(3);
    let key = |index: usize| ["k0", "k1", "k2"][(revision as usize / 2 + index) % 3];
    let keys: Vec<[&str; 1]> = (0..WORKSPACES.len()).map(|index| [key(index)]).collect();
    let workspaces: Vec<(&str, &[&str])> = (0..WORKSPACES.len())
        .filter(present)
        .map(|index| (WORKSPACES[index], &keys[index][..]))
        .collect();
    configuration(revision, &workspaces)
}

/// Every revision's configuration with its manifest and chunks, made once.
static REVISIONS_CUT: LazyLock<Vec<(Manifest, Chunks)>> = LazyLock::new(|| {
    (0..REVISIONS)
        .map(|revision| cut(&configuration_at(revision)))
        .collect()
});

fn offer_of(revision: u64, drop_chunk: bool) -> (Manifest, Chunks) {
    let (manifest, mut chunks) = REVISIONS_CUT[revision as usize].clone();
    if drop_chunk {
        chunks.pop_first();
    }
    (manifest, chunks)
}

/// Seen failing with the comparison of revisions left out of `offer`.
#[test]
fn the_revision_never_falls_and_no_mixture_is_in_force() {
    fn holds(offers: Vec<(u64, bool)>) -> bool {
        let store = ConfigurationStore::new();
        let mut highest = 0;
        offers.into_iter().all(|(revision, drop_chunk)| {
            let revision = revision % REVISIONS;
            let (manifest, chunks) = offer_of(revision, drop_chunk);
            let result = store.offer(manifest, chunks);
            let expected = match result {
                OfferOutcome::Accepted => revision > highest,
                OfferOutcome::Older => revision <= highest,
                OfferOutcome::Incomplete => drop_chunk && revision > highest,
                OfferOutcome::Malformed => false,
            };
            if result == OfferOutcome::Accepted {
                highest = revision;
            }
            let current = store.current();
            let in_force = match highest {
                0 => Configuration::default(),
                _ => configuration_at(highest),
            };
            expected && *current == in_force && store.revision() == Revision(highest)
        })
    }
    let random = Gen::from_size_and_seed(OFFERS, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Vec<(u64, bool)>) -> bool);
}

/// A neighbour may hold a revision that was never held here; then the delta may
/// not suffice, but it must not lead to another list than the current one.
///
/// Seen failing with removed chunks left out of the recorded steps.
#[test]
fn a_delta_leads_from_a_known_revision_to_the_current_one_or_nowhere() {
    fn holds(held_here: Vec<u64>, held_there: u64) -> bool {
        let store = ConfigurationStore::new();
        let mut known = vec![0];
        for revision in held_here {
            let (manifest, chunks) = offer_of(revision % REVISIONS, false);
            if store.offer(manifest, chunks) == OfferOutcome::Accepted {
                known.push(revision % REVISIONS);
            }
        }
        let since = held_there % REVISIONS;
        let base = match since {
            0 => Manifest::default(),
            _ => offer_of(since, false).0,
        };
        let current = store.manifest();
        match store.delta(Revision(since)) {
            Some(delta) => match delta.apply(&base) {
                Some(manifest) => manifest == *current,
                None => !known.contains(&since),
            },
            None => current.revision <= Revision(since),
        }
    }
    let random = Gen::from_size_and_seed(OFFERS, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Vec<u64>, u64) -> bool);
}

#[test]
fn a_delta_for_another_history_is_noticed() {
    let store = ConfigurationStore::new();
    for revision in 1..=3 {
        let (manifest, chunks) = offer_of(revision, false);
        store.offer(manifest, chunks);
    }
    let delta = store.delta(Revision(2)).expect("a known revision");
    let (stranger, _) = cut(&configuration(2, &[("elsewhere", &["k"])]));
    assert_eq!(delta.apply(&stranger), None);
}

/// Seen failing with the comparison of digests left out of `offer`.
#[test]
fn a_chunk_with_another_text_than_its_digest_is_refused() {
    let store = ConfigurationStore::new();
    let (manifest, mut chunks) = offer_of(1, false);
    let (_, other) = offer_of(4, false);
    let text = other.into_values().next_back().expect("it has chunks");
    *chunks.first_entry().expect("it has chunks").get_mut() = text;
    assert_eq!(store.offer(manifest, chunks), OfferOutcome::Malformed);
    assert_eq!(store.revision(), Revision(0));
}

#[test]
fn a_change_shares_what_it_leaves_alone() {
    let store = ConfigurationStore::new();
    for (revision, key) in [(1, "old"), (2, "new")] {
        let keys = [key];
        let changed = configuration(revision, &[("a", &["same"]), ("b", &keys)]);
        let (manifest, chunks) = cut(&changed);
        let before = store.current();
        assert_eq!(store.offer(manifest, chunks), OfferOutcome::Accepted);
        let after = store.current();
        for (name, workspace) in &before.workspaces {
            let shared = std::sync::Arc::ptr_eq(workspace, &after.workspaces[name]);
            assert_eq!(shared, name.as_str() == "a");
        }
    }
}
