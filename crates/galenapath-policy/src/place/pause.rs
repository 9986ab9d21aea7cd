//! Servers that rejected a request of this instance and asked for a pause.
//!
//! Load pattern: servers with full queues at a peak. Each request that is sent there nevertheless
//! is rejected again, takes a retry out of the budget and time from its caller, and delays the
//! server in draining its queue. The server knows best when it has room again. It states a pause to
//! each instance separately, so that they do not all return at the same time. A request that only
//! paused servers could take is rejected at once, with the time at which the first of them accepts
//! requests again.

use super::placement::Placement;
use super::queue::{QueueEntry, QueueRejection};
use super::server::Server;
use galenapath_protocol::{BackendId, Micros};

impl Server {
    /// Whether this instance sends no requests to it for now.
    pub(super) fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// Whether it may get requests, apart from limits on their number.
    pub(super) fn accepts_requests(&self, now: Micros) -> bool {
        self.takes_requests() && !self.is_paused(now)
    }

    /// Time until it accepts a request of this instance, if known: at the end of its pause, and
    /// when its rate limit allows another one. Unknown for a cold server, which only the instance
    /// that warms it can send to.
    fn time_until_accepting(&self, now: Micros) -> Option<Micros> {
        let time_until_budget = self.limited.time_until_budget(now)?;
        let is_known = self.takes_requests() && self.is_reachable(now) && !self.is_cold(now);
        is_known.then_some(time_until_budget.max(self.paused_until - now))
    }
}

impl Placement {
    /// Pauses sends to the server for `span`. Returns whether this is a change: the server was not
    /// paused before.
    pub fn pause(&mut self, now: Micros, id: &BackendId, span: Micros) -> bool {
        let until = now + span;
        let Some(server) = self.server_mut(id) else {
            let restrictions = self.delisted.entry(now, id);
            restrictions.paused_until = restrictions.paused_until.max(until);
            return false;
        };
        let was_paused = server.is_paused(now);
        server.paused_until = server.paused_until.max(until);
        !was_paused && server.is_paused(now)
    }

    /// Whether this instance sends no requests to the server for now.
    pub fn is_paused(&self, now: Micros, id: &BackendId) -> bool {
        self.server(id).is_some_and(|server| server.is_paused(now))
    }

    /// Number of paused servers.
    pub fn paused_count(&self, now: Micros) -> usize {
        self.servers.iter().filter(|server| server.is_paused(now)).count()
    }

    /// Time until one of the servers, except those `tried`, accepts a request, if known.
    pub fn time_until_accepting(&self, now: Micros, tried: &[BackendId]) -> Option<Micros> {
        let others = self.servers.iter().filter(|server| !tried.contains(&server.id));
        others.filter_map(|server| server.time_until_accepting(now)).min()
    }

    /// Returns the rejection of a waiting request that no server accepts before its answer would be
    /// too late.
    pub(super) fn rejection_if_too_late(
        &self,
        now: Micros,
        entry: &QueueEntry,
        tried: &[BackendId],
    ) -> Option<QueueRejection> {
        let wait = self.time_until_accepting(now, tried)?;
        let due = if entry.target > now { entry.target } else { entry.deadline };
        let is_too_late = now + wait + self.work() > due;
        is_too_late.then_some(QueueRejection { retry_after: wait, predicted_wait: wait })
    }
}
