//! What servers have asked for that the list no longer has.
//!
//! Load pattern: entries that lapse while the store is away and are back seconds later. The servers have gone on
//! all the while, and what they asked for before still holds: forgotten, it would be broken by all
//! instances at the moment of their return.

use super::rate_limit::Limited;
use super::server::Server;
use galenapath_protocol::{BackendId, FastMap, Micros};

/// Time for which it is remembered; longer than outages of the store.
const REMEMBERED_FOR: Micros = Micros::from_secs(60);

/// What a server has asked for.
#[derive(Debug, Default)]
pub(super) struct Asked {
    pub(super) limited: Limited,
    /// Until when it wants nothing from this instance.
    pub(super) paused_until: Micros,
    /// When its entry vanished.
    since: Micros,
}

/// What servers have asked for that the list no longer has, by their runs.
#[derive(Debug, Default)]
pub(super) struct Absent {
    servers: FastMap<BackendId, Asked>,
}

impl Absent {
    /// Remembers what a server that vanishes from the list has asked for.
    pub(super) fn remember(&mut self, now: Micros, server: Server) {
        self.servers.retain(|_, asked| now - asked.since < REMEMBERED_FOR);
        if server.is_limited() || server.is_paused(now) {
            let (limited, paused_until) = (server.limited.without_share(), server.paused_until);
            self.servers.insert(server.id, Asked { limited, paused_until, since: now });
        }
    }

    /// What a server has asked for that is not in the list; it may answer a request that was sent before.
    pub(super) fn of(&mut self, now: Micros, id: &BackendId) -> &mut Asked {
        self.servers.entry(id.clone()).or_insert(Asked { since: now, ..Asked::default() })
    }

    /// A server that is new in the list, with what it had asked for where it was there before.
    pub(super) fn recall(&mut self, now: Micros, id: &BackendId) -> Server {
        let mut server = Server::new(id.clone());
        let asked = self.servers.remove(id);
        if let Some(asked) = asked.filter(|asked| now - asked.since < REMEMBERED_FOR) {
            server.limited = asked.limited;
            server.paused_until = asked.paused_until;
        }
        server
    }
}
