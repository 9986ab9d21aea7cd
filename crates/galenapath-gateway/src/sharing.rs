//! Exchange of load observations and failures of backend servers between instances, a few bytes
//! each, in batches.
//!
//! Only instances that serve callers receive them, since the others make few decisions by them.
//! Crashes and servers that have turned cold are sent to all instances, because a single stray
//! request can do harm there. An instance receives updates on servers of other failure domains only
//! while it sends requests to those.

use crate::fleet::{self, CrashNote, FailureNote, LoadNote, Loads, WarmthNote};
use crate::instance::{Instance, sleep};
use crate::reach::ReportDecision;
use crate::service::Service;
use crate::usage::Flow;
use galenapath_filings::Fingerprint;
use galenapath_membership::Peer;
use galenapath_policy::RepeatedNotices;
use galenapath_policy::place::LoadObservation;
use galenapath_protocol::{BackendId, DomainId, FastMap, Micros};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Time between two datagrams. Other instances use these updates to decide when to send requests
/// that wait for a slot, and two that see the same slot free collide. Most periods have no updates
/// and cost nothing.
const FLUSH_PERIOD: Micros = Micros::from_millis(20);

/// Maximum number of updates in one datagram, so that it fits one packet.
const MAX_UPDATES: usize = 60;

/// Time for which the last update on a server is kept for comparison.
const LAST_SENT_RETENTION: Micros = Micros::from_secs(60);

/// Updates on the servers of one failure domain.
#[derive(Default)]
struct DomainUpdates {
    loads: FastMap<BackendId, LoadObservation>,
    failures: FastMap<BackendId, f32>,
    /// Servers that are no longer cold.
    warm: Vec<BackendId>,
}

/// Exchanges that a server did not answer.
struct Unanswered {
    service: Rc<Service>,
    weight: f32,
    /// When the first of them failed.
    since: Micros,
}

/// Updates waiting for the next datagram, by the failure domain of their servers.
#[derive(Default)]
pub(crate) struct Outbox {
    by_domain: FastMap<DomainId, DomainUpdates>,
    /// Servers that did not answer. They are reported only if that is not due to this instance's
    /// own paths.
    unanswered: FastMap<BackendId, Unanswered>,
    last_sent: FastMap<BackendId, LoadObservation>,
    crashes: RepeatedNotices<CrashNote>,
    /// Servers that have turned cold, and until when they stay cold.
    turned_cold: FastMap<BackendId, Micros>,
    /// The task that waits for the first update.
    waker: Option<Waker>,
}

impl Outbox {
    /// Forgets what was sent about servers that have not been observed for long.
    fn prune(&mut self, now: Micros) {
        self.last_sent.retain(|_, sent| now - sent.at < LAST_SENT_RETENTION);
    }

    fn is_empty(&self) -> bool {
        self.by_domain.is_empty()
            && self.unanswered.is_empty()
            && self.crashes.is_empty()
            && self.turned_cold.is_empty()
    }

    /// Wakes the task that waits for the first update.
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn add_load(&mut self, domain: DomainId, id: &BackendId, observation: LoadObservation) {
        let is_update = self.last_sent.get(id).is_none_or(|sent| observation.is_update_to(sent));
        if is_update {
            self.by_domain.entry(domain).or_default().loads.insert(id.clone(), observation);
            self.last_sent.insert(id.clone(), observation);
            self.wake();
        }
    }

    fn add_failure(&mut self, domain: DomainId, id: &BackendId, weight: f32) {
        let notes = self.by_domain.entry(domain).or_default();
        *notes.failures.entry(id.clone()).or_default() += weight;
        self.wake();
    }

    fn add_unanswered(&mut self, now: Micros, service: &Rc<Service>, id: &BackendId, weight: f32) {
        let unanswered = self.unanswered.entry(id.clone()).or_insert_with(|| Unanswered {
            service: Rc::clone(service),
            weight: 0.0,
            since: now,
        });
        unanswered.weight += weight;
        self.wake();
    }

    fn add_turned_cold(&mut self, id: &BackendId, cold_until: Micros) {
        self.turned_cold.insert(id.clone(), cold_until);
        self.wake();
    }

    fn add_warm(&mut self, domain: DomainId, id: &BackendId) {
        self.by_domain.entry(domain).or_default().warm.push(id.clone());
        self.wake();
    }

