//! Questions to other instances whether they reach servers that do not answer this one, and the
//! answers.

use super::checks;
use crate::fleet::{self, Datagram, PathReport, ReachedNote};
use crate::instance::{Instance, sleep};
use crate::load_query::Purpose;
use crate::service::{ServerAddress, Service};
use crate::usage::Flow;
use galenapath_membership::Peer;
use galenapath_policy::reach::{FailedTry, NoAnswer, Trial, Trials, is_shown_by_other_services};
use galenapath_protocol::{BackendId, FastSet, Incarnation, Micros};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;

/// Servers of one service in a question. One that others reach shows that paths are gone; more are
/// asked about in turn.
const MAX_SERVERS: usize = 2;

/// Servers in one datagram.
const MAX_PER_DATAGRAM: usize = 32;

/// Instances asked of the own failure domain, and of others: where a whole domain has lost its
/// paths, only those of others can know.
const FEW: Asked = Asked { local: 1, remote: 2, prefers_serving: true };

/// Instances asked once those do not reach the service either: many may have lost their paths, and
/// the few that serve callers are asked by all of them.
const MANY: Asked = Asked { local: 2, remote: 6, prefers_serving: false };

/// Time for the answers to a question about one server.
const ANSWER_TIMEOUT: Micros = Micros::from_millis(300);

/// Interval at which an arrived answer is looked for.
const POLL_PERIOD: Micros = Micros::from_millis(5);

/// Number of servers that an instance tries in order to show that it has paths.
const MAX_TRIED_FOR_PROOF: usize = 2;

/// Time within which a new connection to a server is not tried again for another question.
const REPEATED_WITHIN: Micros = Micros::from_millis(10);

/// The instances that are asked.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// Instances of the own failure domain.
    local: usize,
    /// Instances of other failure domains.
    remote: usize,
    /// Whether those that serve callers go first: they have connections to the servers.
    prefers_serving: bool,
}

/// What other instances say of a server that does not answer this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OtherView {
    /// One of them reaches it.
    Reached,
    /// None reaches it, though other servers answer them.
    Unreached,
    /// None has answered.
    Unknown,
    /// There is none.
    Alone,
}

/// Result of a trial of a server on behalf of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    /// It answered on a new connection this long ago.
    Reached { age: Micros },
    /// It did not answer.
    Failed(FailedTry),
    /// There were too many checks to begin one more.
    Refrained,
}

/// What this instance's own use of a server shows: it answered on a new connection just now, or has
/// not answered several times, the last one a moment ago.
fn known(service: &Service, id: &BackendId, now: Micros) -> Option<Tried> {
    let contacts = service.contacts.borrow();
    let age = contacts.connected_at(id).map(|at| now - at).filter(|age| *age < REPEATED_WITHIN);
    let reached = age.map(|age| Tried::Reached { age });
    let failed = || contacts.failed_check_since(id, now - Trials::FAILURE_TTL).map(Tried::Failed);
    reached.or_else(failed)
}

impl Instance {
    /// Asks other instances about the servers for which that is due.
    pub(super) fn ask_others(&self) {
        let now = self.now();
        let (mut to_few, mut to_many) = (Vec::new(), Vec::new());
        let mut services: Vec<_> = self.services.borrow().values().cloned().collect();
        services.shuffle(&mut rand::rng());
        let askable = self.askable();
        for service in services {
            let mut contacts = service.contacts.borrow_mut();
            contacts.set_askable(now, &askable);
            let limit = MAX_SERVERS.min(self.reach.questions_left(now));
            let due = contacts.begin_questions(now, limit);
            due.iter().for_each(|_| self.reach.count_question(now));
            let servers = if contacts.is_unhelped() { &mut to_many } else { &mut to_few };
            servers.extend(due.iter().map(BackendId::short_hash));
        }
        self.send_questions(&to_few, FEW);
        self.send_questions(&to_many, MANY);
    }

    /// The instances that can be asked.
    fn askable(&self) -> FastSet<Incarnation> {
        let membership = self.membership.borrow();
        let usable = membership.peers().filter(|peer| peer.is_usable());
        usable.map(|peer| peer.member.incarnation).collect()
    }

