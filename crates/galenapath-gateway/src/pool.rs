//! Pools of idle connections to backend servers and to other instances.

use galenapath_http::Connection;
use galenapath_protocol::{FastMap, Micros};
use std::cell::RefCell;
use std::hash::Hash;

/// More idle connections to one end than this are needed only briefly.
const MAX_IDLE_PER_END: usize = 4;

/// Time before a server's stated idle timeout from which a connection is no longer reused, so that
/// the server does not close it while a request is in transit.
const CLOSE_MARGIN: Micros = Micros::from_millis(1_500);

/// Idle time after which a connection is not reused if the server states no timeout.
const DEFAULT_IDLE_TIMEOUT: Micros = Micros::from_secs(4);

struct IdleConnection {
    connection: Connection,
    since: Micros,
    until: Micros,
}

/// A connection taken from the pool.
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    /// For how long it was idle.
    pub(crate) idle: Micros,
}

/// Idle connections, by what identifies their other end: the servers of one service, or the other
/// instances.
pub(crate) struct Pools<K> {
    idle: RefCell<FastMap<K, Vec<IdleConnection>>>,
}

impl<K> Default for Pools<K> {
    fn default() -> Self {
        Self { idle: RefCell::default() }
    }
}

impl<K: Clone + Eq + Hash> Pools<K> {
    /// Takes an unexpired connection that the other end has not visibly closed.
    pub(crate) fn take(&self, now: Micros, id: &K) -> Option<PooledConnection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(id)?.pop()?;
            if idle.until >= now && !idle.connection.is_stale() {
                return Some(PooledConnection {
                    connection: idle.connection,
                    idle: now - idle.since,
                });
            }
        }
    }

    /// Keeps a connection whose last answer was read completely. `stated` is the idle time after
    /// which the other end closes it.
    pub(crate) fn keep(
        &self,
        now: Micros,
        id: &K,
        mut connection: Connection,
        stated: Option<Micros>,
    ) {
        connection.shrink();
        let limit = stated.map_or(DEFAULT_IDLE_TIMEOUT, |stated| stated - CLOSE_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let pool = idle.entry(id.clone()).or_default();
        pool.retain(|kept| kept.until >= now);
        if pool.len() < MAX_IDLE_PER_END && limit > Micros::ZERO {
            pool.push(IdleConnection { connection, since: now, until: now + limit });
        }
    }

    /// Closes the connections to ends for which `should_keep` is false.
    pub(crate) fn retain(&self, should_keep: impl Fn(&K) -> bool) {
        self.idle.borrow_mut().retain(|id, _| should_keep(id));
    }

    /// Whether the pool has a connection to this end.
    pub(crate) fn has(&self, id: &K) -> bool {
        self.idle.borrow().get(id).is_some_and(|pool| !pool.is_empty())
    }

    /// Whether the pool has a connection that its other end has not visibly closed.
    pub(crate) fn has_open(&self, id: &K) -> bool {
        let idle = self.idle.borrow();
        idle.get(id).is_some_and(|pool| pool.iter().any(|idle| !idle.connection.is_stale()))
    }

    /// Closes connections that have been idle for too long. Returns the ends whose last
    /// connection was closed.
    pub(crate) fn prune(&self, now: Micros) -> Vec<K> {
        let mut emptied = Vec::new();
        self.idle.borrow_mut().retain(|id, pool| {
            pool.retain(|idle| idle.until >= now);
            if pool.is_empty() {
                emptied.push(id.clone());
            }
            !pool.is_empty()
        });
        emptied
    }
}
