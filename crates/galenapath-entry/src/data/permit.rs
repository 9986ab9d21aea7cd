//! Admission of a request, and guards that release its place and its attempts.

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

/// Maximum time between two polls of admission by a queued request.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Guard of an admitted request. Dropping it counts the request as cancelled.
pub(super) struct Permit {
    plane: Rc<DataPlane>,
    service: Rc<Service>,
    ticket: Ticket,
    started: Micros,
    /// Whether an attempt has begun; until then, the request is counted as unsent.
    is_sent: Cell<bool>,
    is_done: bool,
}

impl Permit {
    /// Waits until the request is admitted.
    ///
    /// # Errors
    ///
    /// If the request is rejected.
    pub(super) async fn acquire(call: &Call) -> Result<Self, Rejection> {
        let Call { plane, service, meta, trace, .. } = call;
        let arrived = plane.now();
        let ticket = meta.number;
        match offer(service, arrived, meta) {
            OfferOutcome::Start => {}
            OfferOutcome::Reject(rejection) => return Err(rejection),
            OfferOutcome::Wait(rx) => {
                let waiting = Waiting { plane, service, ticket, rx, has_ended: false };
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

    /// Releases the request's place in admission with its outcome.
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

/// What admission decided when the request was offered.
enum OfferOutcome {
    Start,
    Wait(oneshot::Receiver<QueuedDecision>),
    Reject(Rejection),
}

fn offer(service: &Service, now: Micros, meta: &RequestMeta) -> OfferOutcome {
    service.poll(now);
    let class = service.class_index(&meta.class.name);
    let mut state = service.state.borrow_mut();
    let workspace = state.admission.workspace_index(&meta.workspace);
    let offer = Offer { ticket: meta.number, class, workspace, deadline: meta.deadline };
    match state.admission.offer(now, offer) {
        Decision::Start => {
            state.unsent += 1;
            OfferOutcome::Start
        }
        Decision::Reject(rejection) => OfferOutcome::Reject(rejection),
        Decision::Wait => {
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(meta.number, tx);
            drop(state);
            // Admission may have rejected other queued requests to make room for this one.
            service.poll(now);
            OfferOutcome::Wait(rx)
        }
    }
}

/// Guard of a queued request. Dropping it removes the request from the queue, or cancels it if it
/// was admitted but the decision has not been received yet.
struct Waiting<'a> {
    plane: &'a Rc<DataPlane>,
    service: &'a Rc<Service>,
    ticket: Ticket,
    rx: oneshot::Receiver<QueuedDecision>,
    /// Whether the decision has been received.
    has_ended: bool,
}

impl Waiting<'_> {
    async fn wait(mut self) -> Result<(), Rejection> {
        let decision = loop {
            let sleep = pin!(monoio::time::sleep(self.time_until_wake()));
            match select(&mut self.rx, sleep).await {
                Either::Left((decision, _)) => break decision.ok(),
                Either::Right(_) => self.service.poll(self.plane.now()),
            }
        };
        self.record_end(decision)
    }

    /// Records the end of the wait.
    fn record_end(&mut self, decision: Option<QueuedDecision>) -> Result<(), Rejection> {
        self.has_ended = true;
        match decision {
            Some(QueuedDecision::Reject(_, rejection)) => Err(rejection),
            // `None` cannot occur: the service keeps the sender until it has sent the decision.
            Some(QueuedDecision::Start(_)) | None => Ok(()),
        }
    }

    fn time_until_wake(&self) -> Duration {
        let wake = self.service.state.borrow().admission.next_wake();
        let time_left = wake.map_or(MAX_SLEEP, |at| (at - self.plane.now()).into());
        // At least 1 ms, so that a wake-up that is already due does not block other tasks.
        time_left.clamp(Duration::from_millis(1), MAX_SLEEP)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.has_ended {
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

/// Guard of an attempt that is in flight at a backend server. Dropping it counts the attempt as
/// cancelled.
pub(super) struct InFlight {
    plane: Rc<DataPlane>,
    service: Rc<Service>,
    /// The backend server.
    pub(super) handle: BackendHandle,
    started: Micros,
    is_done: bool,
}

impl InFlight {
    /// Counts an attempt of an admitted request at the backend server `handle`.
    pub(super) fn start(permit: &Permit, handle: BackendHandle) -> Self {
        permit.mark_sent();
        let (plane, service) = (&permit.plane, &permit.service);
        let started = plane.now();
        service.state.borrow_mut().balancer.start(started, handle);
        Self {
            plane: Rc::clone(plane),
            service: Rc::clone(service),
            handle,
            started,
            is_done: false,
        }
    }

    /// Returns the time since the attempt began.
    pub(super) fn latency(&self) -> Micros {
        self.plane.now() - self.started
    }

    /// Ends the attempt with its outcome.
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
        state.balancer.finish(now, self.handle, outcome, latency);
        // An attempt that was cancelled would have taken at least as long.
        state.work = state.work.with_sample(now, latency);
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