    /// Sends the questions; returns the number of instances asked.
    fn send_questions(&self, servers: &[u32], asked: Asked) -> usize {
        if servers.is_empty() {
            return 0;
        }
        let to = self.instances_to_ask(asked);
        for part in servers.chunks(MAX_PER_DATAGRAM) {
            let question = Datagram::PathQuery { from: self.incarnation, servers: part.to_vec() };
            let datagram = fleet::encode(&question);
            to.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
        to.len()
    }

    /// Picks instances at random, those that have lost most paths themselves last.
    fn instances_to_ask(&self, asked: Asked) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let usable = membership.peers().filter(|peer| peer.is_usable());
        let (mut local, mut remote): (Vec<&Peer>, Vec<&Peer>) =
            usable.partition(|peer| peer.member.domain == *membership.domain());
        for side in [&mut local, &mut remote] {
            side.shuffle(&mut rand::rng());
            side.sort_by_key(|peer| {
                let is_later = asked.prefers_serving && !peer.status.serves_callers;
                (peer.status.is_cut_off, is_later)
            });
        }
        let count = asked.local + asked.remote;
        let local_count = asked.local.max(count.saturating_sub(remote.len()));
        let asked = local.iter().take(local_count).chain(&remote).take(count);
        asked.map(|peer| peer.member.peer_address).collect()
    }

    /// Answers a question of another instance: each server is tried on a new connection, unless that
    /// was done just now.
    pub(crate) fn answer_path_query(
        self: &Rc<Self>,
        from: Incarnation,
        servers: &[u32],
        address: SocketAddr,
    ) {
        let is_known = self.membership.borrow().peers().any(|peer| peer.member.incarnation == from);
        if !is_known {
            return;
        }
        for short in servers.iter().take(MAX_PER_DATAGRAM) {
            let Some((service, id)) = self.find_server(*short) else { continue };
            let instance = Rc::clone(self);
            monoio::spawn(async move { instance.try_for_other(&service, &id, address).await });
        }
    }

    async fn try_for_other(&self, service: &Service, id: &BackendId, address: SocketAddr) {
        let server = id.short_hash();
        let (mut reached, mut unreached) = (Vec::new(), Vec::new());
        let has_paths = match self.try_server(service, id).await {
            Tried::Reached { age } => {
                reached.push(ReachedNote { server, age });
                true
            }
            Tried::Failed(failed) => {
                unreached.push(server);
                self.has_paths(service, id, failed).await
            }
            Tried::Refrained => return,
        };
        let report = PathReport { from: self.incarnation, has_paths, reached, unreached };
        self.send(address, &fleet::encode(&Datagram::PathReport(report)), Flow::Loads);
    }

    /// Whether the server answers on a new connection, from what is known or by a check.
    async fn try_server(&self, service: &Service, id: &BackendId) -> Tried {
        loop {
            let now = self.now();
            if let Some(tried) = known(service, id, now) {
                return tried;
            }
            let trial = self.reach.trials.borrow().get(now, id);
            match trial {
                Trial::Running => sleep(POLL_PERIOD).await,
                Trial::Failed(failed) => return Tried::Failed(failed),
                Trial::Unknown => return self.check_for_other(service, id).await,
            }
        }
    }

    async fn check_for_other(&self, service: &Service, id: &BackendId) -> Tried {
        let began = self.now();
        if !self.reach.take_check_for_others(began) {
            return Tried::Refrained;
        }
        self.reach.trials.borrow_mut().begin(began, id);
        let result = checks::check(self, service, id, Purpose::CheckForOther).await;
        self.reach.trials.borrow_mut().end(id, result);
        match result {
            Ok(()) => Tried::Reached { age: Micros::ZERO },
            Err(how) => Tried::Failed(FailedTry { began, how }),
        }
    }

