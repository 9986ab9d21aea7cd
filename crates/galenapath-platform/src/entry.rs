//! Values in the platform's key-value service.

use crate::{Expected, Lease};
use bytes::Bytes;

/// A position in the store's order of changes. Zero comes before every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreIndex(pub u64);

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value as it was written.
    pub value: Bytes,
    /// The change that wrote the value; what a compare-and-swap expects.
    pub index: StoreIndex,
    /// The lease that holds the key, if any.
    pub holder: Option<Lease>,
}

/// What a read or a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The position to watch from next; at or after the index of `entry`.
    pub position: StoreIndex,
    /// The entry, or `None` where the key is absent.
    pub entry: Option<Entry>,
}

impl Read {
    /// What a compare-and-swap that builds on this read expects.
    pub fn expected(&self) -> Expected {
        match &self.entry {
            Some(Entry { index, .. }) => Expected::At(*index),
            None => Expected::Absent,
        }
    }
}
