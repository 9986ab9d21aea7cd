//! What instances tell each other of backend servers: loads and failures, a few bytes each, in
//! batches.
//!
//! Only instances that serve callers hear of it; the others decide nothing by it.

use crate::fleet::{self, CrashNote, FailureNote, LoadNote, Loads};
use crate::instance::{Instance, sleep};
use galenapath_policy::place::Sighting;
use galenapath_protocol::{BackendId, FastMap, Micros, hash64};
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two datagrams: others that wait for a slot send their requests by what they know, and two
/// that see the same slot free collide. From 200 to 50 ms another 1% of the requests was in target, from
/// 50 to 20 ms a third of that more, at the same number of bytes: most periods have nothing new.
const FLUSH_PERIOD: Micros = Micros::from_millis(20);

/// Most notes in one datagram, so that it fits one packet.
const MOST_NOTES: usize = 60;

/// Notes that wait for the next datagram.
#[derive(Default)]
pub(crate) struct Outbox {
    loads: FastMap<BackendId, Sighting>,
    failures: FastMap<BackendId, f32>,
    told: FastMap<BackendId, Sighting>,
    crashes: Vec<CrashNote>,
}

/// Short form of a server's identity between instances.
pub(crate) fn short_id(id: &BackendId) -> u32 {
    hash64(0, id.0.as_bytes()) as u32
}

impl Outbox {
    fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.failures.is_empty() && self.crashes.is_empty()
    }

    fn add_load(&mut self, id: &BackendId, sighting: Sighting) {
        let is_news = self.told.get(id).is_none_or(|told| sighting.is_news_after(told));
        if is_news {
            self.loads.insert(id.clone(), sighting);
            self.told.insert(id.clone(), sighting);
        }
    }
}

impl Instance {
    /// Tells the other instances what was seen of a server.
    pub(crate) fn share_load(&self, id: &BackendId, sighting: Sighting) {
        self.outbox.borrow_mut().add_load(id, sighting);
    }

    /// Tells the other instances that a server failed a request.
    pub(crate) fn share_failure(&self, id: &BackendId, weight: f32) {
        *self.outbox.borrow_mut().failures.entry(id.clone()).or_default() += weight;
    }

    /// Tells the other instances of a crash.
    pub(crate) fn share_crash(&self, note: CrashNote) {
        self.outbox.borrow_mut().crashes.push(note);
    }

    /// Takes in what another instance saw.
    pub(crate) fn take_loads(&self, loads: &Loads) {
        let now = self.now();
        loads.crashes.iter().for_each(|note| self.take_crash(note));
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            for note in &loads.loads {
                if let Some(id) = service.by_short_id(note.server) {
                    let sighting = Sighting { at: now - note.age, report: note.report };
                    service.see(self, &id, sighting);
                }
            }
            for note in &loads.failures {
                if let Some(id) = service.by_short_id(note.server) {
                    service.placement.borrow_mut().failed(now, &id, note.weight);
                }
            }
        }
    }

    fn flush_outbox(&self) {
        let now = self.now();
        let mut outbox = self.outbox.borrow_mut();
        if outbox.is_empty() {
            return;
        }
        let loads = outbox.loads.drain().map(|(id, seen)| LoadNote {
            server: short_id(&id),
            age: now - seen.at,
            report: seen.report,
        });
        let loads: Vec<LoadNote> = loads.collect();
        let failures = outbox.failures.drain();
        let failures: Vec<FailureNote> =
            failures.map(|(id, weight)| FailureNote { server: short_id(&id), weight }).collect();
        let crashes = std::mem::take(&mut outbox.crashes);
        drop(outbox);
        // Callers take a request that crashes servers to any instance.
        let to = if crashes.is_empty() { self.load_readers() } else { self.beats.borrow().all() };
        for part in split(Loads { loads, failures, crashes }) {
            let datagram = fleet::encode(&fleet::Datagram::Loads(part));
            to.iter().for_each(|address| self.send(*address, &datagram));
        }
    }

    fn load_readers(&self) -> Vec<SocketAddr> {
        let beats = self.beats.borrow();
        let readers = beats.peers().filter(|p| p.is_up() && p.vitals.serves_callers);
        readers.map(|peer| peer.member.peers).collect()
    }
}

fn split(all: Loads) -> Vec<Loads> {
    if all.loads.len() <= MOST_NOTES {
        return vec![all];
    }
    let Loads { loads, failures, crashes } = all;
    let parts = loads.chunks(MOST_NOTES).map(<[LoadNote]>::to_vec);
    let mut parts: Vec<Loads> = parts.map(|loads| Loads { loads, ..Loads::default() }).collect();
    if let Some(first) = parts.first_mut() {
        first.failures = failures;
        first.crashes = crashes;
    }
    parts
}

/// Sends what has gathered, for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep(FLUSH_PERIOD).await;
        instance.flush_outbox();
    }
}
