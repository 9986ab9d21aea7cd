//! Positions in the platform's store.

/// A position in the store: its revision, within an epoch.
///
/// A store that comes back from a backup has lost its latest changes and gives their revisions out
/// again; its epoch rises each time. Revisions are therefore ordered within an epoch only, and each
/// position of a later epoch comes after all those of earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// How often the store has come back from a backup; zero if it does not say.
    pub epoch: u64,
    /// Revision of the latest change in this epoch.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub const fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// This position, in the epoch `usual` if it states none.
    pub const fn or_epoch(self, usual: u64) -> Self {
        if self.epoch == 0 { Self::new(usual, self.revision) } else { self }
    }

    /// The epoch, if one is stated.
    pub fn stated_epoch(self) -> Option<u64> {
        (self.epoch > 0).then_some(self.epoch)
    }
}

/// A position in a store that states no epoch.
impl From<u64> for StorePosition {
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}
