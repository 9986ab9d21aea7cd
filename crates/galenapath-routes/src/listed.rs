//! One server in the list.

use crate::{ListedServer, ServerRecord};
use galenapath_protocol::Micros;
use std::sync::Arc;

/// An entry of the list.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    /// Revision in the current epoch; zero if only an earlier epoch had the entry.
    pub(crate) revision: u64,
    /// Shared with the readers of the list, which would otherwise each hold a copy.
    pub(crate) record: Arc<ServerRecord>,
    /// When the server is removed unless its entry is written again. Set for entries that vanished
    /// during an outage of the store.
    pub(crate) expires_at: Option<Micros>,
}

impl Listed {
    /// The entry as other instances get it.
    pub(crate) fn listed(&self, now: Micros) -> ListedServer {
        ListedServer {
            revision: self.revision,
            record: ServerRecord::clone(&self.record),
            expires_in: self.expires_at.map(|at| at - now),
        }
    }
}
