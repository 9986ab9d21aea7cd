//! Entries of the platform's key-value service.

use crate::{Expected, Lease};
use bytes::Bytes;

/// A position in the store's sequence of changes. Zero precedes every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreIndex(pub u64);

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value as it was written.
    pub value: Bytes,
    /// Index of the change that wrote the value, for a compare-and-swap.
    pub index: StoreIndex,
    /// The lease that holds the key, if any.
    pub holder: Option<Lease>,
}

/// Result of a read or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The position from which the next watch starts; at or after the index of `entry`.
    pub position: StoreIndex,
    /// The entry, or `None` if the key is absent.
    pub entry: Option<Entry>,
}

impl Read {
    /// The expectation of a compare-and-swap that is based on this read.
    pub fn expected(&self) -> Expected {
        match &self.entry {
            Some(Entry { index, .. }) => Expected::At(*index),
            None => Expected::Absent,
        }
    }
}
