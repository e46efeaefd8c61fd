//! Tests whether a proposal can be applied to the chunk in force.

use crate::questionnaire::workspace_draft;
use lagoonlift_operators::{Proposal, ProposalCheck, ProposalId};
use lagoonlift_types::{Chunk, KeyDigest, Workspace};
use std::sync::Arc;

fn with_change(chunk: &Chunk, change: impl FnOnce(&mut Workspace)) -> Chunk {
    let Chunk::Workspace(workspace) = chunk else {
        panic!("not a workspace");
    };
    let mut workspace = Workspace::clone(workspace);
    change(&mut workspace);
    Chunk::Workspace(Arc::new(workspace))
}

#[test]
fn the_same_content_has_the_same_identifier() {
    let first = Proposal::new(workspace_draft(), None);
    let second = Proposal::new(workspace_draft(), None);
    let id = first.id().expect("the proposal serializes");
    assert_eq!(second.id().expect("the proposal serializes"), id);
    assert_eq!(id.to_string().parse::<ProposalId>(), Ok(id));
    assert!("../manifest".parse::<ProposalId>().is_err());
}

#[test]
fn an_unchanged_chunk_is_replaced_and_its_keys_stay() {
    let mut draft = workspace_draft();
    let base = draft.content.clone();
    draft.content = with_change(&base, |workspace| workspace.weight = 9);
    let proposal = Proposal::new(draft, None);
    let key = KeyDigest::of("issued since");
    let current = with_change(&base, |workspace| {
        workspace.keys.insert(key);
    });
    let expected = with_change(&current, |workspace| workspace.weight = 9);
    let check = ProposalCheck::of(&proposal, Some(&base), Some(&current));
    assert_eq!(check, ProposalCheck::Applies(expected));
}

/// Guards against restoring a revoked key: a proposal that contained the keys that
/// its author saw would add them again.
#[test]
fn a_revoked_key_is_not_restored() {
    let mut draft = workspace_draft();
    let key = KeyDigest::of("withdrawn since");
    let base = with_change(&draft.content, |workspace| {
        workspace.keys.insert(key);
    });
    draft.content = with_change(&base, |workspace| workspace.weight = 9);
    let proposal = Proposal::new(draft, None);
    let current = with_change(&base, |workspace| workspace.keys.clear());
    let ProposalCheck::Applies(Chunk::Workspace(workspace)) =
        ProposalCheck::of(&proposal, Some(&base), Some(&current))
    else {
        panic!("the proposal conflicts");
    };
    assert!(workspace.keys.is_empty());
}

/// Guards against overwriting another change: it is not enough to compare whether
/// the chunk exists.
#[test]
fn a_chunk_that_changed_since_is_not_overwritten() {
    let mut draft = workspace_draft();
    let base = draft.content.clone();
    draft.content = with_change(&base, |workspace| workspace.weight = 9);
    let proposal = Proposal::new(draft, None);
    let current = with_change(&base, |workspace| workspace.weight = 4);
    let check = ProposalCheck::of(&proposal, Some(&base), Some(&current));
    assert_eq!(check, ProposalCheck::Conflicts);
    let check = ProposalCheck::of(&proposal, None, Some(&current));
    assert_eq!(check, ProposalCheck::Conflicts);
    let check = ProposalCheck::of(&proposal, Some(&base), None);
    assert_eq!(check, ProposalCheck::Conflicts);
}

#[test]
fn a_proposal_already_in_force_is_recognized() {
    let proposal = Proposal::new(workspace_draft(), None);
    let current = proposal.content.clone();
    let check = ProposalCheck::of(&proposal, None, Some(&current));
    assert_eq!(check, ProposalCheck::AlreadyInForce);
}
