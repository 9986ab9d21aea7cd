//! Statistics of this instance's calls to the platform's store.

use std::cell::Cell;

/// Counts of the calls since the start, and the state of the connection to the store. A watch call
/// counts as one read, however long it waits.
#[derive(Default)]
pub(super) struct StoreUsage {
    pub(super) reads: Cell<u64>,
    pub(super) writes: Cell<u64>,
    pub(super) failures: Cell<u64>,
    /// Whether the store answered the last call.
    pub(super) is_reachable: Cell<bool>,
    /// Whether this instance watches the head of the configuration.
    pub(super) is_watching: Cell<bool>,
}

impl StoreUsage {
    /// Counts a call as a read or a write, by its name.
    pub(super) fn count(&self, call: &str, is_answered: bool) {
        let kind = match call {
            "read" | "watch" | "list" => &self.reads,
            _ => &self.writes,
        };
        kind.set(kind.get() + 1);
        if !is_answered {
            self.failures.set(self.failures.get() + 1);
        }
        self.is_reachable.set(is_answered);
    }
}
