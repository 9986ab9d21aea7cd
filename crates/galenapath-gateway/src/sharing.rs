//! What instances tell each other of backend servers: loads and failures, a few bytes each, in
//! batches.
//!
//! Only instances that serve callers hear of it; the others decide little by it, but for crashes and servers that
//! have turned cold, which a single stray request can harm. Of servers of other
//! failure domains they hear while they send requests there.

use crate::fleet::{self, CrashNote, FailureNote, LoadNote, Loads, WarmthNote};
use crate::instance::{Instance, sleep};
use crate::service::Service;
use crate::usage::Flow;
use galenapath_membership::Peer;
use galenapath_policy::place::LoadObservation;
use galenapath_protocol::{BackendId, DomainId, FastMap, Micros};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Time between two datagrams: others that wait for a slot send their requests by what they know, and two
/// that see the same slot free collide. Most periods have nothing new and cost nothing.
const FLUSH_PERIOD: Micros = Micros::from_millis(20);

/// Most notes in one datagram, so that it fits one packet.
const MOST_NOTES: usize = 60;

/// Notes on the servers of one failure domain.
#[derive(Default)]
struct Notes {
    loads: FastMap<BackendId, LoadObservation>,
    failures: FastMap<BackendId, f32>,
    /// Servers that are cold no more.
    warm: Vec<BackendId>,
}

/// Notes that wait for the next datagram, by the failure domain of their servers.
#[derive(Default)]
pub(crate) struct Outbox {
    by_domain: FastMap<DomainId, Notes>,
    told: FastMap<BackendId, LoadObservation>,
    crashes: Vec<CrashNote>,
    /// Until when servers stay cold that have turned cold.
    turned_cold: FastMap<BackendId, Micros>,
    /// Whoever waits for the first note.
    waker: Option<Waker>,
}

impl Outbox {
    fn is_empty(&self) -> bool {
        self.by_domain.is_empty() && self.crashes.is_empty() && self.turned_cold.is_empty()
    }

    /// Wakes whoever waits for the first note.
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn add_load(&mut self, domain: DomainId, id: &BackendId, sighting: LoadObservation) {
        let is_news = self.told.get(id).is_none_or(|told| sighting.is_update_to(told));
        if is_news {
            self.by_domain.entry(domain).or_default().loads.insert(id.clone(), sighting);
            self.told.insert(id.clone(), sighting);
            self.wake();
        }
    }

    fn add_failure(&mut self, domain: DomainId, id: &BackendId, weight: f32) {
        let notes = self.by_domain.entry(domain).or_default();
        *notes.failures.entry(id.clone()).or_default() += weight;
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

    fn add_crash(&mut self, note: CrashNote) {
        self.crashes.push(note);
        self.wake();
    }
}

impl Notes {
    /// The notes as they are sent now.
    fn at(self, now: Micros) -> Loads {
        let load = |(id, seen): (BackendId, LoadObservation)| LoadNote {
            server: id.short(),
            age: now - seen.at,
            report: seen.report,
        };
        let failure = |(id, weight): (BackendId, f32)| FailureNote { server: id.short(), weight };
        let warmth = |id: &BackendId| WarmthNote { server: id.short(), left: Micros::ZERO };
        Loads {
            loads: self.loads.into_iter().map(load).collect(),
            failures: self.failures.into_iter().map(failure).collect(),
            crashes: Vec::new(),
            warmth: self.warm.iter().map(warmth).collect(),
        }
    }
}

impl Instance {
    /// Tells the other instances what was seen of a server.
    pub(crate) fn share_load(&self, service: &Service, id: &BackendId, sighting: LoadObservation) {
        let Some(domain) = service.domain(id) else { return };
        self.outbox.borrow_mut().add_load(domain, id, sighting);
    }

    /// Tells the other instances that a server failed a request.
    pub(crate) fn share_failure(&self, service: &Service, id: &BackendId, weight: f32) {
        let Some(domain) = service.domain(id) else { return };
        self.outbox.borrow_mut().add_failure(domain, id, weight);
    }

    /// Tells all other instances that a server has turned cold, or those that use it that it is cold no more.
    pub(crate) fn share_warmth(&self, service: &Service, id: &BackendId, cold_until: Micros) {
        if cold_until > self.now() {
            self.outbox.borrow_mut().add_turned_cold(id, cold_until);
        } else if let Some(domain) = service.domain(id) {
            self.outbox.borrow_mut().add_warm(domain, id);
        }
    }

