//! Compare-and-swap on the platform's key-value service.

use crate::StoreIndex;

/// The state of a key that a compare-and-swap requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The key has no entry.
    Absent,
    /// The entry is the one written by the change at this index.
    At(StoreIndex),
}

/// Outcome of a compare-and-swap that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The new value was written.
    Done,
    /// The key was not in the required state; the store is unchanged.
    Conflict,
}
