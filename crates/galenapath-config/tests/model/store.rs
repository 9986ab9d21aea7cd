//! Model of the platform's store.

use galenapath_config::{
    AuditPage, Chain, ChangeRecord, Config, Head, HeadIndex, TailLimits, Version, page_containing,
};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    pub index: HeadIndex,
    pub head: Head,
    pub snapshots: BTreeMap<Version, Arc<Config>>,
    pub pages: BTreeMap<Version, AuditPage>,
}

impl Store {
    /// Returns a store after `chains`, each of which has one more change, were written in order.
    pub fn after(chains: &[Chain], limits: TailLimits) -> Self {
        let mut store = Self {
            index: HeadIndex(0),
            head: Head::default(),
            snapshots: BTreeMap::new(),
            pages: BTreeMap::new(),
        };
        for chain in chains {
            let before = store.head.before_tail();
            let after = chain.head().before_tail();
            if after > before {
                let count = (after.0 - before.0) as usize;
                let records = store.head.tail()[..count].to_vec();
                let snapshot = chains[store.head.version().0 as usize - 1].config().clone();
                store.snapshots.insert(store.head.version(), snapshot);
                store.pages.insert(page_containing(after, limits), AuditPage { records });
            }
            store.head = chain.head().clone();
            store.index.0 += 1;
        }
        store
    }

    pub fn swap(&mut self, expected: HeadIndex, head: &Head) -> bool {
        if self.index != expected {
            return false;
        }
        self.head = head.clone();
        self.index.0 += 1;
        true
    }

    /// Returns all records from the pages and the tail, oldest first; `None` if some are missing.
    pub fn audit(&self) -> Option<Vec<ChangeRecord>> {
        let mut records: Vec<ChangeRecord> =
            self.pages.values().flat_map(|page| page.records.clone()).collect();
        let before = self.head.before_tail().0 as usize;
        if records.len() < before {
            return None;
        }
        records.truncate(before);
        records.extend_from_slice(self.head.tail());
        Some(records)
    }

    /// Returns the chain as an instance without any state reads it from the store.
    pub fn load(&self) -> Option<Chain> {
        let empty = Arc::new(Config::default());
        let start = match self.head.snapshot() {
            Version(0) => &empty,
            snapshot => self.snapshots.get(&snapshot)?,
        };
        Chain::follow(start, self.head.clone()).ok()
    }
}
