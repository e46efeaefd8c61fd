//! Changes the configuration for operators.
//!
//! Operators propose and accept changes, and create and revoke callers' keys.

use crate::store::{ChunkAction, ChunkOutcome, ChunkState, ConfigurationStore, RetrySafety};
use crate::{
    CallerKey, ChunkDifference, Draft, KnownUpstreams, Proposal, ProposalCheck, ProposalId, key_id,
};
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_types::{
    Chunk, ChunkName, KeyDigest, Revision, UpstreamKind, Workspace, WorkspaceName,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Error of a change of the configuration.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EditError {
    /// A call to the platform failed; nothing was put in force.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// There is no proposal with this identifier.
    #[error("there is no proposal {0}")]
    UnknownProposal(ProposalId),
    /// There is no workspace with this name.
    #[error("there is no workspace {0}")]
    UnknownWorkspace(WorkspaceName),
    /// No key of the workspace has an identifier with this prefix.
    #[error("workspace {workspace} has no key {id}")]
    UnknownKey {
        /// The workspace.
        workspace: WorkspaceName,
        /// The requested prefix.
        id: String,
    },
    /// Several keys of the workspace have an identifier with this prefix.
    #[error("workspace {workspace} has more than one key {id}")]
    AmbiguousKey {
        /// The workspace.
        workspace: WorkspaceName,
        /// The requested prefix.
        id: String,
    },
    /// The response to a write was lost, and reading the manifest again failed or
    /// didn't show whether the write took effect. The change may be in force since
    /// this revision.
    #[error("the platform's response was lost; the change may be in force since revision {0}")]
    OutcomeUnknown(Revision),
}

/// A proposal in the platform's store, as shown to its author.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredProposal {
    /// Identifier by which it is accepted.
    pub id: ProposalId,
    /// The chunk that it changes.
    pub name: ChunkName,
    /// Its changes to the chunk.
    pub difference: ChunkDifference,
    /// Revision with which the changes were compared.
    pub revision: Revision,
}

/// Result of accepting a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// The proposal was put in force at this revision.
    InForce(Revision),
    /// The content of the proposal was already in force at this revision.
    AlreadyInForce(Revision),
    /// Someone else has changed the same chunk since the proposal was made; nothing
    /// was put in force.
    Conflict {
        /// Revision that is in force.
        revision: Revision,
        /// Changes by others since the proposal was made.
        others: ChunkDifference,
        /// Changes that the proposal would make to the current chunk.
        proposed: ChunkDifference,
    },
}

/// Changes the configuration on behalf of one operator.
#[derive(Clone, Debug)]
pub struct ConfigurationEditor {
    store: ConfigurationStore,
}

