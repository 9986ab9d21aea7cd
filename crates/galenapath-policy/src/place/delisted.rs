//! Restrictions stated by servers that are no longer in the list.
//!
//! Load pattern: entries that expire while the store is unavailable and come back seconds later.
//! The servers keep running meanwhile, and their pauses and rate limits still apply. If these were
//! dropped, all instances would violate them as soon as the servers are listed again.

use super::rate_limit::RateLimitState;
use super::server::Server;
use galenapath_protocol::{BackendId, FastMap, Micros};

/// Retention of restrictions; longer than outages of the store.
const RETENTION: Micros = Micros::from_secs(60);

/// Restrictions that a server has stated.
#[derive(Debug, Default)]
pub(super) struct Restrictions {
    pub(super) limited: RateLimitState,
    /// Time until which this instance sends no requests to the server.
    pub(super) paused_until: Micros,
    /// When the server left the list.
    delisted_at: Micros,
}

/// Restrictions of servers that are no longer in the list, by process run.
#[derive(Debug, Default)]
pub(super) struct DelistedServers {
    servers: FastMap<BackendId, Restrictions>,
}

impl DelistedServers {
    /// Stores the restrictions of a server that leaves the list.
    pub(super) fn add(&mut self, now: Micros, server: Server) {
        self.servers.retain(|_, restrictions| now - restrictions.delisted_at < RETENTION);
        if server.is_limited() || server.is_paused(now) {
            let (limited, paused_until) = (server.limited.without_share(), server.paused_until);
            self.servers
                .insert(server.id, Restrictions { limited, paused_until, delisted_at: now });
        }
    }

    /// Restrictions of a server that is not in the list; it may answer a request that was sent
    /// before.
    pub(super) fn entry(&mut self, now: Micros, id: &BackendId) -> &mut Restrictions {
        self.servers
            .entry(id.clone())
            .or_insert(Restrictions { delisted_at: now, ..Restrictions::default() })
    }

    /// Creates a server that is new in the list, with its restrictions if it was listed before.
    pub(super) fn restore(&mut self, now: Micros, id: &BackendId) -> Server {
        let mut server = Server::new(id.clone());
        let restrictions = self.servers.remove(id);
        if let Some(restrictions) =
            restrictions.filter(|restrictions| now - restrictions.delisted_at < RETENTION)
        {
            server.limited = restrictions.limited;
            server.paused_until = restrictions.paused_until;
        }
        server
    }
}
