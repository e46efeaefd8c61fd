//! Looks up workspaces by key digest in the current configuration.
//!
//! A request reads the directory when its key is checked, and again after each
//! placement, before it is sent; a retry therefore reads it once more. A
//! `/v1/models` request reads it once. A lookup must take no lock and must not
//! search all workspaces.

use lagoonlift_types::{Configuration, KeyDigest, Workspace, WorkspaceName};
use std::collections::HashMap;
use std::sync::Arc;

/// The current configuration, indexed by key.
#[derive(Debug, Default)]
pub(crate) struct KeyDirectory {
    configuration: Arc<Configuration>,
    by_key: HashMap<KeyDigest, WorkspaceName>,
}

/// A workspace and its name.
#[derive(Clone, Debug)]
pub(crate) struct NamedWorkspace {
    pub(crate) name: WorkspaceName,
    pub(crate) workspace: Arc<Workspace>,
}

impl KeyDirectory {
    pub(crate) fn new(configuration: Arc<Configuration>) -> Self {
        let workspaces = configuration.workspaces.iter();
        let by_key = workspaces
            .flat_map(|(name, workspace)| workspace.keys.iter().map(|key| (*key, name.clone())))
            .collect();
        Self {
            configuration,
            by_key,
        }
    }

    /// Returns the workspace that currently owns the key.
    pub(crate) fn workspace_of_key(&self, key: &KeyDigest) -> Option<NamedWorkspace> {
        let (digest, name) = self.by_key.get_key_value(key)?;
        // The hash map may compare byte by byte; this comparison takes constant
        // time.
        match digest.matches(key) {
            true => self.workspace_by_name(name),
            false => None,
        }
    }

    /// Returns the workspace with this name.
    pub(crate) fn workspace_by_name(&self, name: &WorkspaceName) -> Option<NamedWorkspace> {
        let (name, workspace) = self.configuration.workspaces.get_key_value(name)?;
        Some(NamedWorkspace {
            name: name.clone(),
            workspace: Arc::clone(workspace),
        })
    }

    /// Returns whether the workspace currently owns the key.
    pub(crate) fn authorizes(&self, key: &KeyDigest, workspace: &WorkspaceName) -> bool {
        self.by_key.get(key) == Some(workspace)
    }
}