impl ConfigurationEditor {
    /// Creates an editor that writes to the platform through `client`, with its
    /// token.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            store: ConfigurationStore::new(client),
        }
    }

    /// Returns the revision of the platform's current manifest.
    ///
    /// # Errors
    ///
    /// Fails when a call to the platform fails.
    pub async fn revision(&self) -> Result<Revision, EditError> {
        let (manifest, _) = self.store.manifest().await?;
        Ok(manifest.revision)
    }

    /// Returns the models and services of all data centres in the configuration in
    /// force.
    ///
    /// # Errors
    ///
    /// Fails when a call to the platform fails.
    pub async fn known_upstreams(&self) -> Result<KnownUpstreams, EditError> {
        let (manifest, _) = self.store.manifest().await?;
        let mut known = KnownUpstreams::default();
        for (name, digest) in &manifest.chunks {
            let ChunkName::DataCentre(_) = name else {
                continue;
            };
            let Chunk::DataCentre(capacity) = self.store.chunk(*digest).await? else {
                continue;
            };
            for (name, upstream) in &capacity.upstreams {
                match &upstream.kind {
                    UpstreamKind::Engine { models, .. } => known.models.extend(models.clone()),
                    UpstreamKind::Service => {
                        known.services.insert(name.clone());
                    }
                }
            }
        }
        Ok(known)
    }

    /// Stores a proposal and returns its changes.
    ///
    /// The call is idempotent: the identifier of a proposal is a digest of its
    /// content.
    ///
    /// # Errors
    ///
    /// Fails when a call to the platform fails.
    pub async fn propose(&self, draft: Draft) -> Result<StoredProposal, EditError> {
        let state = self.store.state(&draft.name).await?;
        let proposal = Proposal::new(draft, state.digest);
        let id = proposal.id().map_err(malformed_error)?;
        match self
            .store
            .client()
            .create(&id.object_key(), &proposal)
            .await
        {
            Ok(_) | Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        let after = proposal.content_with_keys_of(state.chunk.as_ref());
        Ok(StoredProposal {
            id,
            difference: ChunkDifference::new(state.chunk.as_ref(), Some(&after), &proposal.reasons),
            name: proposal.name,
            revision: state.manifest.revision,
        })
    }

    /// Puts a proposal in force, unless its chunk has changed since the proposal was
    /// made.
    ///
    /// # Errors
    ///
    /// Fails when there is no such proposal or a call to the platform fails, and
    /// with [`EditError::OutcomeUnknown`] when the change may be in force.
    pub async fn accept(&self, id: &ProposalId) -> Result<AcceptOutcome, EditError> {
        let stored = self
            .store
            .client()
            .get_as::<Proposal>(&id.object_key())
            .await?;
        let (proposal, _) = stored.ok_or_else(|| EditError::UnknownProposal(id.clone()))?;
        let base = match proposal.base {
            Some(digest) => Some(self.store.chunk(digest).await?),
            None => None,
        };
        let decide =
            |current: Option<&Chunk>| match ProposalCheck::of(&proposal, base.as_ref(), current) {
                ProposalCheck::Applies(chunk) => ChunkAction::Write(chunk),
                ProposalCheck::AlreadyInForce => ChunkAction::Skip,
                ProposalCheck::Conflicts => ChunkAction::Refuse,
            };
        let changed = self
            .store
            .change(&proposal.name, RetrySafety::Unsafe, decide);
        match changed.await? {
            ChunkOutcome::Written(revision) => Ok(AcceptOutcome::InForce(revision)),
            ChunkOutcome::Unchanged(revision) => Ok(AcceptOutcome::AlreadyInForce(revision)),
            ChunkOutcome::Unknown(revision) => Err(EditError::OutcomeUnknown(revision)),
            ChunkOutcome::Refused(state) => Ok(conflict(&proposal, base.as_ref(), &state)),
        }
    }

    /// Creates a key for a workspace. Only its digest is stored, so the returned key
    /// can't be read again.
    ///
    /// # Errors
    ///
    /// Fails when there is no such workspace or a call to the platform fails. After
    /// [`EditError::OutcomeUnknown`], the new key may be valid although it was not
    /// returned.
    pub async fn create_key(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<(CallerKey, Revision), EditError> {
        let key = CallerKey::new();
        let digest = key.digest();
        let decide = |current: Option<&Chunk>| match current {
            Some(Chunk::Workspace(current)) if current.keys.contains(&digest) => ChunkAction::Skip,
            Some(Chunk::Workspace(current)) => ChunkAction::Write(with_key(current, digest)),
            _ => ChunkAction::Refuse,
        };
        let revision = self
            .change_keys(workspace, RetrySafety::Unsafe, decide)
            .await?;
        Ok((key, revision))
    }

    /// Revokes the key whose identifier has the prefix `id`.
    ///
    /// # Errors
    ///
    /// Fails when no key or several keys have such an identifier, or a call to the
    /// platform fails.
    pub async fn revoke_key(
        &self,
        workspace: &WorkspaceName,
        id: &str,
    ) -> Result<Revision, EditError> {
        let digest = self.find_key(workspace, id).await?;
        let decide = |current: Option<&Chunk>| match current {
            Some(Chunk::Workspace(current)) if !current.keys.contains(&digest) => ChunkAction::Skip,
            Some(Chunk::Workspace(current)) => ChunkAction::Write(without_key(current, digest)),
            _ => ChunkAction::Refuse,
        };
        self.change_keys(workspace, RetrySafety::Safe, decide).await
    }

    /// Returns the identifiers of a workspace's keys.
    ///
    /// # Errors
    ///
    /// Fails when there is no such workspace or a call to the platform fails.
    pub async fn key_ids(&self, workspace: &WorkspaceName) -> Result<Vec<String>, EditError> {
        let keys = self.keys(workspace).await?;
        Ok(keys.into_iter().map(key_id).collect())
    }

    async fn keys(&self, workspace: &WorkspaceName) -> Result<Vec<KeyDigest>, EditError> {
        let name = ChunkName::Workspace(workspace.clone());
        match self.store.state(&name).await?.chunk {
            Some(Chunk::Workspace(workspace)) => Ok(workspace.keys.iter().copied().collect()),
            _ => Err(EditError::UnknownWorkspace(workspace.clone())),
        }
    }

    async fn find_key(&self, workspace: &WorkspaceName, id: &str) -> Result<KeyDigest, EditError> {
        let mut keys = self.keys(workspace).await?;
        keys.retain(|key| !id.is_empty() && String::from(*key).starts_with(id));
        match keys.as_slice() {
            [key] => Ok(*key),
            [] => Err(EditError::UnknownKey {
                workspace: workspace.clone(),
                id: id.to_owned(),
            }),
            _ => Err(EditError::AmbiguousKey {
                workspace: workspace.clone(),
                id: id.to_owned(),
            }),
        }
    }

    async fn change_keys(
        &self,
        workspace: &WorkspaceName,
        retry_safety: RetrySafety,
        decide: impl Fn(Option<&Chunk>) -> ChunkAction,
    ) -> Result<Revision, EditError> {
        let name = ChunkName::Workspace(workspace.clone());
        match self.store.change(&name, retry_safety, decide).await? {
            ChunkOutcome::Written(revision) | ChunkOutcome::Unchanged(revision) => Ok(revision),
            ChunkOutcome::Unknown(revision) => Err(EditError::OutcomeUnknown(revision)),
            ChunkOutcome::Refused(_) => Err(EditError::UnknownWorkspace(workspace.clone())),
        }
    }
}

fn conflict(proposal: &Proposal, base: Option<&Chunk>, state: &ChunkState) -> AcceptOutcome {
    let current = state.chunk.as_ref();
    let after = proposal.content_with_keys_of(current);
    AcceptOutcome::Conflict {
        revision: state.manifest.revision,
        others: ChunkDifference::new(base, current, &BTreeMap::new()),
        proposed: ChunkDifference::new(current, Some(&after), &proposal.reasons),
    }
}

fn with_key(workspace: &Arc<Workspace>, digest: KeyDigest) -> Chunk {
    let mut workspace = Workspace::clone(workspace);
    workspace.keys.insert(digest);
    Chunk::Workspace(Arc::new(workspace))
}

fn without_key(workspace: &Arc<Workspace>, digest: KeyDigest) -> Chunk {
    let mut workspace = Workspace::clone(workspace);
    workspace.keys.remove(&digest);
    Chunk::Workspace(Arc::new(workspace))
}

fn malformed_error(error: serde_json::Error) -> EditError {
    EditError::Platform(PlatformError::Malformed {
        detail: error.to_string(),
    })
}
