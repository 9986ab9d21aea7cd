//! Changes of the list of backend servers, as read from the store and sent between instances.

use crate::ServerRecord;
use galenapath_protocol::{BackendId, Micros, StorePosition};
use std::sync::Arc;

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server was added or changed.
    Put(ServerRecord),
    /// A server's entry was removed.
    Removed(BackendId),
}

/// An entry as it is sent between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Revision at which the store wrote the entry, or removed it if it is due to expire.
    pub revision: u64,
    /// The entry.
    pub record: ServerRecord,
    /// Time until an entry that vanished during an outage of the store is removed, unless it is
    /// written again.
    pub expires_in: Option<Micros>,
}

/// A removed entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// Revision of the removal.
    pub revision: u64,
    /// The server that is gone.
    pub id: BackendId,
}

/// Changes after a position, for a peer that is behind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChanges {
    /// Whether `puts` is the whole list, so that a server missing from it is gone.
    pub is_whole: bool,
    /// Short identities of all listed servers, so that a server missing from them is gone. Empty if
    /// `removals` is complete or `puts` is the whole list.
    pub present: Vec<u32>,
    /// Entries that were added or changed.
    pub puts: Vec<ListedServer>,
    /// Entries that were removed.
    pub removals: Vec<Removal>,
    /// Position after the changes. All revisions are of its epoch.
    pub position: StorePosition,
}

/// A change that readers of the list can observe, regardless of how it was learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VisibleChange {
    /// A server was added or changed.
    Listed {
        /// Revision of the entry.
        revision: u64,
        /// The entry.
        record: Arc<ServerRecord>,
    },
    /// A server's entry has gone.
    Removed {
        /// Revision of the removal.
        revision: u64,
        /// The run that was listed.
        id: BackendId,
        /// Until when the entry may return; `None` if the server is gone at once.
        gone_at: Option<Micros>,
    },
}
