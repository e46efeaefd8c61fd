//! The revision in force never decreases, and a configuration is never a
//! mixture.

use crate::support::{configuration, manifest_of, print_seed};
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

/// Returns the configuration of a revision, which is the same for each call.
fn configuration_at(revision: u64) -> Configuration {
    let is_present = |index: &usize| !(revision + *index as u64).is_multiple_of(3);
    let key = |index: usize| ["k0", "k1", "k2"][(revision as usize / 2 + index) % 3];
    let keys: Vec<[&str; 1]> = (0..WORKSPACES.len()).map(|index| [key(index)]).collect();
    let workspaces: Vec<(&str, &[&str])> = (0..WORKSPACES.len())
        .filter(is_present)
        .map(|index| (WORKSPACES[index], &keys[index][..]))
        .collect();
    configuration(revision, &workspaces)
}

/// The manifest and chunks of every revision, computed once.
static MANIFESTS: LazyLock<Vec<(Manifest, Chunks)>> = LazyLock::new(|| {
    (0..REVISIONS)
        .map(|revision| manifest_of(&configuration_at(revision)))
        .collect()
});

fn offer_of(revision: u64, is_incomplete: bool) -> (Manifest, Chunks) {
    let (manifest, mut chunks) = MANIFESTS[revision as usize].clone();
    if is_incomplete {
        chunks.pop_first();
    }
    (manifest, chunks)
}

/// Fails if `offer` doesn't compare revisions.
#[test]
fn the_revision_never_falls_and_no_mixture_is_in_force() {
    fn holds(offers: Vec<(u64, bool)>) -> bool {
        let store = ConfigurationStore::new();
        let mut highest = 0;
        offers.into_iter().all(|(revision, is_incomplete)| {
            let revision = revision % REVISIONS;
            let (manifest, chunks) = offer_of(revision, is_incomplete);
            let result = store.offer(manifest, chunks);
            let is_expected = match result {
                OfferOutcome::Accepted => revision > highest,
                OfferOutcome::Older => revision <= highest,
                OfferOutcome::Incomplete => is_incomplete && revision > highest,
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
            is_expected && *current == in_force && store.revision() == Revision(highest)
        })
    }
    let random = Gen::from_size_and_seed(OFFERS, print_seed());
    QuickCheck::new()
        .rng(random)
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Vec<(u64, bool)>) -> bool);
}

/// A peer may hold a revision that was never held here. Then the delta may not
/// be sufficient, but it must not lead to a list other than the current one.
///
/// Fails if the recorded steps omit removed chunks.
#[test]
fn a_delta_leads_to_the_current_manifest_or_is_rejected() {
    fn holds(local_revisions: Vec<u64>, peer_revision: u64) -> bool {
        let store = ConfigurationStore::new();
        let mut held_revisions = vec![0];
        for revision in local_revisions {
            let (manifest, chunks) = offer_of(revision % REVISIONS, false);
            if store.offer(manifest, chunks) == OfferOutcome::Accepted {
                held_revisions.push(revision % REVISIONS);
            }
        }
        let since = peer_revision % REVISIONS;
        let base = match since {
            0 => Manifest::default(),
            _ => offer_of(since, false).0,
        };
        let current = store.manifest();
        match store.delta(Revision(since)) {
            Some(delta) => match delta.apply(&base) {
                Some(manifest) => manifest == *current,
                None => !held_revisions.contains(&since),
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
fn a_delta_for_another_history_is_rejected() {
    let store = ConfigurationStore::new();
    for revision in 1..=3 {
        let (manifest, chunks) = offer_of(revision, false);
        store.offer(manifest, chunks);
    }
    let delta = store.delta(Revision(2)).expect("a known revision");
    let (other_manifest, _) = manifest_of(&configuration(2, &[("elsewhere", &["k"])]));
    assert_eq!(delta.apply(&other_manifest), None);
}

/// Fails if `offer` doesn't compare digests.
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
fn a_change_shares_unchanged_workspaces() {
    let store = ConfigurationStore::new();
    for (revision, key) in [(1, "old"), (2, "new")] {
        let keys = [key];
        let changed = configuration(revision, &[("a", &["same"]), ("b", &keys)]);
        let (manifest, chunks) = manifest_of(&changed);
        let before = store.current();
        assert_eq!(store.offer(manifest, chunks), OfferOutcome::Accepted);
        let after = store.current();
        for (name, workspace) in &before.workspaces {
            let is_shared = std::sync::Arc::ptr_eq(workspace, &after.workspaces[name]);
            assert_eq!(is_shared, name.as_str() == "a");
        }
    }
}
