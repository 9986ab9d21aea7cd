//! Reads of several pages.

use bytes::Bytes;
use galenapath_platform::{Freshness, Item, NextStep, Page, PagedRead, StoreIndex};
use galenapath_protocol::StorePosition;

const EPOCH: u64 = 3;

/// A page read at `position` with items of these keys and revisions.
fn page(position: u64, items: &[(&str, u64)], has_more: bool) -> Page {
    let items = items.iter().map(|(key, revision)| Item {
        key: (*key).to_owned(),
        value: Bytes::new(),
        revision: StoreIndex(*revision),
    });
    Page { items: items.collect(), has_more, position: StorePosition::new(EPOCH, position) }
}

fn at(revision: u64) -> StorePosition {
    StorePosition::new(EPOCH, revision)
}

#[test]
fn finish_current_pages_first_position() {
    let mut read = PagedRead::new(Freshness::Current);
    assert_eq!(read.last_key(), None);
    assert_eq!(read.add(page(20, &[("a", 4), ("b", 19)], true), EPOCH), NextStep::ReadOn);
    assert_eq!(read.last_key(), Some("b"));
    assert_eq!(read.add(page(25, &[("c", 24)], false), EPOCH), NextStep::Complete);
    let (position, items) = read.finish();
    assert_eq!((position, items.len()), (at(20), 3));
}

/// Guards against an instance that lacks a server for good, because it claims to know all changes
/// up to the newest item although an older page was read before one of them.
#[test]
fn finish_stale_pages_of_different_ages_oldest_position() {
    let mut read = PagedRead::new(Freshness::MayBeStale);
    read.add(page(30, &[("a", 4), ("b", 9)], true), EPOCH);
    assert_eq!(read.add(page(30, &[("c", 24)], false), EPOCH), NextStep::Complete);
    assert_eq!(read.finish().0, at(9));
}

#[test]
fn add_page_of_another_epoch_refused() {
    let mut read = PagedRead::new(Freshness::Current);
    read.add(page(20, &[("a", 4)], true), EPOCH);
    let mut later = page(8, &[("b", 5)], false);
    later.position.epoch = EPOCH + 1;
    assert_eq!(read.add(later, EPOCH), NextStep::EpochChanged);
}

#[test]
fn add_page_without_epoch_is_of_the_known_one() {
    let mut read = PagedRead::new(Freshness::Current);
    let mut unstated = page(20, &[("a", 4)], false);
    unstated.position.epoch = 0;
    assert_eq!(read.add(unstated, EPOCH), NextStep::Complete);
    assert_eq!(read.finish().0, at(20));
}

#[test]
fn add_empty_page_ends_the_read() {
    let mut read = PagedRead::new(Freshness::Current);
    assert_eq!(read.add(page(20, &[], true), EPOCH), NextStep::Complete);
    assert_eq!(read.finish(), (at(20), Vec::new()));
}
