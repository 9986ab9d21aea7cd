//! Choosing backend servers for a request and sending attempts to them.

use super::answer::OwnAnswer;
use super::attempt::{AttemptError, Reply, Target, attempt};
use super::backend::Backend;
use super::call::Call;
use super::crash::{self, IsolatedRun, Loss, RunPermission};
use super::error_answers;
use super::permit::{InFlight, Permit};
use super::prepare::Prepared;
use super::request::header_number;
use super::running::Running;
use super::service::State;
use galenapath_config::ClassKind;
use galenapath_policy::{AttemptCount, BackendHandle, MAX_ATTEMPTS, may_retry};
use galenapath_protocol::{ATTEMPT_HEADER, BackendId, Micros, Verdict};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// An answer and the attempt that produced it.
pub(super) struct Served {
    pub(super) backend: BackendId,
    pub(super) in_flight: InFlight,
    pub(super) reply: Reply,
}

/// The state of a request over all its attempts.
pub(super) struct Dispatch<'a> {
    pub(super) call: &'a Call,
    req: &'a Prepared,
    /// Attempts made over the whole chain of calls.
    attempts: Cell<AttemptCount>,
    /// The last loss of a connection that the request was on.
    loss: RefCell<Option<Loss>>,
    /// Held if the request is a crash suspect that runs isolated.
    isolated_run: Option<IsolatedRun<'a>>,
    /// Backend servers tried already. Never borrowed across an await.
    tried: RefCell<Vec<BackendHandle>>,
}

impl<'a> Dispatch<'a> {
    /// Checks whether the request may run.
    ///
    /// # Errors
    ///
    /// The answer to a request that is rejected as a crash suspect.
    pub(super) fn new(call: &'a Call, req: &'a Prepared) -> Result<Self, OwnAnswer> {
        let isolated_run = match crash::check_permission(&call.plane, req.fingerprint) {
            RunPermission::Unrestricted => None,
            RunPermission::Isolated(isolated_run) => Some(isolated_run),
            RunPermission::Rejected(verdict) => return Err(error_answers::suspect(verdict)),
        };
        let attempts = Cell::new(AttemptCount::received(call.meta.attempts));
        let (loss, tried) = Default::default();
        Ok(Self { call, req, attempts, loss, isolated_run, tried })
    }

    /// Waits until the peers know of a crash that the request was involved in. Must be called
    /// before the caller is answered that the request failed.
    pub(super) async fn wait_for_peers(&self) {
        let loss = self.loss.borrow_mut().take();
        if let Some(loss) = loss {
            loss.wait_for_peers().await;
        }
    }

    /// Returns whether a retry is allowed after an attempt that ended with `verdict`; if so, the
    /// retry is counted.
    pub(super) fn try_retry(&self, verdict: Verdict) -> bool {
        let now = self.call.plane.now();
        let kind = error_answers::kind_of(self.call.meta.class.kind);
        let time_left = self.call.meta.deadline - now;
        let is_allowed = may_retry(kind, verdict, self.attempts.get().made(), time_left)
            && !self.is_known_to_crash_servers(now)
            && self.call.ends_in_time()
            && self.call.service.state.borrow_mut().retries.try_retry(now);
        if is_allowed {
            self.count_attempt();
            self.call.plane.shared.metrics.retries.inc();
        }
        is_allowed
    }

    /// Whether the request has become known to crash servers since it was admitted.
    fn is_known_to_crash_servers(&self, now: Micros) -> bool {
        self.call.plane.suspects.borrow().is_rejected(now, self.req.fingerprint)
    }

    /// Counts one more attempt.
    fn count_attempt(&self) {
        let mut attempts = self.attempts.get();
        attempts.increment();
        self.attempts.set(attempts);
    }