    /// Tells the other instances of a crash.
    pub(crate) fn share_crash(&self, note: CrashNote) {
        self.outbox.borrow_mut().add_crash(note);
    }

    /// Takes in what another instance saw.
    pub(crate) fn take_loads(&self, loads: &Loads) {
        let now = self.now();
        loads.crashes.iter().for_each(|note| self.take_crash(note));
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            if !loads.warmth.is_empty() {
                // One that nobody uses yet may not have taken the list in.
                service.refresh(self);
            }
            for note in &loads.loads {
                if let Some(id) = service.by_short_id(note.server) {
                    let sighting = LoadObservation { at: now - note.age, report: note.report };
                    service.see(self, &id, sighting);
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

    /// Ready once there is something to tell.
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
        let (by_domain, crashes, turned_cold) = {
            let mut outbox = self.outbox.borrow_mut();
            if outbox.is_empty() {
                return;
            }
            (
                std::mem::take(&mut outbox.by_domain),
                std::mem::take(&mut outbox.crashes),
                std::mem::take(&mut outbox.turned_cold),
            )
        };
        let readers = self.readers();
        let mut all = Loads::default();
        for (domain, notes) in by_domain {
            let notes = notes.at(now);
            let at_home = readers.iter().filter(|r| !r.hears_all && r.domain == domain);
            self.send_loads(&notes, at_home);
            all.loads.extend(notes.loads);
            all.failures.extend(notes.failures);
            all.warmth.extend(notes.warmth);
        }
        self.send_loads(&all, readers.iter().filter(|reader| reader.hears_all));
        let warmth =
            |(id, until): (BackendId, Micros)| WarmthNote { server: id.short(), left: until - now };
        let warmth = turned_cold.into_iter().map(warmth).collect();
        self.send_to_all(&Loads { crashes, warmth, ..Loads::default() });
    }

    fn send_loads<'a>(&self, notes: &Loads, to: impl Iterator<Item = &'a Reader>) {
        let to: Vec<SocketAddr> = to.map(|reader| reader.address).collect();
        if to.is_empty() || notes.is_empty() {
            return;
        }
        for part in split(notes) {
            let datagram = fleet::encode(&fleet::Datagram::Loads(part));
            to.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// Callers take a request that crashes servers to any instance, and stray requests for a server that has
    /// turned cold come to any.
    fn send_to_all(&self, notes: &Loads) {
        if notes.is_empty() {
            return;
        }
        let all = self.beats.borrow().all();
        for part in split(notes) {
            let datagram = fleet::encode(&fleet::Datagram::Loads(part));
            all.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// The instances that hear what was seen of servers.
    fn readers(&self) -> Vec<Reader> {
        let beats = self.beats.borrow();
        let serving = beats.peers().filter(|p| p.is_up() && p.vitals.serves_callers);
        let reader = |peer: &Peer| Reader {
            address: peer.member.peers,
            domain: peer.member.domain.clone(),
            hears_all: peer.vitals.crosses,
        };
        serving.map(reader).collect()
    }
}

/// An instance that serves callers.
struct Reader {
    address: SocketAddr,
    domain: DomainId,
    /// Whether it sends requests to servers of any failure domain, not only of its own.
    hears_all: bool,
}

/// The notes in parts that fit a datagram each.
fn split(notes: &Loads) -> Vec<Loads> {
    let parts = notes.loads.chunks(MOST_NOTES).map(<[LoadNote]>::to_vec);
    let mut parts: Vec<Loads> = parts.map(|loads| Loads { loads, ..Loads::default() }).collect();
    if parts.is_empty() {
        parts.push(Loads::default());
    }
    parts[0].failures.clone_from(&notes.failures);
    parts[0].crashes.clone_from(&notes.crashes);
    let more = notes.warmth.chunks(MOST_NOTES);
    parts.extend(more.map(|part| Loads { warmth: part.to_vec(), ..Loads::default() }));
    parts.retain(|part| !part.is_empty());
    parts
}

/// Sends what has gathered, for as long as the instance runs. Most instances of a large fleet have nothing
/// to tell, and do not wake for it.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        poll_fn(|cx| instance.poll_outbox(cx)).await;
        sleep(FLUSH_PERIOD).await;
        instance.flush_outbox();
    }
}
