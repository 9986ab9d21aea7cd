//! The load that an instance tells its peers, for the choice of the address that callers are given.
//!
//! Load pattern: a few workspaces with most of the load, at a few instances. If their work counts in
//! full, callers are sent to the instances without them until these are full of small workspaces,
//! which then wait although their load together is far below capacity. Work of a workspace far
//! over the others makes room for them when they come (see `fair_queue`), so it counts only up to
//! twice the mean of all.

use super::offer::WorkspaceIndex;

/// Requests let in since the load was last taken, by workspace.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    counts: Vec<u32>,
}

impl OwnLoad {
    /// Part of the mean by which one workspace counts at most.
    const MOST_OF_MEAN: f64 = 2.0;

    /// A request of `workspace` was let in.
    pub fn let_in(&mut self, workspace: WorkspaceIndex) {
        let index = workspace.0 as usize;
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] += 1;
    }

    /// The requests let in since the last call, without what workspaces have beyond their bound.
    pub fn take(&mut self) -> f64 {
        let active = self.counts.iter().filter(|count| **count > 0).count();
        let total: f64 = self.counts.iter().copied().map(f64::from).sum();
        let most = Self::MOST_OF_MEAN * total / active.max(1) as f64;
        self.counts.drain(..).map(|count| f64::from(count).min(most)).sum()
    }
}
