//! A store with a true history.

use crate::support;
use bytes::Bytes;
use galenapath_platform::{Item, Page, StoreIndex};
use galenapath_protocol::{BackendId, StorePosition};
use galenapath_routes::{ServerRecord, ServerState};
use std::collections::BTreeMap;

/// Number of entries on a page of a read.
const PAGE_LEN: usize = 4;

/// What the store holds of a server: its entry's revision and state.
pub type Entries = BTreeMap<u64, (u64, ServerState)>;

/// A server's entry was written, or removed if there is no state. Each server leaves for good.
#[derive(Clone, Copy, Debug)]
pub struct Write {
    pub server: u64,
    pub state: Option<ServerState>,
}

/// A store that may come back from a backup. What it lost is then written again, in order.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub epoch: u64,
    /// All writes of this epoch; the first one has revision 1.
    pub writes: Vec<Write>,
    /// Number of writes in the backup.
    pub backup: usize,
    /// Number of writes that have happened; the others follow when they are written again.
    pub written: usize,
}

impl Store {
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.epoch, self.written as u64)
    }

    pub fn write(&mut self, write: Write) {
        self.written = self.writes.len() + 1;
        self.writes.push(write);
    }

    pub fn come_back(&mut self) {
        self.epoch += 1;
        self.written = self.backup;
    }

    /// The entries at `revision`.
    pub fn entries(&self, revision: u64) -> Entries {
        let mut entries = Entries::new();
        for (write, revision) in self.writes[..revision as usize].iter().zip(1..) {
            match write.state {
                Some(state) => drop(entries.insert(write.server, (revision, state))),
                None => drop(entries.remove(&write.server)),
            }
        }
        entries
    }

    /// A page of the entries at `revision`, from the first key after `after`.
    pub fn page(&self, after: Option<&str>, revision: u64) -> Page {
        let entries =
            self.entries(revision).into_iter().map(|(server, entry)| (key(server), entry));
        let mut rest = entries.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items = rest.by_ref().take(PAGE_LEN).map(|(key, (revision, state))| Item {
            key,
            value: Bytes::from(format!("{state:?}")),
            revision: StoreIndex(revision),
        });
        let items = items.collect();
        let position = StorePosition::new(self.epoch, revision);
        Page { items, has_more: rest.next().is_some(), position }
    }

    /// Whether the server is gone at `position`, which is of this epoch.
    pub fn is_gone(&self, server: u64, position: StorePosition) -> bool {
        let before = &self.writes[..position.revision as usize];
        before.iter().any(|write| write.server == server && write.state.is_none())
    }

    /// Whether the server is removed at any time.
    pub fn leaves(&self, server: u64) -> bool {
        self.writes.iter().any(|write| write.server == server && write.state.is_none())
    }
}

pub fn key(server: u64) -> String {
    format!("s{server:02}")
}

pub fn id(server: u64) -> BackendId {
    BackendId(key(server).into())
}

pub fn record(server: u64, state: ServerState) -> ServerRecord {
    ServerRecord { id: id(server), ..support::record(server, 0, state) }
}

pub fn parse_server(item: &Item) -> ServerRecord {
    let state = if item.value == "Leaving" { ServerState::Leaving } else { ServerState::Ready };
    record(item.key[1..].parse().unwrap(), state)
}
