//! One backend server on the data path.

use super::crash::RunningSet;
use super::pool::Pool;
use crate::fleet::FleetBackend;
use galenapath_membership::LeavingMark;
use galenapath_protocol::BackendId;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// One run of a backend server and the connections to it.
pub(super) struct Backend {
    /// Name in the platform's list.
    pub(super) id: BackendId,
    /// Start of the run, milliseconds since the Unix epoch.
    pub(super) started: u64,
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Connections to it.
    pub(super) pool: Rc<Pool>,
    /// Requests of this instance that run on it.
    pub(super) running: RunningSet,
    told_leaving: Cell<bool>,
}

impl Backend {
    pub(super) fn new(entry: &FleetBackend) -> Self {
        Self {
            id: entry.id.clone(),
            started: entry.started,
            address: entry.address,
            pool: Rc::new(Pool::new(entry.address)),
            running: RunningSet::default(),
            told_leaving: Cell::new(entry.leaving),
        }
    }

    /// Whether `entry` names this very run at this very address.
    pub(super) fn is_same_run(&self, entry: &FleetBackend) -> bool {
        self.started == entry.started && self.address == entry.address
    }

    /// Sets how many connections this instance may hold to the server.
    pub(super) fn set_share(&self, share: u32) {
        self.pool.set_share(share as usize);
    }

    /// The mark to spread when the server says for the first time that it leaves.
    pub(super) fn leaving_mark(&self) -> Option<LeavingMark> {
        if self.told_leaving.replace(true) {
            return None;
        }
        Some(LeavingMark { backend: self.id.clone(), started: self.started })
    }
}
