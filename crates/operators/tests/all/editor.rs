//! Tests that concurrent changes by operators and lost responses of the platform
//! undo no change.

use crate::questionnaire::workspace_draft;
use insta::assert_snapshot;
use lagoonlift_operators::{
    AcceptOutcome, ConfigurationEditor, Draft, EditError, KnownUpstreams, key_id,
    read_questionnaire,
};
use lagoonlift_platform::PlatformClient;
use lagoonlift_standins::platform::{FaultEffect, FaultRule, PlatformStandin};
use lagoonlift_types::{
    Chunk, ChunkName, Configuration, DataCentreCapacity, KeyDigest, Manifest, Revision, Workspace,
    WorkspaceName,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const MANIFEST_PATH: &str = "/objects/config/manifest";
const RACING_OPERATORS: usize = 8;

async fn start_platform() -> PlatformStandin {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    PlatformStandin::start(listen).await.expect("a free port")
}

fn editor(platform: &PlatformStandin) -> ConfigurationEditor {
    let token = "operator".to_owned();
    let client = PlatformClient::new(platform.addr(), token, Duration::from_secs(2));
    ConfigurationEditor::new(client)
}

fn name(text: &str) -> WorkspaceName {
    WorkspaceName::new(text).expect("a valid name")
}

fn weighted_draft(workspace: &str, weight: u32) -> Draft {
    let mut draft = workspace_draft();
    let Chunk::Workspace(content) = &draft.content else {
        panic!("not a workspace");
    };
    let content = Workspace {
        weight,
        ..Workspace::clone(content)
    };
    draft.content = Chunk::Workspace(Arc::new(content));
    draft.name = ChunkName::Workspace(name(workspace));
    draft
}

async fn put_in_force(editor: &ConfigurationEditor, draft: Draft) -> AcceptOutcome {
    let proposal = editor.propose(draft).await.expect("the platform is up");
    editor
        .accept(&proposal.id)
        .await
        .expect("the platform is up")
}

/// Returns the configuration in force, assembled as on a host.
fn in_force(platform: &PlatformStandin) -> Configuration {
    let manifest = platform.object(Manifest::KEY).expect("a manifest");
    let manifest: Manifest = serde_json::from_value(manifest).expect("a manifest");
    let text_of = |digest| {
        let value = platform.object(&Manifest::chunk_key(digest))?;
        serde_json::to_vec(&value).ok()
    };
    manifest.assemble(text_of).expect("all chunks are there")
}

/// Returns every manifest that was written, in order.
fn manifests(platform: &PlatformStandin) -> Vec<Manifest> {
    let history = platform.history();
    let writes = history
        .into_iter()
        .filter(|write| write.key == Manifest::KEY);
    writes
        .filter_map(|write| serde_json::from_value(write.value?).ok())
        .collect()
}

#[tokio::test]
async fn a_proposal_is_stored_accepted_and_in_force() {
    let platform = start_platform().await;
    let editor = editor(&platform);
    let text = include_str!("../../../../examples/destapes/dc1.ini");
    let draft = read_questionnaire(text, &KnownUpstreams::default()).expect("a valid example");
    assert_eq!(
        put_in_force(&editor, draft).await,
        AcceptOutcome::InForce(Revision(1))
    );
    let known = editor.known_upstreams().await.expect("the platform is up");
    assert_eq!(known, crate::questionnaire::known_upstreams());

    let proposal = editor
        .propose(workspace_draft())
        .await
        .expect("the platform is up");
    let again = editor
        .propose(workspace_draft())
        .await
        .expect("the platform is up");
    assert_eq!(again, proposal);
    let accepted = editor.accept(&proposal.id).await;
    assert_eq!(accepted, Ok(AcceptOutcome::InForce(Revision(2))));
    let accepted = editor.accept(&proposal.id).await;
    assert_eq!(accepted, Ok(AcceptOutcome::AlreadyInForce(Revision(2))));

    let configuration = in_force(&platform);
    let Chunk::Workspace(expected) = workspace_draft().content else {
        panic!("not a workspace");
    };
    assert_eq!(configuration.revision, Revision(2));
    assert_eq!(
        configuration.workspaces[&name("property-manager")],
        expected
    );
}

/// Guards against overwriting a concurrent change: accepting a proposal must compare
/// the chunk in force with the one that the author saw.
#[tokio::test]
async fn the_second_of_two_racing_operators_sees_the_first_ones_change() {
    let platform = start_platform().await;
    let (first, second) = (editor(&platform), editor(&platform));
    put_in_force(&first, workspace_draft()).await;
    let workspace = "property-manager";
    let one = first
        .propose(weighted_draft(workspace, 5))
        .await
        .expect("the platform is up");
    let other = second
        .propose(weighted_draft(workspace, 7))
        .await
        .expect("the platform is up");
    let accepted = first.accept(&one.id).await;
    assert_eq!(accepted, Ok(AcceptOutcome::InForce(Revision(2))));
    let refused = second.accept(&other.id).await.expect("the platform is up");
    let AcceptOutcome::Conflict {
        revision,
        others,
        proposed,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert_snapshot!(
        "race",
        format!("at {revision}\nothers:\n{others}proposed:\n{proposed}")
    );
    assert_eq!(in_force(&platform).workspaces[&name(workspace)].weight, 5);
}

/// Guards against lost updates of the manifest, which occur if it is replaced without
/// a compare-and-swap on its version.
#[tokio::test]
async fn operators_of_different_workspaces_do_not_undo_each_other() {
    let platform = start_platform().await;
    let operators = (0..RACING_OPERATORS).map(|number| {
        let editor = editor(&platform);
        async move {
            let workspace = format!("team-{number}");
            put_in_force(&editor, weighted_draft(&workspace, 2)).await;
            put_in_force(&editor, weighted_draft(&workspace, 3)).await
        }
    });
    let operators: Vec<_> = operators.map(tokio::spawn).collect();
    for operator in operators {
        let accepted = operator.await.expect("the task does not panic");
        assert!(
            matches!(accepted, AcceptOutcome::InForce(_)),
            "{accepted:?}"
        );
    }
    let configuration = in_force(&platform);
    assert_eq!(configuration.workspaces.len(), RACING_OPERATORS);
    assert!(configuration.workspaces.values().all(|w| w.weight == 3));
    let manifests = manifests(&platform);
    assert_eq!(manifests.len(), 2 * RACING_OPERATORS);
    for pair in manifests.windows(2) {
        assert_eq!(pair[1].revision, pair[0].revision.next());
        let kept = pair[0]
            .chunks
            .iter()
            .filter(|(name, digest)| pair[1].chunks.get(*name) == Some(*digest));
        assert!(kept.count() + 1 >= pair[0].chunks.len(), "{pair:?}");
    }
}

/// Guards against returning an error for a lost response, although reading the
/// manifest shows whether the write took effect.
#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_the_manifest() {
    for effect in [FaultEffect::LoseAnswer, FaultEffect::LoseRequest] {
        let platform = start_platform().await;
        let editor = editor(&platform);
        let proposal = editor
            .propose(workspace_draft())
            .await
            .expect("the platform is up");
        let rule = FaultRule::new(MANIFEST_PATH, effect).with_remaining(1);
        platform.faults().add(rule);
        let accepted = editor
            .accept(&proposal.id)
            .await
            .expect("the manifest is read again");
        let expected = match effect {
            FaultEffect::LoseAnswer => AcceptOutcome::AlreadyInForce(Revision(1)),
            _ => AcceptOutcome::InForce(Revision(1)),
        };
        assert_eq!(accepted, expected);
        assert_eq!(manifests(&platform).len(), 1);
    }
}

/// Guards against retrying a write that may have taken effect: if someone else has
/// reverted it since, the retry would undo their change.
#[tokio::test]
async fn a_lost_acceptance_is_not_retried_over_a_later_change() {
    let platform = start_platform().await;
    let editor = editor(&platform);
    put_in_force(&editor, workspace_draft()).await;
    let before = platform.object(Manifest::KEY).expect("a manifest");
    let mut later: Manifest = serde_json::from_value(before).expect("a manifest");
    let proposal = editor
        .propose(weighted_draft("property-manager", 9))
        .await
        .expect("the platform is up");

    platform
        .faults()
        .add(FaultRule::new(MANIFEST_PATH, FaultEffect::LoseAnswer).with_remaining(1));
    let accepting = tokio::spawn(async move { editor.accept(&proposal.id).await });
    while manifests(&platform).len() < 2 {
        tokio::task::yield_now().await;
    }
    // Someone else restores the previous content. The test and the editor share one
    // thread, so this happens before the editor's backoff ends.
    later.revision = Revision(3);
    let value = serde_json::to_value(&later).expect("the manifest serializes");
    platform.put_object(Manifest::KEY, value);

    let accepted = accepting.await.expect("the task does not panic");
    assert_eq!(accepted, Err(EditError::OutcomeUnknown(Revision(3))));
    assert_eq!(
        in_force(&platform).workspaces[&name("property-manager")].weight,
        3
    );
}

#[tokio::test]
async fn nothing_is_put_in_force_while_the_platform_is_down() {
    let platform = start_platform().await;
    let editor = editor(&platform);
    let proposal = editor
        .propose(workspace_draft())
        .await
        .expect("the platform is up");
    platform.faults().set_down(true);
    let accepted = editor.accept(&proposal.id).await;
    assert!(
        matches!(accepted, Err(EditError::Platform(_))),
        "{accepted:?}"
    );
    platform.faults().set_down(false);
    assert!(manifests(&platform).is_empty());
}

#[tokio::test]
async fn a_key_is_created_and_revoked_and_only_its_digest_is_stored() {
    let platform = start_platform().await;
    let editor = editor(&platform);
    put_in_force(&editor, workspace_draft()).await;
    let workspace = name("property-manager");
    let (key, revision) = editor
        .create_key(&workspace)
        .await
        .expect("the platform is up");
    assert_eq!(revision, Revision(2));
    let keys = in_force(&platform).workspaces[&workspace].keys.clone();
    assert_eq!(keys, [KeyDigest::of(key.expose())].into());
    let written = format!("{:?}", platform.history());
    assert!(!written.contains(key.expose()));
    assert!(!format!("{key:?}").contains(key.expose()));

    let id = key_id(key.digest());
    assert_eq!(editor.key_ids(&workspace).await, Ok(vec![id.clone()]));
    platform
        .faults()
        .add(FaultRule::new(MANIFEST_PATH, FaultEffect::LoseAnswer).with_remaining(1));
    let withdrawn = editor.revoke_key(&workspace, &id).await;
    assert_eq!(withdrawn, Ok(Revision(3)));
    assert!(in_force(&platform).workspaces[&workspace].keys.is_empty());
    let again = editor.revoke_key(&workspace, &id).await;
    assert!(
        matches!(again, Err(EditError::UnknownKey { .. })),
        "{again:?}"
    );
}

/// Guards against restoring a revoked key, which occurs if a proposal contains the
/// keys that its author saw.
#[tokio::test]
async fn accepting_an_older_proposal_restores_no_revoked_key() {
    let platform = start_platform().await;
    let editor = editor(&platform);
    put_in_force(&editor, workspace_draft()).await;
    let workspace = name("property-manager");
    let (withdrawn, _) = editor
        .create_key(&workspace)
        .await
        .expect("the platform is up");
    let draft = weighted_draft("property-manager", 9);
    let proposal = editor.propose(draft).await.expect("the platform is up");
    let id = key_id(withdrawn.digest());
    editor
        .revoke_key(&workspace, &id)
        .await
        .expect("the platform is up");
    let (kept, _) = editor
        .create_key(&workspace)
        .await
        .expect("the platform is up");
    let accepted = editor.accept(&proposal.id).await;
    assert_eq!(accepted, Ok(AcceptOutcome::InForce(Revision(5))));
    let configuration = in_force(&platform);
    assert_eq!(
        configuration.workspaces[&workspace].keys,
        [kept.digest()].into()
    );
    assert_eq!(configuration.workspaces[&workspace].weight, 9);
}

#[tokio::test]
async fn a_chunk_with_another_digest_is_refused() {
    let platform = start_platform().await;
    let editor = editor(&platform);
    put_in_force(&editor, workspace_draft()).await;
    let manifest = manifests(&platform).remove(0);
    let digest = manifest.chunks.values().next().copied().expect("one chunk");
    let other = Chunk::DataCentre(Arc::new(DataCentreCapacity {
        upstreams: BTreeMap::new(),
        order_limit: 9,
    }));
    let value = serde_json::to_value(&other).expect("the chunk serializes");
    platform.put_object(&Manifest::chunk_key(digest), value);
    let result = editor.propose(workspace_draft()).await;
    assert!(matches!(result, Err(EditError::Platform(_))), "{result:?}");
}