    fn add_crash(&mut self, now: Micros, server: u64, running: &[Fingerprint]) {
        for request in running {
            self.crashes.add(now, CrashNote { server, request: *request });
        }
        self.wake();
    }
}

impl DomainUpdates {
    /// Converts the updates to a message sent at `now`.
    fn into_message(self, now: Micros) -> Loads {
        let load = |(id, observation): (BackendId, LoadObservation)| LoadNote {
            server: id.short_hash(),
            age: now - observation.at,
            report: observation.report,
        };
        let failure =
            |(id, weight): (BackendId, f32)| FailureNote { server: id.short_hash(), weight };
        let warmth = |id: &BackendId| WarmthNote { server: id.short_hash(), left: Micros::ZERO };
        Loads {
            loads: self.loads.into_iter().map(load).collect(),
            failures: self.failures.into_iter().map(failure).collect(),
            crashes: Vec::new(),
            warmth: self.warm.iter().map(warmth).collect(),
        }
    }
}

impl Instance {
    /// Queues a load observation of a server for the other instances.
    pub(crate) fn share_load(
        &self,
        service: &Service,
        id: &BackendId,
        observation: LoadObservation,
    ) {
        let Some(domain) = service.domain(id) else { return };
        self.outbox.borrow_mut().add_load(domain, id, observation);
    }

    /// Queues a failure that a server did not answer for the other instances. They are notified
    /// unless it turns out that only this instance does not reach the server.
    pub(crate) fn share_no_answer(&self, service: &Rc<Service>, id: &BackendId, weight: f32) {
        self.outbox.borrow_mut().add_unanswered(self.now(), service, id, weight);
    }

    /// Queues a failed request that a server answered for the other instances.
    pub(crate) fn share_failure(&self, service: &Service, id: &BackendId, weight: f32) {
        let Some(domain) = service.domain(id) else { return };
        self.outbox.borrow_mut().add_failure(domain, id, weight);
    }

    /// Queues an update that a server has turned cold, for all instances, or that it is no longer
    /// cold, for those that use it.
    pub(crate) fn share_warmth(&self, service: &Service, id: &BackendId, cold_until: Micros) {
        if cold_until > self.now() {
            self.outbox.borrow_mut().add_turned_cold(id, cold_until);
        } else if let Some(domain) = service.domain(id) {
            self.outbox.borrow_mut().add_warm(domain, id);
        }
    }

    /// Queues the crash of a server, given by its hash, for the other instances.
    pub(crate) fn share_crash(&self, server: u64, running: &[Fingerprint]) {
        self.outbox.borrow_mut().add_crash(self.now(), server, running);
    }

    /// Frees memory held for servers that are gone.
    pub(crate) fn prune_outbox(&self) {
        self.outbox.borrow_mut().prune(self.now());
    }

    /// Queues the failures of servers that did not answer, as far as they may be reported by now.
    fn release_unanswered(&self) {
        let held = std::mem::take(&mut self.outbox.borrow_mut().unanswered);
        for (id, unanswered) in held {
            let Unanswered { service, weight, since } = &unanswered;
            match self.decide_report(service, &id, *since) {
                ReportDecision::Send => self.share_failure(service, &id, *weight),
                ReportDecision::Hold => {
                    self.outbox.borrow_mut().unanswered.insert(id, unanswered);
                }
                ReportDecision::Drop => {}
            }
        }
    }

