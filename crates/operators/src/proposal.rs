//! A proposed change of one chunk of the configuration.
//!
//! A proposal names the state that its author saw. If that state has changed
//! when it is accepted, the change is refused instead of undoing someone else's
//! work. Keys are the exception: they are given and withdrawn at any time, so a
//! proposal never holds any and leaves those in force as they are.

use crate::description::describe;
use lagoonlift_types::{Chunk, ChunkDigest, ChunkName, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Hexadecimal digits of a proposal's identifier.
const ID_DIGITS: usize = 12;

/// Reason of a value that stands in the questionnaire as it is.
const AS_ANSWERED: &str = "as answered";

/// What the answers of a questionnaire ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Which chunk.
    pub name: ChunkName,
    /// Its content; a workspace is without keys.
    pub content: Chunk,
    /// Why each value is what it is, by the value's name.
    pub reasons: BTreeMap<String, String>,
}

impl Draft {
    /// Values that `reasons` doesn't name were answered as they are.
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

/// A stored proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Proposal {
    /// Which chunk is to be changed.
    pub name: ChunkName,
    /// The chunk's state that the author saw; `None` if there was none.
    pub base: Option<ChunkDigest>,
    /// The content to be put in force, without keys.
    pub content: Chunk,
    /// Why each value is what it is, by the value's name.
    pub reasons: BTreeMap<String, String>,
}

/// Identifies a proposal by its content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(String);

/// A text that is not a proposal's identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a proposal is named by {ID_DIGITS} hexadecimal digits")]
pub struct ParseProposalError;

impl ProposalId {
    /// Returns the object key of the proposal.
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
        let digits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        match text.len() == ID_DIGITS && text.chars().all(digits) {
            true => Ok(Self(text.to_owned())),
            false => Err(ParseProposalError),
        }
    }
}

impl Proposal {
    /// Creates a proposal from a draft whose author saw `base`.
    pub fn new(draft: Draft, base: Option<ChunkDigest>) -> Self {
        Self {
            name: draft.name,
            base,
            content: without_keys(&draft.content),
            reasons: draft.reasons,
        }
    }

    /// Returns the identifier: the same for the same content, so that proposing
    /// twice is proposing once.
    ///
    /// # Errors
    ///
    /// Fails when a value can't be written as JSON.
    pub fn id(&self) -> Result<ProposalId, serde_json::Error> {
        let text = serde_json::to_vec(self)?;
        let mut digits = blake3::hash(&text).to_hex().to_string();
        digits.truncate(ID_DIGITS);
        Ok(ProposalId(digits))
    }

    /// Returns the content to be put in force over `current`, whose keys stay.
    pub fn content_over(&self, current: Option<&Chunk>) -> Chunk {
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

/// How a proposal fits onto what is in force now.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalCheck {
    /// It can be put in force with this content.
    Applies(Chunk),
    /// What it asks for is in force already.
    AlreadyInForce,
    /// The chunk has changed since the author saw it.
    Conflicts,
}

impl ProposalCheck {
    /// Compares the state that the author saw with the one in force.
    pub fn of(proposal: &Proposal, base: Option<&Chunk>, current: Option<&Chunk>) -> Self {
        let content = proposal.content_over(current);
        let unchanged = base.map(without_keys) == current.map(without_keys);
        match current {
            Some(current) if *current == content => Self::AlreadyInForce,
            _ if unchanged => Self::Applies(content),
            _ => Self::Conflicts,
        }
    }
}

/// Returns the chunk as it is without its keys.
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
