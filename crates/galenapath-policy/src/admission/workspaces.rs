//! Mapping of workspace names to indices.

use super::offer::WorkspaceIndex;
use galenapath_protocol::FastMap;

/// Index shared by all workspaces beyond the maximum number.
const SHARED: WorkspaceIndex = WorkspaceIndex(0);

/// Dense indices for a bounded number of workspace names.
///
/// The number is bounded because the name comes with the request: without a bound, a caller that
/// makes up names could exhaust the memory. Workspaces beyond the bound share one queue and one
/// fair share.
#[derive(Clone, Debug)]
pub struct WorkspaceTable {
    indices: FastMap<Box<str>, WorkspaceIndex>,
    /// Maximum number of indices, including the shared one.
    max: usize,
}

impl WorkspaceTable {
    /// Creates an empty table.
    pub fn new(max: usize) -> Self {
        Self { indices: FastMap::default(), max }
    }

    /// Returns the index of `name`, and assigns one if it is new.
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
