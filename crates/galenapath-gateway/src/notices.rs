//! Notices about backend servers between instances: rate limits, and servers that are leaving.
//!
//! An instance that receives an update from a server sends it to all instances at once. One
//! instance repeats it every [`REPEAT_PERIOD`] to those that serve callers, because a datagram may
//! have been lost. An instance that becomes ready receives the notices in force.

use crate::fleet::{self, Datagram, LimitNote, Notices};
use crate::instance::{Instance, sleep_to_next};
use crate::probe;
use crate::service::Service;
use crate::usage::Flow;
use galenapath_policy::LogLineKind;
use galenapath_policy::place::{Placement, RateLimit};
use galenapath_protocol::{BackendId, Micros};
use std::net::SocketAddr;
use std::rc::Rc;

/// Period at which notices in force are repeated.
const REPEAT_PERIOD: Micros = Micros::from_secs(2);

/// Limits a datagram to the size of one packet.
const MAX_NOTES_PER_DATAGRAM: usize = 50;

/// The notice sent to other instances about a rate limit.
pub(crate) fn limit_note(now: Micros, id: &BackendId, limit: RateLimit) -> LimitNote {
    let RateLimit { per_second, stated_at: said_at } = limit;
    LimitNote { server: id.hash(), per_second, age: now - said_at }
}

impl Instance {
    /// Applies a server's rate limit; returns whether it is an update. `source` is logged.
    pub(crate) fn apply_rate_limit(
        &self,
        service: &Service,
        id: &BackendId,
        rate_limit: RateLimit,
        source: &'static str,
    ) -> bool {
        if !service.placement.borrow_mut().update_limit(self.now(), id, rate_limit) {
            return false;
        }
        probe::assign_warming_and_limits(self);
        if self.may_log(LogLineKind::Peer) {
            let (is_limited, limit) =
                (rate_limit.per_second.is_some(), rate_limit.per_second.unwrap_or(0.0));
            log::info!(server:% = id, is_limited, limit, told_by = source;
                "server rate limit changed");
        }
        true
    }

    /// Marks a server as leaving; returns whether that is an update. `source` is logged.
    pub(crate) fn apply_leaving(
        &self,
        service: &Service,
        id: &BackendId,
        source: &'static str,
    ) -> bool {
        if !self.state.borrow_mut().leaving.add(self.now(), id) {
            return false;
        }
        service.placement.borrow_mut().mark_leaving(id);
        if self.may_log(LogLineKind::Peer) {
            log::info!(server:% = id, told_by = source; "server is leaving");
        }
        true
    }

    /// Applies notices from another instance.
    pub(crate) fn apply_notices(&self, notices: &Notices, from: SocketAddr) {
        self.apply_rejected(&notices.rejected, from);
        self.apply_served(&notices.served);
        if notices.limits.is_empty() && notices.leaving.is_empty() {
            return;
        }
        let now = self.now();
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            // A service that is not in use may not have applied the current server list.
            service.refresh(self);
            for note in &notices.limits {
                let Some(id) = service.by_hash(note.server) else { continue };
                let limit = RateLimit { per_second: note.per_second, stated_at: now - note.age };
                self.apply_rate_limit(&service, &id, limit, "peer");
            }
            for id in notices.leaving.iter().filter_map(|hash| service.by_hash(*hash)) {
                self.apply_leaving(&service, &id, "peer");
            }
        }
    }

    /// Sends updates to all instances, because stray requests may reach any of them.
    pub(crate) fn broadcast_notices(&self, notices: &Notices) {
        let all = self.membership.borrow().reachable_addresses();
        self.send_notices(notices, &all);
    }

    /// Sends the notices in force to the instances that serve callers.
    fn repeat_notices(&self) {
        let notices = self.notices(Placement::limits_to_repeat);
        if notices.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = {
            let membership = self.membership.borrow();
            let serving = membership.peers().filter(|p| p.is_up() && p.status.serves_callers);
            serving.map(|peer| peer.member.peer_address).collect()
        };
        self.send_notices(&notices, &to);
    }

    /// Sends the notices in force to an instance that has just become ready. An instance in the
    /// same failure domain gets all known limits, so that it need not learn them from the servers.
    pub(crate) fn send_known_notices(&self, address: SocketAddr) {
        let is_local = self.membership.borrow().is_local(&address);
        let limits =
            if is_local { Placement::reportable_limits } else { Placement::limits_to_repeat };
        self.send_notices(&self.notices(limits), &[address]);
    }

    pub(crate) fn send_notices(&self, notices: &Notices, to: &[SocketAddr]) {
        for part in split(notices) {
            let datagram = fleet::encode(&Datagram::Notices(part));
            to.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// Collects the leaving servers whose notices this instance repeats, and the rate limits that
    /// `limits` selects.
    fn notices(&self, limits: fn(&Placement, Micros) -> Vec<(BackendId, RateLimit)>) -> Notices {
        let now = self.now();
        let leaving =
            self.state.borrow_mut().leaving.recent_direct(now).map(BackendId::hash).collect();
        let mut notices = Notices { leaving, ..Notices::default() };
        for service in self.services.borrow().values() {
            let limits = limits(&service.placement.borrow(), now);
            notices.limits.extend(limits.iter().map(|(id, limit)| limit_note(now, id, *limit)));
        }
        notices
    }
}

/// Splits the notices into parts that each fit one datagram.
fn split(notices: &Notices) -> Vec<Notices> {
    let limits = notices.limits.chunks(MAX_NOTES_PER_DATAGRAM);
    let limits = limits.map(|part| Notices { limits: part.to_vec(), ..Notices::default() });
    let leaving = notices.leaving.chunks(MAX_NOTES_PER_DATAGRAM);
    let leaving = leaving.map(|part| Notices { leaving: part.to_vec(), ..Notices::default() });
    let rejected = notices.rejected.chunks(MAX_NOTES_PER_DATAGRAM);
    let rejected = rejected.map(|part| Notices { rejected: part.to_vec(), ..Notices::default() });
    let served = notices.served.chunks(MAX_NOTES_PER_DATAGRAM);
    let served = served.map(|part| Notices { served: part.to_vec(), ..Notices::default() });
    limits.chain(leaving).chain(rejected).chain(served).collect()
}

/// Repeats the notices in force for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep_to_next(&instance, REPEAT_PERIOD).await;
        instance.repeat_notices();
        instance.prune_outbox();
    }
}