    /// Returns how long to wait for an answer before a hedge is sent; `None` for no hedge.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        if self.isolated_run.is_some() {
            return None;
        }
        let kind = error_answers::kind_of(self.call.meta.class.kind);
        self.call.service.state.borrow().hedges.delay(kind).map(Duration::from)
    }

    /// Returns whether a hedge may be sent now for an attempt that began at `started`; if so, the
    /// hedge is counted.
    pub(super) fn try_hedge(&self, started: Micros) -> bool {
        let now = self.call.plane.now();
        if !self.call.ends_in_time() {
            return false;
        }
        let kind = error_answers::kind_of(self.call.meta.class.kind);
        let mut state = self.call.service.state.borrow_mut();
        let State { hedges, retries, admission, .. } = &mut *state;
        // Without free capacity, a hedge would take the place of a queued request.
        let is_allowed = self.attempts.get().made() < MAX_ATTEMPTS
            && !self.is_known_to_crash_servers(now)
            && admission.has_room()
            && hedges.try_hedge(now, started, self.call.meta.deadline, kind, retries);
        drop(state);
        if is_allowed {
            self.count_attempt();
            self.call.plane.shared.metrics.hedges.inc();
        }
        is_allowed
    }

    /// Chooses the next backend server; one that was tried before only if there is no other.
    pub(super) fn choose(&self) -> Option<BackendHandle> {
        let now = self.call.plane.now();
        let exclude = self.tried.borrow().clone();
        if self.isolated_run.is_some() {
            return self.choose_isolated(exclude);
        }
        let mut state = self.call.service.state.borrow_mut();
        let balancer = &mut state.balancer;
        if exclude.is_empty()
            && balancer.free_slots(now) == 0
            && let Some(handle) = balancer.choose_cross_domain(now)
        {
            return Some(handle);
        }
        // A filing that fails cannot be retried, so it is not used as a trial of an ejected server.
        let is_filing = self.call.meta.class.kind == ClassKind::Filing;
        let without_trial =
            if is_filing { balancer.choose_without_trial(now, &exclude) } else { None };
        without_trial
            .or_else(|| balancer.choose(now, &exclude))
            .or_else(|| balancer.choose(now, &[]))
    }

    /// Chooses a backend server on which nothing else of this instance is running.
    fn choose_isolated(&self, mut exclude: Vec<BackendHandle>) -> Option<BackendHandle> {
        let now = self.call.plane.now();
        loop {
            let handle = self.call.service.state.borrow_mut().balancer.choose(now, &exclude)?;
            if self.call.service.backend(handle).is_some_and(|b| b.running.is_empty(now)) {
                return Some(handle);
            }
            exclude.push(handle);
        }
    }

    /// Sends one attempt to the backend server `handle`. `before_send` is called immediately before
    /// the first byte is sent; if it fails, nothing is sent.
    pub(super) async fn attempt(
        &self,
        permit: &Permit,
        handle: BackendHandle,
        before_send: impl FnOnce() -> Result<(), AttemptError>,
    ) -> Result<Served, AttemptError> {
        self.tried.borrow_mut().push(handle);
        self.call.trace.borrow_mut().attempt_count = self.attempts.get().made();
        let in_flight = InFlight::start(permit, handle);
        let Some(backend) = self.call.service.backend(handle) else {
            return Err(AttemptError::Connect(std::io::ErrorKind::NotFound.into()));
        };
        let target = Target {
            plane: &self.call.plane,
            service: &self.call.service,
            handle,
            backend: &backend,
            deadline: self.call.meta.deadline,
        };
        let open = &self.call.open;
        let mut was_sent = false;
        let before_send = || {
            if !self.call.ends_in_time() {
                return Err(AttemptError::Stopping);
            }
            before_send()?;
            was_sent = true;
            open.mark_sent(self.call.plane.now(), &backend.id);
            Ok(())
        };
        let deadline = self.call.meta.deadline;
        let running = Running::begin(&self.call.plane, &backend, self.req.fingerprint, deadline);
        let result = attempt(&target, self.req, self.attempts.get().made(), before_send).await;
        if was_sent && matches!(&result, Err(error) if error.verdict() == Verdict::NotRun) {
            open.remove_send();
        }
        match result {
            Ok(mut reply) => {
                match &mut reply.rest {
                    Some(rest) => rest.running = Some(running),
                    None => running.answer(reply.status),
                }
                self.record_answer(&backend, &reply, in_flight.latency());
                Ok(Served { backend: backend.id.clone(), in_flight, reply })
            }
            Err(error) => {
                if error.is_connection_lost() {
                    let Call { plane, service, .. } = self.call;
                    let loss = crash::record_connection_loss(plane, service, &backend);
                    loss.wait_until_recorded().await;
                    *self.loss.borrow_mut() = Some(loss);
                    running.end();
                } else if !was_sent || error.verdict() == Verdict::NotRun {
                    running.end();
                }
                self.call.trace.borrow_mut().record_failure(&backend.id, &error);
                in_flight.finish(error.outcome());
                Err(error)
            }
        }
    }

    /// Records an answer and the attempts that it reports.
    fn record_answer(&self, backend: &Backend, reply: &Reply, latency: Micros) {
        self.call.trace.borrow_mut().record_answer(&backend.id, reply.status);
        self.call.service.state.borrow_mut().hedges.observe(latency);
        if let Some(count) = header_number(&reply.headers, ATTEMPT_HEADER) {
            let mut attempts = self.attempts.get();
            attempts.merge_reported(u32::try_from(count).unwrap_or(u32::MAX));
            self.attempts.set(attempts);
            self.call.trace.borrow_mut().attempt_count = attempts.made();
        }
    }
}
