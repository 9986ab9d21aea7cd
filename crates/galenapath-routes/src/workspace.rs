//! Workspaces: who sends a request, and how much of it.

use galenapath_protocol::{FastMap, Quota, WorkspaceId};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// A workspace of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Identity of the workspace.
    pub id: WorkspaceId,
    /// Name that the operator gave it.
    pub name: String,
    /// Priority of its requests, which goes before the route's; `None` if only the route's counts.
    pub rank: Option<u32>,
    /// `None` if the number of its requests is not limited.
    pub quota: Option<Quota>,
}

/// SHA-256 digest of an API key.
///
/// A table of digests, unlike a table of keys, shows no key in a memory dump, and the time that a
/// look-up takes says nothing about how much of a guessed key is right.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The workspaces of one version of the configuration, by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workspaces {
    by_key: FastMap<KeyDigest, Arc<Workspace>>,
    all: Vec<Arc<Workspace>>,
}

impl Workspaces {
    /// Adds a workspace. If two workspaces hold a key, it belongs to the later one.
    pub(crate) fn insert(&mut self, workspace: Workspace, keys: Vec<KeyDigest>) {
        let workspace = Arc::new(workspace);
        self.by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
        self.all.push(workspace);
    }

    pub(crate) fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.all.iter()
    }
}
