//! A backend server as the data path uses it.

use super::own_paths::PathCheck;
use super::pool::Pool;
use super::running::RunningSet;
use crate::fleet::FleetBackend;
use galenapath_membership::LeavingMark;
use galenapath_protocol::BackendId;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// One run of a backend server and the connections to it.
pub(super) struct Backend {
    /// Its name in the platform's list.
    pub(super) id: BackendId,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub(super) started: u64,
    /// Address that it listens on.
    pub(super) address: SocketAddr,
    /// Connections to it.
    pub(super) pool: Rc<Pool>,
    /// Requests of this instance that it may be running.
    pub(super) running: RunningSet,
    /// The last check after a connection to it broke.
    path_check: RefCell<Option<PathCheck>>,
    /// Whether other instances know already that the server is leaving.
    is_leaving_reported: Cell<bool>,
}

impl Backend {
    pub(super) fn new(entry: &FleetBackend) -> Self {
        Self {
            id: entry.id.clone(),
            started: entry.started,
            address: entry.address,
            pool: Rc::new(Pool::new(entry.address)),
            running: RunningSet::default(),
            path_check: RefCell::default(),
            is_leaving_reported: Cell::new(entry.is_leaving),
        }
    }

    /// Returns the check in progress after a connection to it broke, or else the one that `begin`
    /// starts.
    pub(super) fn path_check(&self, begin: impl FnOnce() -> PathCheck) -> PathCheck {
        let mut check = self.path_check.borrow_mut();
        let in_progress = check.take().filter(|check| check.peek().is_none());
        check.insert(in_progress.unwrap_or_else(begin)).clone()
    }

    /// Returns whether `entry` lists this run of the server at this address.
    pub(super) fn is_same_run(&self, entry: &FleetBackend) -> bool {
        self.started == entry.started && self.address == entry.address
    }

    /// Sets the maximum number of connections from this instance to the server.
    pub(super) fn set_share(&self, share: u32) {
        self.pool.set_share(share as usize);
    }

    /// Returns whether the server is known to be leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving_reported.get()
    }

    /// Returns the mark to send to other instances, if this is the first report that the server is
    /// leaving.
    pub(super) fn take_leaving_mark(&self) -> Option<LeavingMark> {
        if self.is_leaving_reported.replace(true) {
            return None;
        }
        Some(LeavingMark { backend: self.id.clone(), started: self.started })
    }
}
