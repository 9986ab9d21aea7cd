//! What instances know and tell each other of what backend servers have said of themselves.
//!
//! Whoever hears something new tells all instances at once. One of them tells it again now and then to those that
//! serve callers, some of which may have missed it, and one that becomes ready is told what is known.

use crate::fleet::{self, Datagram, LimitNote, Notices};
use crate::instance::{Instance, sleep_to_next};
use crate::probe;
use crate::service::Service;
use crate::usage::Flow;
use galenapath_policy::LineKind;
use galenapath_policy::place::{Placement, RateLimit};
use galenapath_protocol::{BackendId, Micros};
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two tellings of what is no news.
const TELL_AGAIN: Micros = Micros::from_secs(2);

/// Most notes in one datagram, so that it fits one packet.
const MOST_NOTES: usize = 50;

/// What another instance is told of a limit.
pub(crate) fn limit_note(now: Micros, id: &BackendId, word: RateLimit) -> LimitNote {
    let RateLimit { per_second, said_at } = word;
    LimitNote { server: id.hash(), per_second, age: now - said_at }
}

impl Instance {
    /// Takes in what a server said of its rate limit; returns whether it is news.
    pub(crate) fn hear_limit(
        &self,
        service: &Service,
        id: &BackendId,
        word: RateLimit,
        told_by: &'static str,
    ) -> bool {
        if !service.placement.borrow_mut().hear_limit(self.now(), id, word) {
            return false;
        }
        probe::assign_warming_and_limits(self);
        if self.may_log(LineKind::Peer) {
            let (is_limited, limit) = (word.per_second.is_some(), word.per_second.unwrap_or(0.0));
            log::info!(server:% = id, is_limited, limit, told_by; "rate limit of a server");
        }
        true
    }

    /// Takes in that a server leaves; returns whether it is news.
    pub(crate) fn hear_leaving(
        &self,
        service: &Service,
        id: &BackendId,
        told_by: &'static str,
    ) -> bool {
        if !self.state.borrow_mut().leaving.add(self.now(), id) {
            return false;
        }
        service.placement.borrow_mut().mark_leaving(id);
        if self.may_log(LineKind::Peer) {
            log::info!(server:% = id, told_by; "server says that it leaves");
        }
        true
    }

    /// Takes in what another instance has heard from servers.
    pub(crate) fn take_notices(&self, notices: &Notices) {
        let now = self.now();
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            // One that nobody uses yet may not have taken the list in.
            service.refresh(self);
            for note in &notices.limits {
                let Some(id) = service.by_hash(note.server) else { continue };
                let word = RateLimit { per_second: note.per_second, said_at: now - note.age };
                self.hear_limit(&service, &id, word, "peer");
            }
            for id in notices.leaving.iter().filter_map(|hash| service.by_hash(*hash)) {
                self.hear_leaving(&service, &id, "peer");
            }
        }
    }

    /// Tells all instances what is news: stray requests come to any of them.
    pub(crate) fn tell(&self, notices: &Notices) {
        let all = self.membership.borrow().reachable_addresses();
        self.send_notices(notices, &all);
    }

    /// Tells the instances that serve callers what is no news any more.
    fn tell_again(&self) {
        let notices = self.notices(Placement::limits_told_again);
        if notices.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = {
            let beats = self.membership.borrow();
            let serving = beats.peers().filter(|p| p.is_up() && p.status.serves_callers);
            serving.map(|peer| peer.member.peer_address).collect()
        };
        self.send_notices(&notices, &to);
    }

    /// Tells an instance that has just become ready what servers have said: all that is known, where it is of the
    /// own failure domain, so that it need not be told by the servers.
    pub(crate) fn tell_newcomer(&self, newcomer: SocketAddr) {
        let is_home = self.membership.borrow().is_local(&newcomer);
        let limits = if is_home { Placement::limits_told } else { Placement::limits_told_again };
        self.send_notices(&self.notices(limits), &[newcomer]);
    }

    fn send_notices(&self, notices: &Notices, to: &[SocketAddr]) {
        for part in split(notices) {
            let datagram = fleet::encode(&Datagram::Notices(part));
            to.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// Servers that have told this instance lately that they leave, and the limits that `limits` picks.
    fn notices(&self, limits: fn(&Placement, Micros) -> Vec<(BackendId, RateLimit)>) -> Notices {
        let now = self.now();
        let leaving =
            self.state.borrow_mut().leaving.recent_direct(now).map(BackendId::hash).collect();
        let mut notices = Notices { leaving, ..Notices::default() };
        for service in self.services.borrow().values() {
            let limits = limits(&service.placement.borrow(), now);
            notices.limits.extend(limits.iter().map(|(id, word)| limit_note(now, id, *word)));
        }
        notices
    }
}

/// The notices in parts that fit a datagram each.
fn split(notices: &Notices) -> Vec<Notices> {
    let limits = notices.limits.chunks(MOST_NOTES);
    let limits = limits.map(|part| Notices { limits: part.to_vec(), ..Notices::default() });
    let leaving = notices.leaving.chunks(MOST_NOTES);
    let leaving = leaving.map(|part| Notices { leaving: part.to_vec(), ..Notices::default() });
    limits.chain(leaving).collect()
}

/// Tells now and then what servers have said and is no news any more, for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep_to_next(&instance, TELL_AGAIN).await;
        instance.tell_again();
    }
}