    /// Whether another server of the service has answered this instance since the failed try began,
    /// or does now. The paths to the servers of a service may be gone while those to others are not;
    /// those of others count where [`is_shown_by_other_services`] says so.
    async fn has_paths(&self, service: &Service, id: &BackendId, failed: FailedTry) -> bool {
        let mut others = service.servers();
        others.retain(|other| other.id != *id);
        if !others.is_empty() && service.contacts.borrow().has_answer_since(failed.began) {
            return true;
        }
        let others = match self.try_some(service, others).await {
            Some(failures) => failures,
            None => return true,
        };
        is_shown_by_other_services(failed.how, &others)
            && self.reaches_other_service(service, failed.began).await
    }

    /// Tries some of the servers; returns how they failed, or nothing if one answers.
    async fn try_some(
        &self,
        service: &Service,
        mut servers: Vec<ServerAddress>,
    ) -> Option<Vec<NoAnswer>> {
        servers.shuffle(&mut rand::rng());
        let mut failures = Vec::new();
        for server in servers.iter().take(MAX_TRIED_FOR_PROOF) {
            match self.try_server(service, &server.id).await {
                Tried::Reached { .. } => return None,
                Tried::Failed(failed) => failures.push(failed.how),
                Tried::Refrained => failures.push(NoAnswer::Lost),
            }
        }
        Some(failures)
    }

    /// Whether a server of another service has answered this instance since `since`, or does now.
    async fn reaches_other_service(&self, service: &Service, since: Micros) -> bool {
        let mut others: Vec<Rc<Service>> = self.services.borrow().values().cloned().collect();
        others.retain(|other| !std::ptr::eq(&**other, service));
        if others.iter().any(|other| other.contacts.borrow().has_answer_since(since)) {
            return true;
        }
        others.shuffle(&mut rand::rng());
        for other in others.iter().take(MAX_TRIED_FOR_PROOF) {
            other.refresh(self);
            if self.try_some(other, other.servers()).await.is_none() {
                return true;
            }
        }
        false
    }

    /// Applies another instance's answer.
    pub(crate) fn apply_path_report(&self, report: &PathReport) {
        let now = self.now();
        for note in &report.reached {
            if let Some((service, id)) = self.find_server(note.server) {
                let at = now - note.age;
                service.contacts.borrow_mut().record_reached_by(report.from, &id, at);
            }
        }
        for short in &report.unreached {
            if let Some((service, id)) = self.find_server(*short) {
                let mut contacts = service.contacts.borrow_mut();
                contacts.record_unreached_by(report.from, &id, report.has_paths);
            }
        }
        self.reach.wake();
    }

    fn find_server(&self, short: u32) -> Option<(Rc<Service>, BackendId)> {
        let services = self.services.borrow();
        services.values().find_map(|service| {
            // A service that is not in use may not have applied the current server list.
            service.refresh(self);
            Some((Rc::clone(service), service.by_short_id(short)?))
        })
    }

    /// Asks other instances whether they reach a server that has not answered this one since
    /// `since`.
    pub(crate) async fn ask_about(
        &self,
        service: &Service,
        id: &BackendId,
        since: Micros,
    ) -> OtherView {
        let asked_at = self.now();
        let asked = self.ask_unless_just_asked(service, id);
        if asked == 0 {
            return OtherView::Alone;
        }
        while self.now() - asked_at < ANSWER_TIMEOUT {
            sleep(POLL_PERIOD).await;
            let contacts = service.contacts.borrow();
            if contacts.is_reached_by_others_since(id, since) {
                return OtherView::Reached;
            }
            if contacts.denials(id) >= asked {
                break;
            }
        }
        match service.contacts.borrow().denials(id) {
            0 => OtherView::Unknown,
            _ => OtherView::Unreached,
        }
    }

    /// Returns the number of instances asked. Many requests may be lost with one server.
    fn ask_unless_just_asked(&self, service: &Service, id: &BackendId) -> usize {
        let now = self.now();
        if service.contacts.borrow().is_asked_since(id, now - ANSWER_TIMEOUT) {
            return self.instances_to_ask(FEW).len();
        }
        service.contacts.borrow_mut().begin_question(now, id);
        self.send_questions(&[id.short_hash()], FEW)
    }
}
