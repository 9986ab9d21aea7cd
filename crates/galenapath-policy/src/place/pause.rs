//! Servers that have turned a request of this instance away and said for how long they want nothing from it.
//!
//! Load pattern: servers whose queues are full at a peak. Each request that is sent there all the same is
//! turned away again, takes a retry out of the budget and time from its caller, and keeps the server from
//! working its queue off. The server knows best when it has room again; it says so to each instance by itself,
//! so that they do not all come back at once. A request that only such servers could take is refused at
//! once, with the time at which the first of them takes requests again.

use super::placement::Placement;
use super::queue::{Entry, Refusal};
use super::server::Server;
use galenapath_protocol::{BackendId, Micros};

impl Server {
    /// Whether it wants nothing from this instance for now.
    pub(super) fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// Whether it may get requests, as far as it is not a question of how many.
    pub(super) fn wants_requests(&self, now: Micros) -> bool {
        self.takes_requests() && !self.is_paused(now)
    }

    /// Time until it takes a request of this instance, where that is known: at the end of its pause, and when
    /// its limit lets another one through. A cold one takes what the instance that warms it sends.
    fn takes_one_in(&self, now: Micros) -> Option<Micros> {
        let room_in = self.limited.room_in(now)?;
        let is_known = self.takes_requests() && self.is_reachable(now) && !self.is_cold(now);
        is_known.then_some(room_in.max(self.paused_until - now))
    }
}

impl Placement {
    /// The server wants nothing from this instance for `span`. Returns whether that is news: it wanted
    /// something until now.
    pub fn pause(&mut self, now: Micros, id: &BackendId, span: Micros) -> bool {
        let until = now + span;
        let Some(server) = self.server_mut(id) else {
            let asked = self.absent.of(now, id);
            asked.paused_until = asked.paused_until.max(until);
            return false;
        };
        let was_paused = server.is_paused(now);
        server.paused_until = server.paused_until.max(until);
        !was_paused && server.is_paused(now)
    }

    /// Whether a server wants nothing from this instance for now.
    pub fn is_paused(&self, now: Micros, id: &BackendId) -> bool {
        self.server(id).is_some_and(|server| server.is_paused(now))
    }

    /// Servers that want nothing from this instance for now.
    pub fn paused_count(&self, now: Micros) -> usize {
        self.servers.iter().filter(|server| server.is_paused(now)).count()
    }

    /// Time until one of the servers takes a request, where they have said so; those `tried` are out of the
    /// question.
    pub fn takes_one_in(&self, now: Micros, tried: &[BackendId]) -> Option<Micros> {
        let others = self.servers.iter().filter(|server| !tried.contains(&server.id));
        others.filter_map(|server| server.takes_one_in(now)).min()
    }

    /// The refusal of a request that waits and that no server takes before its answer would be too late.
    pub(super) fn hopeless(
        &self,
        now: Micros,
        entry: &Entry,
        tried: &[BackendId],
    ) -> Option<Refusal> {
        let wait = self.takes_one_in(now, tried)?;
        let due = if entry.target > now { entry.target } else { entry.deadline };
        let is_too_late = now + wait + self.work() > due;
        is_too_late.then_some(Refusal { retry_after: wait, predicted: wait })
    }
}