    /// Applies the updates received from another instance.
    pub(crate) fn apply_loads(&self, loads: &Loads) {
        let now = self.now();
        self.apply_crashes(&loads.crashes);
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            if !loads.warmth.is_empty() {
                // A service without requests so far may not have applied the server list yet.
                service.refresh(self);
            }
            for note in &loads.loads {
                if let Some(id) = service.by_short_id(note.server) {
                    let observation = LoadObservation { at: now - note.age, report: note.report };
                    service.observe_load(self, &id, observation);
                }
            }
            for note in &loads.failures {
                if let Some(id) = service.by_short_id(note.server) {
                    service.placement.borrow_mut().record_failure(now, &id, note.weight);
                }
            }
            for note in &loads.warmth {
                if let Some(id) = service.by_short_id(note.server) {
                    service.placement.borrow_mut().set_cold(now, &id, note.left);
                }
            }
        }
    }

    /// Ready once there is an update to send.
    fn poll_outbox(&self, cx: &Context<'_>) -> Poll<()> {
        let mut outbox = self.outbox.borrow_mut();
        if outbox.is_empty() {
            outbox.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    fn flush_outbox(&self) {
        let now = self.now();
        self.release_unanswered();
        let (by_domain, crashes, turned_cold) = {
            let mut outbox = self.outbox.borrow_mut();
            if outbox.is_empty() {
                return;
            }
            (
                std::mem::take(&mut outbox.by_domain),
                outbox.crashes.take_due(now),
                std::mem::take(&mut outbox.turned_cold),
            )
        };
        let recipients = self.recipients();
        let mut all = Loads::default();
        for (domain, notes) in by_domain {
            let notes = notes.into_message(now);
            let in_domain = recipients.iter().filter(|r| !r.is_cross_domain && r.domain == domain);
            self.send_loads(&notes, in_domain);
            all.loads.extend(notes.loads);
            all.failures.extend(notes.failures);
            all.warmth.extend(notes.warmth);
        }
        self.send_loads(&all, recipients.iter().filter(|recipient| recipient.is_cross_domain));
        let warmth = |(id, until): (BackendId, Micros)| WarmthNote {
            server: id.short_hash(),
            left: until - now,
        };
        let warmth = turned_cold.into_iter().map(warmth).collect();
        self.send_to_all(&Loads { crashes, warmth, ..Loads::default() });
    }

    fn send_loads<'a>(&self, notes: &Loads, to: impl Iterator<Item = &'a Recipient>) {
        let to: Vec<SocketAddr> = to.map(|recipient| recipient.address).collect();
        if to.is_empty() || notes.is_empty() {
            return;
        }
        for part in split(notes) {
            let datagram = fleet::encode(&fleet::Datagram::Loads(part));
            to.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// Sends updates to all instances: callers may retry a request that crashes servers at any
    /// instance, and any instance may get a stray request for a server that has turned cold.
    fn send_to_all(&self, notes: &Loads) {
        if notes.is_empty() {
            return;
        }
        let all = self.membership.borrow().reachable_addresses();
        for part in split(notes) {
            let datagram = fleet::encode(&fleet::Datagram::Loads(part));
            all.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// The instances that receive load observations and failures: those that serve callers.
    fn recipients(&self) -> Vec<Recipient> {
        let membership = self.membership.borrow();
        let serving = membership.peers().filter(|p| p.is_up() && p.status.serves_callers);
        let recipient = |peer: &Peer| Recipient {
            address: peer.member.peer_address,
            domain: peer.member.domain.clone(),
            is_cross_domain: peer.status.sends_cross_domain,
        };
        serving.map(recipient).collect()
    }
}

/// A recipient of load observations: an instance that serves callers.
struct Recipient {
    address: SocketAddr,
    domain: DomainId,
    /// Whether it sends requests to servers of all failure domains, not only of its own.
    is_cross_domain: bool,
}

/// Splits the updates into parts that fit a datagram each.
fn split(notes: &Loads) -> Vec<Loads> {
    let parts = notes.loads.chunks(MAX_UPDATES).map(<[LoadNote]>::to_vec);
    let mut parts: Vec<Loads> = parts.map(|loads| Loads { loads, ..Loads::default() }).collect();
    if parts.is_empty() {
        parts.push(Loads::default());
    }
    parts[0].failures.clone_from(&notes.failures);
    let crashes = notes.crashes.chunks(MAX_UPDATES);
    parts.extend(crashes.map(|part| Loads { crashes: part.to_vec(), ..Loads::default() }));
    let warmth = notes.warmth.chunks(MAX_UPDATES);
    parts.extend(warmth.map(|part| Loads { warmth: part.to_vec(), ..Loads::default() }));
    parts.retain(|part| !part.is_empty());
    parts
}

/// Sends queued updates for as long as the instance runs. An instance without updates, as most are
/// in a large fleet, does not wake.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        poll_fn(|cx| instance.poll_outbox(cx)).await;
        sleep(FLUSH_PERIOD).await;
        instance.flush_outbox();
    }
}
