//! How this instance uses the platform's store.

use std::cell::Cell;

/// Counts of the calls since the start. A watch counts as one read, however long it waits.
#[derive(Default)]
pub(super) struct StoreUse {
    pub(super) reads: Cell<u64>,
    pub(super) writes: Cell<u64>,
    pub(super) failures: Cell<u64>,
    /// Whether the last call was answered.
    pub(super) reachable: Cell<bool>,
    /// Whether the instance watches the head of the configuration.
    pub(super) watching: Cell<bool>,
}

impl StoreUse {
    /// Counts a call by its name.
    pub(super) fn count(&self, call: &str, is_answered: bool) {
        let kind = match call {
            "read" | "watch" | "list" => &self.reads,
            _ => &self.writes,
        };
        kind.set(kind.get() + 1);
        if !is_answered {
            self.failures.set(self.failures.get() + 1);
        }
        self.reachable.set(is_answered);
    }
}
