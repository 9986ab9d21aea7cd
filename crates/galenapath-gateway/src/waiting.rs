//! Assigns requests to servers, and queues those that have to wait for one.

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

/// Period at which a waiting request polls the queue.
const POLL_INTERVAL: Micros = Micros::from_millis(10);

/// Notifies a waiting request of its assignment or rejection.
pub(crate) type Waiter = oneshot::Sender<Result<Assignment, QueueRejection>>;

/// Why a request got no server.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoServer {
    /// All servers are full and the wait would be too long.
    Rejected(QueueRejection),
    /// No server can accept the request.
    Unavailable,
}

impl Service {
    /// Assigns a request to a server, after a wait in the queue if necessary.
    ///
    /// # Errors
    ///
    /// If the wait would be too long or there is no server.
    pub(crate) async fn place(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        request: PlacementRequest,
    ) -> Result<InFlight, NoServer> {
        self.prepare(instance);
        let (now, ticket) = (instance.now(), request.entry.ticket);
        let outcome = {
            let (mut queue, mut placement) = (self.queue.borrow_mut(), self.placement.borrow_mut());
            queue.place(now, &mut placement, request, instance.load_share())
        };
        match outcome {
            PlacementOutcome::Assigned(assignment) => {
                Ok(InFlight::assigned(self, instance, assignment))
            }
            PlacementOutcome::Queued => self.wait(instance, ticket).await,
            PlacementOutcome::Rejected(rejection) => Err(NoServer::Rejected(rejection)),
            PlacementOutcome::NoServer => Err(NoServer::Unavailable),
        }
    }

    /// Whether [`Self::place_hedge`] finds a server.
    pub(crate) fn has_server_for_hedge(
        &self,
        instance: &Instance,
        tried: &[BackendId],
        is_large: bool,
    ) -> bool {
        self.prepare(instance);
        let criteria = RequestCriteria { tried, is_large, time_left: Micros::ZERO };
        self.placement.borrow().has_good_server(instance.now(), &criteria)
    }

    /// Assigns a hedge to a server without waiting, if there is a good one.
    pub(crate) fn place_hedge(
        self: &Rc<Self>,
        instance: &Rc<Instance>,
        tried: &[BackendId],
        is_large: bool,
    ) -> Option<InFlight> {
        self.prepare(instance);
        let now = instance.now();
        let criteria = RequestCriteria { tried, is_large, time_left: Micros::ZERO };
        if !self.placement.borrow().has_good_server(now, &criteria) {
            return None;
        }
        let choice = self.placement.borrow_mut().choose(now, &criteria);
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
        let mut queued = QueuedRequest { service: self, instance, ticket, rx };
        loop {
            match monoio::time::timeout(POLL_INTERVAL.into(), &mut queued.rx).await {
                Ok(Ok(Ok(assignment))) => {
                    return Ok(InFlight::assigned(self, instance, assignment));
                }
                Ok(Ok(Err(rejection))) => return Err(NoServer::Rejected(rejection)),
                Ok(Err(_)) => return Err(NoServer::Unavailable),
                // Other instances reach the servers, so that there is nothing to wait for here.
                Err(_) if self.contacts.borrow().is_nothing_reached(instance.now()) => {
                    return Err(NoServer::Unavailable);
                }
                Err(_) => self.poll(instance),
            }
        }
    }

    /// Assigns or rejects the waiting requests that are due.
    pub(crate) fn poll(&self, instance: &Instance) {
        let due = self.queue.borrow_mut().poll(instance.now(), &mut self.placement.borrow_mut());
        for QueueOutcome { ticket, result } in due {
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            let sent = waiter.map_or(Err(result.clone()), |tx| tx.send(result));
            // The request was cancelled before it could be notified.
            if let Err(Ok(assignment)) = sent {
                self.placement.borrow_mut().finish(&assignment.server);
            }
        }
    }
}

/// A request in the queue. Dropping it removes the request, and releases its server if it was
/// assigned one but its task has not received the assignment yet.
struct QueuedRequest<'a> {
    service: &'a Rc<Service>,
    instance: &'a Rc<Instance>,
    ticket: u64,
    rx: oneshot::Receiver<Result<Assignment, QueueRejection>>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.instance.metrics.waiting.dec();
        self.service.queue.borrow_mut().remove(self.ticket);
        let was_waiting = self.service.waiters.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            return;
        }
        if let Ok(Some(Ok(assignment))) = self.rx.try_recv() {
            self.service.placement.borrow_mut().finish(&assignment.server);
        }
    }
}
