//! Giving requests a server, or letting them wait for one.

use crate::in_flight::InFlight;
use crate::instance::Instance;
use crate::service::Service;
use futures::channel::oneshot;
use galenapath_policy::place::{
    Assignment, Choice, PlacementOutcome, PlacementRequest, QueueOutcome, QueueRejection,
    RequestCriteria,
};
use galenapath_protocol::{BackendId, Micros};
use std::rc::Rc;

/// Longest sleep of a waiting request between two looks at the queue.
const LOOK_AGAIN: Micros = Micros::from_millis(10);

/// Tells a request that waits what comes of it.
pub(crate) type Waiter = oneshot::Sender<Result<Assignment, QueueRejection>>;

/// Why no server was given.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoServer {
    /// All are full and the wait would be too long.
    Refused(QueueRejection),
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
        wanted: PlacementRequest,
    ) -> Result<InFlight, NoServer> {
        self.prepare(instance);
        let (now, ticket) = (instance.now(), wanted.entry.ticket);
        let placed = {
            let (mut line, mut placement) = (self.line.borrow_mut(), self.placement.borrow_mut());
            line.place(now, &mut placement, wanted, instance.load_share())
        };
        match placed {
            PlacementOutcome::Assigned(given) => Ok(InFlight::started(self, instance, given)),
            PlacementOutcome::Queued => self.wait(instance, ticket).await,
            PlacementOutcome::Rejected(refusal) => Err(NoServer::Refused(refusal)),
            PlacementOutcome::NoServer => Err(NoServer::Nowhere),
        }
    }

    /// A server that a second copy goes to at once, if there is a good one.
    pub(crate) fn place_copy(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        tried: &[BackendId],
        is_large: bool,
    ) -> Option<InFlight> {
        self.prepare(instance);
        let now = instance.now();
        let ask = RequestCriteria { tried, is_large, time_left: Micros::ZERO };
        if !self.placement.borrow().has_good_server(now, &ask) {
            return None;
        }
        let choice = self.placement.borrow_mut().choose(now, &ask);
        match choice {
            Choice::Server(id) => Some(InFlight::start(self, instance, id)),
            Choice::Wait | Choice::NoServer => None,
        }
    }

    async fn wait(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        ticket: u64,
    ) -> Result<InFlight, NoServer> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        instance.metrics.waiting.inc();
        let mut waiting = Waiting { service: self, instance, ticket, rx };
        loop {
            match monoio::time::timeout(LOOK_AGAIN.into(), &mut waiting.rx).await {
                Ok(Ok(Ok(given))) => return Ok(InFlight::started(self, instance, given)),
                Ok(Ok(Err(refusal))) => return Err(NoServer::Refused(refusal)),
                Ok(Err(_)) => return Err(NoServer::Nowhere),
                Err(_) => self.poll(instance),
            }
        }
    }

    /// Starts or refuses what waits, as far as it is time for that.
    pub(crate) fn poll(&self, instance: &Instance) {
        let moved = self.line.borrow_mut().poll(instance.now(), &mut self.placement.borrow_mut());
        for QueueOutcome { ticket, result } in moved {
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            let untold = waiter.map_or(Err(result.clone()), |tx| tx.send(result));
            // The caller has gone at this very moment.
            if let Err(Ok(given)) = untold {
                self.placement.borrow_mut().finish(&given.server);
            }
        }
    }
}

/// A request in the queue. Dropping it takes the request out, also where a server was given to it
/// and nobody has taken note of that yet.
struct Waiting<'a> {
    service: &'a Rc<Service>,
    instance: &'a Rc<Instance>,
    ticket: u64,
    rx: oneshot::Receiver<Result<Assignment, QueueRejection>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.instance.metrics.waiting.dec();
        self.service.line.borrow_mut().remove(self.ticket);
        let was_waiting = self.service.waiters.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            return;
        }
        if let Ok(Some(Ok(given))) = self.rx.try_recv() {
            self.service.placement.borrow_mut().finish(&given.server);
        }
    }
}
