//! A read of all items under a prefix, page by page.

use crate::{Freshness, Item, Page};
use galenapath_protocol::StorePosition;

/// The pages of a read that have arrived.
///
/// Invariant: all pages are of one epoch, and every change up to `position` that concerns the keys
/// read so far shows in `items`.
#[derive(Clone, Debug)]
pub struct PagedRead {
    freshness: Freshness,
    items: Vec<Item>,
    /// `None` before the first page.
    position: Option<StorePosition>,
}

/// What follows on a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// There are more pages.
    ReadOn,
    /// It was the last page.
    Complete,
    /// The page is of another epoch than those before it: the store has come back from a backup
    /// meanwhile.
    EpochChanged,
}

impl PagedRead {
    /// A read without any page.
    pub const fn new(freshness: Freshness) -> Self {
        Self { freshness, items: Vec::new(), position: None }
    }

    /// The key after which the next page begins; `None` for the first page.
    pub fn last_key(&self) -> Option<&str> {
        self.items.last().map(|item| item.key.as_str())
    }

    /// Adds the next page. A page that states no epoch is taken to be of `known_epoch`.
    pub fn add(&mut self, page: Page, known_epoch: u64) -> NextStep {
        let position = self.complete_position(&page).or_epoch(known_epoch);
        if self.position.is_some_and(|known| known.epoch != position.epoch) {
            return NextStep::EpochChanged;
        }
        self.position = Some(self.position.map_or(position, |known| known.min(position)));
        let is_last = !page.has_more || page.items.is_empty();
        self.items.extend(page.items);
        if is_last { NextStep::Complete } else { NextStep::ReadOn }
    }

    /// The items, and the position up to which they are complete: changes after it may or may not
    /// show.
    pub fn finish(self) -> (StorePosition, Vec<Item>) {
        (self.position.unwrap_or_default(), self.items)
    }

    /// Position up to which a page is complete.
    ///
    /// A page that may be stale is only known to be no older than its newest item. The pages of one
    /// read may be of different ages, so the oldest page binds.
    fn complete_position(&self, page: &Page) -> StorePosition {
        match self.freshness {
            Freshness::Current => page.position,
            Freshness::MayBeStale => {
                let newest = page.items.iter().map(|item| item.revision.0).max().unwrap_or(0);
                StorePosition::new(page.position.epoch, newest)
            }
        }
    }
}
