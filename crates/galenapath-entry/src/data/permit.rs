//! Admission of one request, and the guards that release what it holds.

use super::call::Call;
use super::plane::DataPlane;
use super::request::RequestMeta;
use super::service::Service;
use futures::channel::oneshot;
use futures::future::{Either, select};
use galenapath_policy::{
    BackendHandle, Decision, Offer, Outcome, QueuedDecision, Rejection, Ticket,
};
use galenapath_protocol::Micros;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Longest sleep of a waiting request between two looks at admission.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// A request that was let in. Dropping it counts as cancelled.
pub(super) struct Permit {
    plane: Rc<DataPlane>,
    service: Rc<Service>,
    ticket: Ticket,
    started: Micros,
    /// Whether an attempt has begun; until then the request counts as unsent.
    is_sent: Cell<bool>,
    is_done: bool,
}

impl Permit {
    /// Waits until the request is let in or turned away.
    pub(super) async fn acquire(call: &Call) -> Result<Self, Rejection> {
        let Call { plane, service, meta, trace } = call;
        let arrived = plane.now();
        let ticket = meta.number;
        match offer(service, arrived, meta) {
            Offered::Start => {}
            Offered::Reject(rejection) => return Err(rejection),
            Offered::Wait(rx) => {
                let waiting = Waiting { plane, service, ticket, rx, is_over: false };
                waiting.wait().await?;
            }
        }
        let started = plane.now();
        let waited = started - arrived;
        plane.shared.metrics.wait.observe(waited.as_millis_f64() / 1_000.0);
        trace.borrow_mut().waited = waited;
        service.state.borrow_mut().retries.record_first_attempt(started);
        Ok(Self {
            plane: Rc::clone(plane),
            service: Rc::clone(service),
            ticket,
            started,
            is_sent: Cell::new(false),
            is_done: false,
        })
    }

    fn mark_sent(&self) {
        if !self.is_sent.replace(true) {
            self.service.state.borrow_mut().unsent -= 1;
        }
    }

    /// The request has ended.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_done, true) {
            return;
        }
        self.mark_sent();
        let now = self.plane.now();
        let latency = now - self.started;
        self.service.state.borrow_mut().admission.finish(now, self.ticket, outcome, latency);
        self.service.poll(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(Outcome::Cancelled);
    }
}

enum Offered {
    Start,
    Wait(oneshot::Receiver<QueuedDecision>),
    Reject(Rejection),
}

fn offer(service: &Service, now: Micros, meta: &RequestMeta) -> Offered {
    service.poll(now);
    let class = service.class_index(&meta.class.name);
    let mut state = service.state.borrow_mut();
    let workspace = state.admission.workspace_index(&meta.workspace);
    let offer = Offer { ticket: meta.number, class, workspace, deadline: meta.deadline };
    match state.admission.offer(now, offer) {
        Decision::Start => {
            state.unsent += 1;
            Offered::Start
        }
        Decision::Reject(rejection) => Offered::Reject(rejection),
        Decision::Wait => {
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(meta.number, tx);
            drop(state);
            // Room may have been made for it at the cost of others.
            service.poll(now);
            Offered::Wait(rx)
        }
    }
}

/// A request in the queue. Dropping it takes it out, also where it was let in and nobody has taken
/// note of that yet.
struct Waiting<'a> {
    plane: &'a Rc<DataPlane>,
    service: &'a Rc<Service>,
    ticket: Ticket,
    rx: oneshot::Receiver<QueuedDecision>,
    /// Whether the wait has ended and its end was taken note of.
    is_over: bool,
}

impl Waiting<'_> {
    async fn wait(mut self) -> Result<(), Rejection> {
        let step = loop {
            let sleep = pin!(monoio::time::sleep(self.until_wake()));
            match select(&mut self.rx, sleep).await {
                Either::Left((step, _)) => break step.ok(),
                Either::Right(_) => self.service.poll(self.plane.now()),
            }
        };
        self.end(step)
    }

    /// Takes note of the end of the wait.
    fn end(&mut self, step: Option<QueuedDecision>) -> Result<(), Rejection> {
        self.is_over = true;
        match step {
            Some(QueuedDecision::Reject(_, rejection)) => Err(rejection),
            // The sender lives in the service until it has sent.
            Some(QueuedDecision::Start(_)) | None => Ok(()),
        }
    }

    fn until_wake(&self) -> Duration {
        let wake = self.service.state.borrow().admission.next_wake();
        let left = wake.map_or(LONGEST_SLEEP, |at| (at - self.plane.now()).into());
        // A wake that is due already must not keep the thread from other work.
        left.clamp(Duration::from_millis(1), LONGEST_SLEEP)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let now = self.plane.now();
        let mut state = self.service.state.borrow_mut();
        if state.waiters.remove(&self.ticket).is_none()
            && matches!(self.rx.try_recv(), Ok(Some(QueuedDecision::Start(_))))
        {
            state.unsent -= 1;
        }
        state.admission.cancel(now, self.ticket);
        drop(state);
        self.service.poll(now);
    }
}

/// An attempt that is counted as in flight at a backend server. Dropping it counts as cancelled.
pub(super) struct InFlight {
    plane: Rc<DataPlane>,
    service: Rc<Service>,
    /// The backend server.
    pub(super) slot: BackendHandle,
    started: Micros,
    is_done: bool,
}

impl InFlight {
    /// Counts an attempt of an admitted request at `slot`.
    pub(super) fn start(permit: &Permit, slot: BackendHandle) -> Self {
        permit.mark_sent();
        let (plane, service) = (&permit.plane, &permit.service);
        let started = plane.now();
        service.state.borrow_mut().balancer.start(started, slot);
        Self { plane: Rc::clone(plane), service: Rc::clone(service), slot, started, is_done: false }
    }

    /// Time since the attempt began.
    pub(super) fn latency(&self) -> Micros {
        self.plane.now() - self.started
    }

    /// The attempt has ended.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_done, true) {
            return;
        }
        let now = self.plane.now();
        let latency = now - self.started;
        self.service.state.borrow_mut().balancer.finish(now, self.slot, outcome, latency);
        let label = match outcome {
            Outcome::Answered => "answered",
            Outcome::Shed => "shed",
            Outcome::FastFailure => "fast_failure",
            Outcome::Failure => "failure",
            Outcome::TimedOut => "timed_out",
            Outcome::Cancelled => "cancelled",
        };
        self.plane.shared.metrics.attempts.with_label_values(&[label]).inc();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.release(Outcome::Cancelled);
    }
}
