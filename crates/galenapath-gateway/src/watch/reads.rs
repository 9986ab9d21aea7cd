//! Reads of everything that the store holds.

use super::{RETRY_DELAY, Watcher};
use crate::fleet;
use crate::instance::sleep;
use galenapath_platform::{Freshness, Item, KeyStore};
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
        let is_stale = freshness == Freshness::MayBeStale;
        self.stale_position = is_stale.then(|| self.instance.state.borrow().position());
        fleet::broadcast_heartbeat(&self.instance);
    }

    /// Reads all pages of the items under `prefix` and returns them with the position that they are
    /// valid at; `None` if a page cannot be read or is of another epoch than the first.
    ///
    /// For a current read, that is the position of the first page: changes made while the others
    /// are read arrive with the watch. For a stale read, it is the newest change among the items,
    /// which may be older than the store's position.
    async fn read_all(
        &mut self,
        prefix: &str,
        freshness: Freshness,
    ) -> Option<(StorePosition, Vec<Item>)> {
        let known_epoch = self.instance.state.borrow().position().epoch;
        let mut items = Vec::new();
        let mut first = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.store.range(prefix, after.as_deref(), freshness).await;
            self.record_result("range", &page);
            let page = page.ok()?;
            let position = page.position.or_epoch(known_epoch);
            let first = *first.get_or_insert(position);
            if position.epoch != first.epoch {
                log::info!(prefix; "the store has changed its epoch between two pages");
                return None;
            }
            after = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            if page.has_more && after.is_some() {
                continue;
            }
            let newest = items.iter().map(|item| item.revision.0).max().unwrap_or(0);
            return match freshness {
                Freshness::Current => Some((first, items)),
                Freshness::MayBeStale => Some((StorePosition::new(first.epoch, newest), items)),
            };
        }
    }
}
