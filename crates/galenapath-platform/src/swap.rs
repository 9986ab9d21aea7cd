//! Compare-and-swap.

use crate::StoreIndex;

/// What a compare-and-swap expects to find under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No entry.
    Absent,
    /// The entry that the change at this index wrote.
    At(StoreIndex),
}

/// Outcome of a compare-and-swap that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The new value is in the store.
    Done,
    /// The key did not hold what was expected; the store is unchanged.
    Conflict,
}
