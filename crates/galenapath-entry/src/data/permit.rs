//! Admission of one request, and the guards that release what it holds.

use super::plane::DataPlane;
use super::request::RequestMeta;
use super::service::Service;
use futures::channel::oneshot;
use futures::future::{Either, select};
use galenapath_policy::{Decision, Offer, Outcome, Rejection, Slot, Step, Ticket};
use galenapath_protocol::Micros;
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
    /// Time that the request waited.
    pub(super) waited: Micros,
    is_done: bool,
}

impl Permit {
    /// Waits until the request is let in or turned away.
    pub(super) async fn acquire(
        plane: &Rc<DataPlane>,
        service: &Rc<Service>,
        meta: &RequestMeta,
    ) -> Result<Self, Rejection> {
        let arrived = plane.now();
        let ticket = meta.number;
        match offer(service, arrived, meta) {
            Offered::Start => {}
            Offered::Reject(rejection) => return Err(rejection),
            Offered::Wait(rx) => {
                let waiting = Waiting { plane, service, ticket };
                waiting.wait(rx).await?;
                std::mem::forget(waiting);
            }
        }
        let started = plane.now();
        let waited = started - arrived;
        plane.shared.metrics.wait.observe(waited.as_millis_f64() / 1_000.0);
        Ok(Self {
            plane: Rc::clone(plane),
            service: Rc::clone(service),
            ticket,
            started,
            waited,
            is_done: false,
        })
    }

    /// The request has ended.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_done, true) {
            return;
        }
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
    Wait(oneshot::Receiver<Step>),
    Reject(Rejection),
}

fn offer(service: &Service, now: Micros, meta: &RequestMeta) -> Offered {
    service.poll(now);
    let class = service.class_index(&meta.class.name);
    let mut state = service.state.borrow_mut();
    let workspace = state.admission.workspace(&meta.workspace);
    let offer = Offer { ticket: meta.number, class, workspace, deadline: meta.deadline };
    match state.admission.offer(now, offer) {
        Decision::Start => Offered::Start,
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

/// A request in the queue. Dropping it takes it out.
struct Waiting<'a> {
    plane: &'a Rc<DataPlane>,
    service: &'a Rc<Service>,
    ticket: Ticket,
}

impl Waiting<'_> {
    async fn wait(&self, mut step: oneshot::Receiver<Step>) -> Result<(), Rejection> {
        loop {
            let sleep = pin!(monoio::time::sleep(self.until_wake()));
            match select(&mut step, sleep).await {
                Either::Left((Ok(Step::Start(_)), _)) => return Ok(()),
                Either::Left((Ok(Step::Reject(_, rejection)), _)) => return Err(rejection),
                // The sender lives in the service until it has sent.
                Either::Left((Err(_), _)) => return Ok(()),
                Either::Right(_) => self.service.poll(self.plane.now()),
            }
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
        let now = self.plane.now();
        let mut state = self.service.state.borrow_mut();
        state.waiters.remove(&self.ticket);
        state.admission.cancel(now, self.ticket);
    }
}

/// An attempt that is counted as in flight at a backend server. Dropping it counts as cancelled.
pub(super) struct InFlight {
    plane: Rc<DataPlane>,
    service: Rc<Service>,
    /// The backend server.
    pub(super) slot: Slot,
    started: Micros,
    is_done: bool,
}

impl InFlight {
    /// Counts an attempt at `slot`.
    pub(super) fn start(plane: &Rc<DataPlane>, service: &Rc<Service>, slot: Slot) -> Self {
        let started = plane.now();
        let mut state = service.state.borrow_mut();
        state.balancer.start(started, slot);
        state.in_flight += 1;
        drop(state);
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
        let mut state = self.service.state.borrow_mut();
        state.balancer.finish(now, self.slot, outcome, latency);
        state.in_flight -= 1;
        drop(state);
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
