//! The trait of a key-value service that is read by prefix.

use crate::{PlatformError, StoreIndex};
use bytes::Bytes;
use std::time::Duration;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value as it was written.
    pub value: Bytes,
    /// The change that wrote the value.
    pub revision: StoreIndex,
}

/// Whether a read may be answered with what was true seconds ago, which costs the store less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The newest value.
    Current,
    /// A value that may be seconds old.
    MayBeStale,
}

/// Part of the items under a prefix. Pages are read at different moments: what changed between two
/// pages has to be learned from a watch that starts at the first page's position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether items follow after the last key of this page.
    pub has_more: bool,
    /// Position of the store when the page was read.
    pub position: StoreIndex,
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
        /// The change that removed it.
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

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// All changes up to `position`; none where the wait ended first.
    Events {
        /// The changes, oldest first.
        events: Vec<KeyEvent>,
        /// Where the next watch starts.
        position: StoreIndex,
    },
    /// The store has discarded the changes after the position; the keys have to be read again.
    HistoryGone,
}

/// A key-value service that is read by prefix.
///
/// As with [`Platform`](crate::Platform), every call ends in bounded time, every error carries a
/// verdict, and no call is repeated once it may have taken effect.
#[expect(async_fn_in_trait, reason = "futures of this workspace stay on their thread")]
pub trait KeyStore {
    /// Reads one key.
    async fn get(&self, key: &str, freshness: Freshness) -> Result<Option<Item>, PlatformError>;

    /// Reads a page of the items under `prefix`, from the first key behind `after` on.
    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, PlatformError>;

    /// Waits, for `wait` at most, until something under `prefix` changes after `after`.
    async fn watch_prefix(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> Result<WatchOutcome, PlatformError>;

    /// Writes a key whatever it holds.
    async fn put(&self, key: &str, value: Bytes) -> Result<(), PlatformError>;
}
