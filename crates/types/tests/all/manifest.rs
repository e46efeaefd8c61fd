//! Tests that a configuration stays the same when it is split into chunks and
//! assembled again.

use lagoonlift_types::{
    AssembleError, ChunkDigest, Configuration, DataCentreCapacity, DataCentreName, KeyDigest,
    Limits, Manifest, Revision, Workspace, WorkspaceName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn configuration() -> Configuration {
    let workspace = Workspace {
        keys: BTreeSet::from([KeyDigest::of("secret")]),
        models: BTreeSet::new(),
        classes: BTreeMap::new(),
        routes: BTreeMap::new(),
        limits: Limits {
            requests_per_second: 1.0,
            tokens_per_second: 10.0,
            burst_seconds: 2.0,
        },
        weight: 1,
    };
    let name = WorkspaceName::new("plumbers").expect("a valid name");
    let data_centre = DataCentreName::new("dc1").expect("a valid name");
    Configuration {
        revision: Revision(7),
        workspaces: BTreeMap::from([(name, Arc::new(workspace))]),
        data_centres: BTreeMap::from([(data_centre, Arc::new(DataCentreCapacity::default()))]),
    }
}

#[test]
fn assemble_inverts_split() {
    let before = configuration();
    let (manifest, chunks) = Manifest::split(&before).expect("the values can be written as JSON");
    let text = serde_json::to_vec(&manifest).expect("the values can be written as JSON");
    let manifest: Manifest = serde_json::from_slice(&text).expect("the manifest parses");
    let after = manifest.assemble(|digest| chunks.get(&digest));
    assert_eq!(after, Ok(before));
}

#[test]
fn a_missing_chunk_is_named() {
    let (manifest, _) =
        Manifest::split(&configuration()).expect("the values can be written as JSON");
    let result = manifest.assemble(|_| None::<Vec<u8>>);
    assert!(
        matches!(result, Err(AssembleError::Missing(_))),
        "{result:?}"
    );
}

/// Guards against a digest that depends on the order of the members: this failed
/// while the text was written in the order of the fields.
#[test]
fn a_chunk_keeps_its_digest_when_a_store_sorts_its_members() {
    let (_, chunks) = Manifest::split(&configuration()).expect("the values can be written as JSON");
    for (digest, text) in chunks {
        let mut value: serde_json::Value = serde_json::from_slice(&text).expect("JSON text");
        value.sort_all_objects();
        let again = serde_json::to_vec(&value).expect("a JSON value");
        assert_eq!(ChunkDigest::of(&again), digest);
    }
}
