//! The trait of a key-value service that is read by prefix.

use crate::{PlatformError, StoreIndex};
use bytes::Bytes;
use galenapath_protocol::StorePosition;
use std::time::Duration;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value as it was written.
    pub value: Bytes,
    /// Index of the change that wrote the value.
    pub revision: StoreIndex,
}

/// Whether a read may return a value that is seconds old, which is cheaper for the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The current value.
    Current,
    /// A value that may be seconds old.
    MayBeStale,
}

/// Result of reading one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The item, if the key exists.
    pub item: Option<Item>,
    /// How often the store has come back from a backup; zero if it does not say.
    pub epoch: u64,
}

/// A page of the items under a prefix. Pages are read at different times, so the caller has to
/// watch from the first page's position to learn of changes between two pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether there are more items after the last key of this page.
    pub has_more: bool,
    /// The store's position when the page was read.
    pub position: StorePosition,
}

/// One change under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyEvent {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Deleted {
        /// The key.
        key: String,
        /// Index of the change that removed it.
        revision: StoreIndex,
    },
}

impl KeyEvent {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Deleted { key, .. } => key,
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// All changes up to `position`; none if the wait ended first.
    Events {
        /// The changes, oldest first.
        events: Vec<KeyEvent>,
        /// The position from which the next watch starts. In another epoch than the position
        /// before, the changes do not follow on that.
        position: StorePosition,
    },
    /// The store no longer has all changes after the given position; the keys have to be read
    /// again.
    HistoryGone,
}

/// A key-value service that is read by prefix.
///
/// As with [`Platform`](crate::Platform), every call ends in bounded time, every error carries a
/// verdict on whether the call may have taken effect, and no call that may have is retried.
#[expect(async_fn_in_trait, reason = "futures of this workspace stay on their thread")]
pub trait KeyStore {
    /// Reads the item of `key`.
    async fn get(&self, key: &str, freshness: Freshness) -> Result<Lookup, PlatformError>;

    /// Reads a page of the items under `prefix`, starting with the first key after `after`.
    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, PlatformError>;

    /// Waits for changes under `prefix` after position `after`, for at most `wait`. The store knows
    /// revisions only; whether the epoch is still that of `after` shows in the answer.
    async fn watch_prefix(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> Result<WatchOutcome, PlatformError>;

    /// Writes `value` to `key` unconditionally.
    async fn put(&self, key: &str, value: Bytes) -> Result<(), PlatformError>;
}
