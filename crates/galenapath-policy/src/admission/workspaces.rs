//! The workspaces that are told apart.

use super::offer::WorkspaceIndex;
use galenapath_protocol::FastMap;

/// Index shared by the workspaces beyond the bound.
const SHARED: WorkspaceIndex = WorkspaceIndex(0);

/// Dense indices for a bounded number of workspace names.
///
/// Bounded, because the name comes with the request: without a bound a caller who invents names
/// fills the memory. Those beyond it share one queue, and one share.
#[derive(Clone, Debug)]
pub struct WorkspaceTable {
    indices: FastMap<Box<str>, WorkspaceIndex>,
    /// Most indices, the shared one included.
    max: usize,
}

impl WorkspaceTable {
    /// An empty table.
    pub fn new(max: usize) -> Self {
        Self { indices: FastMap::default(), max }
    }

    /// The index of `name`.
    pub fn index(&mut self, name: &str) -> WorkspaceIndex {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let next = self.indices.len() + 1;
        let Ok(index) = u32::try_from(next) else { return SHARED };
        if next >= self.max {
            return SHARED;
        }
        self.indices.insert(name.into(), WorkspaceIndex(index));
        WorkspaceIndex(index)
    }
}
