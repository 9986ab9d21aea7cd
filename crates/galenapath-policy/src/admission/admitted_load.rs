//! The load that an instance reports to its peers, used to choose the addresses given to callers.
//!
//! Load pattern: a few workspaces send most of the load, to a few instances. If all of it counted,
//! callers would be directed to the other instances until those are full of small workspaces, whose
//! requests then wait although their total load is far below capacity. The requests of a workspace
//! far above the others do not delay those of other workspaces (see `fair_queue`), so they count
//! only up to twice the mean of all workspaces.

use super::offer::WorkspaceIndex;

/// Number of requests admitted since the load was last taken, by workspace.
#[derive(Clone, Debug, Default)]
pub struct AdmittedLoad {
    counts: Vec<u32>,
}

impl AdmittedLoad {
    /// Maximum count of one workspace as a multiple of the mean.
    const MAX_RATIO_TO_MEAN: f64 = 2.0;

    /// Records that a request of `workspace` was admitted.
    pub fn record(&mut self, workspace: WorkspaceIndex) {
        let index = workspace.0 as usize;
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] += 1;
    }

    /// Returns the number of requests admitted since the last call, with the count of each
    /// workspace limited, and resets it.
    pub fn take(&mut self) -> f64 {
        let active = self.counts.iter().filter(|count| **count > 0).count();
        let total: f64 = self.counts.iter().copied().map(f64::from).sum();
        let max = Self::MAX_RATIO_TO_MEAN * total / active.max(1) as f64;
        self.counts.drain(..).map(|count| f64::from(count).min(max)).sum()
    }
}
