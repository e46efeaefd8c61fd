//! A proposed change of one chunk of the configuration.
//!
//! A proposal contains the digest of the chunk that its author saw. If the chunk
//! has changed when the proposal is accepted, the acceptance is refused, because
//! it would undo someone else's change. Keys are exempt: they are created and
//! revoked at any time, so a proposal contains no keys, and accepting it keeps the
//! keys in force.

use crate::description::describe;
use lagoonlift_types::{Chunk, ChunkDigest, ChunkName, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Length of a proposal's identifier, in hexadecimal digits.
const ID_DIGITS: usize = 12;

/// Reason for a value that was copied unchanged from the questionnaire.
const AS_ANSWERED: &str = "as answered";

/// The content of a chunk according to a completed questionnaire.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Name of the chunk.
    pub name: ChunkName,
    /// Content of the chunk; a workspace has no keys.
    pub content: Chunk,
    /// Why each value is what it is, by the value's name.
    pub reasons: BTreeMap<String, String>,
}

impl Draft {
    /// Creates a draft. A value without an entry in `reasons` was copied unchanged
    /// from the questionnaire.
    pub(crate) fn new(
        name: ChunkName,
        content: Chunk,
        mut reasons: BTreeMap<String, String>,
    ) -> Self {
        for value in describe(&content).into_keys() {
            reasons
                .entry(value)
                .or_insert_with(|| AS_ANSWERED.to_owned());
        }
        Self {
            name,
            content,
            reasons,
        }
    }
}

/// A proposal, as it is stored in the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Proposal {
    /// The chunk to change.
    pub name: ChunkName,
    /// Digest of the chunk that the author saw; `None` if it didn't exist.
    pub base: Option<ChunkDigest>,
    /// The new content of the chunk, without keys.
    pub content: Chunk,
    /// Why each value is what it is, by the value's name.
    pub reasons: BTreeMap<String, String>,
}

/// Identifier of a proposal: 12 hexadecimal digits of a hash of its content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(String);

/// Error of parsing a proposal's identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a proposal identifier has {ID_DIGITS} hexadecimal digits")]
pub struct ParseProposalError;

impl ProposalId {
    /// Returns the key of the proposal's object in the platform's store.
    pub fn object_key(&self) -> String {
        format!("proposals/{}", self.0)
    }
}

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ProposalId {
    type Err = ParseProposalError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        match text.len() == ID_DIGITS && text.chars().all(is_digit) {
            true => Ok(Self(text.to_owned())),
            false => Err(ParseProposalError),
        }
    }
}

impl Proposal {
    /// Creates a proposal from a draft. `base` is the digest of the chunk that the
    /// author saw; `None` if it didn't exist.
    pub fn new(draft: Draft, base: Option<ChunkDigest>) -> Self {
        Self {
            name: draft.name,
            base,
            content: without_keys(&draft.content),
            reasons: draft.reasons,
        }
    }

    /// Returns the identifier. It depends only on the content, which makes storing a
    /// proposal idempotent.
    ///
    /// # Errors
    ///
    /// Fails when a value can't be serialized as JSON.
    pub fn id(&self) -> Result<ProposalId, serde_json::Error> {
        let text = serde_json::to_vec(self)?;
        let mut digits = blake3::hash(&text).to_hex().to_string();
        digits.truncate(ID_DIGITS);
        Ok(ProposalId(digits))
    }

    /// Returns the proposed content with the keys of `current`.
    pub fn content_with_keys_of(&self, current: Option<&Chunk>) -> Chunk {
        match (&self.content, current) {
            (Chunk::Workspace(proposed), Some(Chunk::Workspace(current))) => {
                let workspace = Workspace {
                    keys: current.keys.clone(),
                    ..Workspace::clone(proposed)
                };
                Chunk::Workspace(Arc::new(workspace))
            }
            (content, _) => content.clone(),
        }
    }
}

/// Whether a proposal can be applied to the chunk in force.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalCheck {
    /// It can be applied; this is the new content of the chunk.
    Applies(Chunk),
    /// Its content is already in force.
    AlreadyInForce,
    /// The chunk has changed since the author saw it.
    Conflicts,
}

impl ProposalCheck {
    /// Compares the chunk that the author saw, `base`, with the one in force,
    /// `current`.
    pub fn of(proposal: &Proposal, base: Option<&Chunk>, current: Option<&Chunk>) -> Self {
        let content = proposal.content_with_keys_of(current);
        let is_unchanged = base.map(without_keys) == current.map(without_keys);
        match current {
            Some(current) if *current == content => Self::AlreadyInForce,
            _ if is_unchanged => Self::Applies(content),
            _ => Self::Conflicts,
        }
    }
}

/// Returns the chunk without its keys.
pub(crate) fn without_keys(chunk: &Chunk) -> Chunk {
    match chunk {
        Chunk::Workspace(workspace) if !workspace.keys.is_empty() => {
            let workspace = Workspace {
                keys: BTreeSet::new(),
                ..Workspace::clone(workspace)
            };
            Chunk::Workspace(Arc::new(workspace))
        }
        _ => chunk.clone(),
    }
}
