//! Idle connections to backend servers.

use galenapath_http::Connection;
use galenapath_protocol::{BackendId, FastMap, Micros};
use std::cell::RefCell;

/// Idle connections kept for one server; more are needed only for a moment.
const MOST_KEPT: usize = 4;

/// Time before the end that a server states for idle connections at which one is no longer used: a
/// request must not cross the server's close.
const MARGIN: Micros = Micros::from_millis(1_500);

/// Idle time after which a connection is not used again where the server states nothing.
const DEFAULT_IDLE: Micros = Micros::from_secs(4);

struct Idle {
    connection: Connection,
    since: Micros,
    until: Micros,
}

/// A connection that was idle.
pub(crate) struct Kept {
    pub(crate) connection: Connection,
    /// For how long.
    pub(crate) idle: Micros,
}

/// Idle connections to the servers of one service.
#[derive(Default)]
pub(crate) struct Pools {
    idle: RefCell<FastMap<BackendId, Vec<Idle>>>,
}

impl Pools {
    /// Takes a connection that the server has not closed as far as can be seen.
    pub(crate) async fn take(&self, now: Micros, id: &BackendId) -> Option<Kept> {
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(id)?.pop()?;
            if idle.until >= now && !idle.connection.is_stale().await {
                return Some(Kept { connection: idle.connection, idle: now - idle.since });
            }
        }
    }

    /// Keeps a connection whose last answer was read to its end. `stated` is the idle time after
    /// which the server closes it.
    pub(crate) fn keep(
        &self,
        now: Micros,
        id: &BackendId,
        mut connection: Connection,
        stated: Option<Micros>,
    ) {
        connection.shrink();
        let limit = stated.map_or(DEFAULT_IDLE, |stated| stated - MARGIN);
        let mut idle = self.idle.borrow_mut();
        let pool = idle.entry(id.clone()).or_default();
        pool.retain(|kept| kept.until >= now);
        if pool.len() < MOST_KEPT && limit > Micros::ZERO {
            pool.push(Idle { connection, since: now, until: now + limit });
        }
    }

    /// Closes the connections to servers that are gone.
    pub(crate) fn retain(&self, is_there: impl Fn(&BackendId) -> bool) {
        self.idle.borrow_mut().retain(|id, _| is_there(id));
    }

    /// Whether a connection to the server is kept.
    pub(crate) fn has(&self, id: &BackendId) -> bool {
        self.idle.borrow().get(id).is_some_and(|pool| !pool.is_empty())
    }

    /// Closes connections that have been idle for too long. Returns the servers that none is left to.
    pub(crate) fn prune(&self, now: Micros) -> Vec<BackendId> {
        let mut left = Vec::new();
        self.idle.borrow_mut().retain(|id, pool| {
            pool.retain(|idle| idle.until >= now);
            if pool.is_empty() {
                left.push(id.clone());
            }
            !pool.is_empty()
        });
        left
    }
}
