//! Reads of everything that the store holds.

use super::{RETRY_DELAY, Watcher};
use crate::fleet;
use crate::instance::sleep;
use galenapath_platform::{Freshness, Item, KeyStore, NextStep, PagedRead};
use galenapath_protocol::StorePosition;

impl<S: KeyStore> Watcher<S> {
    /// Reads all keys again, after a pause if that brings nothing new.
    pub(super) async fn reload(&mut self) {
        let before = self.instance.state.borrow().position();
        self.load(Freshness::Current).await;
        if self.instance.state.borrow().position() <= before {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the configuration, the evacuations and the server list.
    ///
    /// The first read of an instance may be stale, which costs a tenth of a current read: all
    /// instances start at the same moment, and the watchers read the current state half a second
    /// later and notify the others.
    pub(super) async fn load(&mut self, freshness: Freshness) {
        let operator = self.instance.dialect.operator_prefix();
        let Some((operator_position, items)) = self.read_all(operator, freshness).await else {
            return;
        };
        let known = self.instance.state.borrow().position();
        if operator_position.epoch < known.epoch {
            log::warn!(position:? = operator_position, known:?; "the store is in an earlier epoch");
            return;
        }
        self.instance.apply_operator_items(operator_position, &items);
        let servers = self.instance.dialect.servers_prefix();
        let Some((position, items)) = self.read_all(servers, freshness).await else { return };
        if position.epoch != operator_position.epoch {
            return;
        }
        if freshness == Freshness::Current && position < known {
            log::warn!(position:?, known:?; "the store is at an earlier position than what is known");
        }
        self.instance.apply_list(position, &items);
        let read = position.min(operator_position);
        let known = self.instance.state.borrow().position();
        let is_stale = freshness == Freshness::MayBeStale;
        // Where it is ahead of the read, it knows the current state from a peer.
        self.stale_position = (is_stale && known == read).then_some(known);
        fleet::broadcast_heartbeat(&self.instance);
    }

    /// Reads all pages of the items under `prefix` and returns them with the position up to which
    /// they are complete; `None` if a page cannot be read or is of another epoch than the first.
    /// Changes made while the pages are read arrive with the watch.
    async fn read_all(
        &mut self,
        prefix: &str,
        freshness: Freshness,
    ) -> Option<(StorePosition, Vec<Item>)> {
        let known_epoch = self.instance.state.borrow().position().epoch;
        let mut read = PagedRead::new(freshness);
        loop {
            let page = self.store.range(prefix, read.last_key(), freshness).await;
            self.record_result("range", &page);
            match read.add(page.ok()?, known_epoch) {
                NextStep::ReadOn => {}
                NextStep::Complete => return Some(read.finish()),
                NextStep::EpochChanged => {
                    log::info!(prefix; "the store has changed its epoch between two pages");
                    return None;
                }
            }
        }
    }
}
