//! Giving requests a server, or letting them wait for one.

use crate::in_flight::{Given, InFlight};
use crate::instance::Instance;
use crate::service::Service;
use futures::channel::oneshot;
use galenapath_policy::place::{Ask, Choice, Entry, Refusal};
use galenapath_protocol::{BackendId, Micros};
use std::rc::Rc;

/// Longest sleep of a waiting request between two looks at the queue.
const LOOK_AGAIN: Micros = Micros::from_millis(10);

/// A request that waits.
pub(crate) struct Waiter {
    tried: Vec<BackendId>,
    is_large: bool,
    tx: oneshot::Sender<Result<Given, Refusal>>,
}

/// What a request asks of the queue.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) entry: Entry,
    /// Servers that the request was sent to already.
    pub(crate) tried: Vec<BackendId>,
    /// Whether its answer is large.
    pub(crate) is_large: bool,
}

/// Why no server was given.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoServer {
    /// All are full and the wait would be too long.
    Refused(Refusal),
    /// None is left that could take the request.
    Nowhere,
}

impl Service {
    /// Finds a server for a request, which waits for one where it has to.
    ///
    /// # Errors
    ///
    /// When the wait would be too long or there is no server.
    pub(crate) async fn place(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        wanted: Wanted,
    ) -> Result<InFlight, NoServer> {
        let now = instance.now();
        if !self.queue.borrow().has_before(now, &wanted.entry) {
            let ask = Ask {
                tried: &wanted.tried,
                is_large: wanted.is_large,
                left: wanted.entry.target - now,
            };
            let choice = self.placement.borrow_mut().choose(now, &ask);
            match choice {
                Choice::Server(id) => return Ok(InFlight::start(self, instance, id)),
                Choice::Nowhere => return Err(NoServer::Nowhere),
                Choice::Wait => {}
            }
        }
        self.wait(instance, wanted).await
    }

    /// A server that a second copy goes to at once, if there is a good one.
    pub(crate) fn place_copy(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        tried: &[BackendId],
        is_large: bool,
    ) -> Option<InFlight> {
        let now = instance.now();
        let ask = Ask { tried, is_large, left: Micros::ZERO };
        if !self.placement.borrow().has_good(now, &ask) {
            return None;
        }
        let choice = self.placement.borrow_mut().choose(now, &ask);
        match choice {
            Choice::Server(id) => Some(InFlight::start(self, instance, id)),
            Choice::Wait | Choice::Nowhere => None,
        }
    }

    async fn wait(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        wanted: Wanted,
    ) -> Result<InFlight, NoServer> {
        let Wanted { entry, tried, is_large } = wanted;
        let now = instance.now();
        let (pace, work) = self.drain(instance);
        let offered = self.queue.borrow_mut().offer(now, entry, pace, work);
        offered.map_err(NoServer::Refused)?;
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(entry.ticket, Waiter { tried, is_large, tx });
        instance.metrics.waiting.inc();
        let mut waiting = Waiting { service: self, instance, ticket: entry.ticket, rx };
        loop {
            match monoio::time::timeout(LOOK_AGAIN.into(), &mut waiting.rx).await {
                Ok(Ok(Ok(given))) => return Ok(InFlight::started(self, instance, given)),
                Ok(Ok(Err(refusal))) => return Err(NoServer::Refused(refusal)),
                Ok(Err(_)) => return Err(NoServer::Nowhere),
                Err(_) => self.poll(instance),
            }
        }
    }

    /// Mean time between two starts at this instance while all servers are busy, and the mean time
    /// of a request.
    fn drain(&self, instance: &Instance) -> (Micros, Micros) {
        let placement = self.placement.borrow();
        let work = placement.work();
        let slots = placement.good_slots(instance.now()).max(1.0);
        let pace = work.0 as f32 / (slots * instance.load_share());
        (Micros(pace as u64), work)
    }

    /// Starts or refuses what waits, as far as it is time for that.
    pub(crate) fn poll(&self, instance: &Instance) {
        let now = instance.now();
        let work = self.placement.borrow().work();
        let expired = self.queue.borrow_mut().expired(now, work);
        for (entry, refusal) in expired {
            if let Some(waiter) = self.waiters.borrow_mut().remove(&entry.ticket) {
                // The caller may have gone at this very moment.
                let _ = waiter.tx.send(Err(refusal));
            }
        }
        while self.start_next(now) {}
    }

    /// Starts one of those that are next; returns whether there was a server for any.
    fn start_next(&self, now: Micros) -> bool {
        let next: Vec<Entry> = self.queue.borrow().next().copied().collect();
        next.iter().any(|entry| self.try_start(now, entry) == Tried::Started)
    }

    fn try_start(&self, now: Micros, entry: &Entry) -> Tried {
        let mut waiters = self.waiters.borrow_mut();
        let Some(waiter) = waiters.get(&entry.ticket) else {
            self.queue.borrow_mut().remove(entry.ticket);
            return Tried::Started;
        };
        let left = entry.target - now;
        let ask = Ask { tried: &waiter.tried, is_large: waiter.is_large, left };
        let choice = self.placement.borrow_mut().choose(now, &ask);
        let Choice::Server(id) = choice else { return Tried::Waits };
        self.queue.borrow_mut().remove(entry.ticket);
        let Some(waiter) = waiters.remove(&entry.ticket) else { return Tried::Started };
        let started = self.placement.borrow_mut().start(now, &id);
        if let Err(Ok(given)) = waiter.tx.send(Ok(Given { server: id, started })) {
            self.placement.borrow_mut().finish(&given.server);
        }
        Tried::Started
    }
}

/// What came of an attempt to start a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    Started,
    Waits,
}

/// A request in the queue. Dropping it takes the request out, also where a server was given to it
/// and nobody has taken note of that yet.
struct Waiting<'a> {
    service: &'a Rc<Service>,
    instance: &'a Rc<Instance>,
    ticket: u64,
    rx: oneshot::Receiver<Result<Given, Refusal>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.instance.metrics.waiting.dec();
        self.service.queue.borrow_mut().remove(self.ticket);
        let was_waiting = self.service.waiters.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            return;
        }
        if let Ok(Some(Ok(given))) = self.rx.try_recv() {
            self.service.placement.borrow_mut().finish(&given.server);
        }
    }
}
