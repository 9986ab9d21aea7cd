//! Trying one backend server.

use super::answer::OwnAnswer;
use super::attempt::{Fault, Reply, Target, attempt};
use super::backend::Backend;
use super::call::Call;
use super::crash::{self, Clearance, Spreading, Trial};
use super::permit::{InFlight, Permit};
use super::prepare::Prepared;
use super::refusal;
use super::request::number;
use super::service::State;
use galenapath_config::ClassKind;
use galenapath_policy::{AttemptCount, BackendHandle, MAX_ATTEMPTS, may_retry};
use galenapath_protocol::{ATTEMPT_HEADER, BackendId, Micros, Verdict};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// An answer and the attempt that it came from.
pub(super) struct Served {
    pub(super) backend: BackendId,
    pub(super) in_flight: InFlight,
    pub(super) reply: Reply,
}

/// A request on its way to backend servers.
pub(super) struct Dispatch<'a> {
    pub(super) call: &'a Call,
    req: &'a Prepared,
    /// Attempts made over the whole chain of calls.
    attempts: Cell<AttemptCount>,
    /// Word to the peers about the last crash that the request was in.
    spreading: RefCell<Option<Spreading>>,
    /// Held while the request is a suspect that runs alone.
    trial: Option<Trial<'a>>,
    /// Backend servers tried already; borrowed only between two awaits.
    tried: RefCell<Vec<BackendHandle>>,
}

impl<'a> Dispatch<'a> {
    /// Judges whether the request may run at all.
    pub(super) fn new(call: &'a Call, req: &'a Prepared) -> Result<Self, OwnAnswer> {
        let trial = match crash::clearance(&call.plane, req.fingerprint) {
            Clearance::Free => None,
            Clearance::Alone(trial) => Some(trial),
            Clearance::Refused(verdict) => return Err(refusal::suspect(verdict)),
        };
        let attempts = Cell::new(AttemptCount::received(call.meta.attempts));
        let (spreading, tried) = Default::default();
        Ok(Self { call, req, attempts, spreading, trial, tried })
    }

    /// Waits until the peers have heard of a crash that the request was in. To be called before
    /// the caller is told that it failed.
    pub(super) async fn peers_told(&self) {
        let spreading = self.spreading.borrow_mut().take();
        if let Some(spreading) = spreading {
            spreading.done().await;
        }
    }

    /// Whether a further attempt is allowed after one that ended with `verdict`; if so it is
    /// counted.
    pub(super) fn may_go_on(&self, verdict: Verdict) -> bool {
        let now = self.call.plane.now();
        let kind = refusal::kind_of(self.call.meta.class.kind);
        let left = self.call.meta.deadline - now;
        let is_allowed = may_retry(kind, verdict, self.attempts.get().made(), left)
            && self.call.service.state.borrow_mut().retries.try_retry(now);
        if is_allowed {
            self.count_attempt();
            self.call.plane.shared.metrics.retries.inc();
        }
        is_allowed
    }

    /// Counts a further attempt.
    fn count_attempt(&self) {
        let mut attempts = self.attempts.get();
        attempts.again();
        self.attempts.set(attempts);
    }

    /// How long to wait for an answer before a second copy goes out; `None` for never.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        if self.trial.is_some() {
            return None;
        }
        let kind = refusal::kind_of(self.call.meta.class.kind);
        self.call.service.state.borrow().hedges.delay(kind).map(Duration::from)
    }

    /// Whether a second copy of an attempt that began at `started` may go out now; if so it is
    /// counted.
    pub(super) fn may_hedge(&self, started: Micros) -> bool {
        let now = self.call.plane.now();
        let kind = refusal::kind_of(self.call.meta.class.kind);
        let mut state = self.call.service.state.borrow_mut();
        let State { hedges, retries, admission, .. } = &mut *state;
        // Without room for it a copy would only take the place of a request that waits.
        let is_allowed = self.attempts.get().made() < MAX_ATTEMPTS
            && admission.has_room()
            && hedges.try_hedge(now, started, self.call.meta.deadline, kind, retries);
        drop(state);
        if is_allowed {
            self.count_attempt();
            self.call.plane.shared.metrics.hedges.inc();
        }
        is_allowed
    }

    /// Chooses the next backend server; one tried before only where no other is left.
    pub(super) fn choose(&self) -> Option<BackendHandle> {
        let now = self.call.plane.now();
        let exclude = self.tried.borrow().clone();
        if self.trial.is_some() {
            return self.choose_alone(exclude);
        }
        let mut state = self.call.service.state.borrow_mut();
        let balancer = &mut state.balancer;
        if exclude.is_empty()
            && balancer.free_slots(now) == 0
            && let Some(slot) = balancer.choose_cross_domain(now)
        {
            return Some(slot);
        }
        // A filing that fails cannot be sent again, so it is no trial for a server in doubt.
        let is_filing = self.call.meta.class.kind == ClassKind::Filing;
        let proven = if is_filing { balancer.choose_without_trial(now, &exclude) } else { None };
        proven.or_else(|| balancer.choose(now, &exclude)).or_else(|| balancer.choose(now, &[]))
    }

    /// Chooses a backend server on which nothing else runs.
    fn choose_alone(&self, mut exclude: Vec<BackendHandle>) -> Option<BackendHandle> {
        let now = self.call.plane.now();
        loop {
            let slot = self.call.service.state.borrow_mut().balancer.choose(now, &exclude)?;
            if self.call.service.backend(slot).is_some_and(|b| b.running.is_empty()) {
                return Some(slot);
            }
            exclude.push(slot);
        }
    }

    /// Tries the backend server in `slot`. `before_send` is asked right before the first byte may
    /// leave; `false` withdraws the request.
    pub(super) async fn attempt(
        &self,
        permit: &Permit,
        slot: BackendHandle,
        before_send: impl FnOnce() -> bool,
    ) -> Result<Served, Fault> {
        self.tried.borrow_mut().push(slot);
        self.call.trace.borrow_mut().attempts = self.attempts.get().made();
        let in_flight = InFlight::start(permit, slot);
        let Some(backend) = self.call.service.backend(slot) else {
            return Err(Fault::Connect(std::io::ErrorKind::NotFound.into()));
        };
        let target = Target {
            plane: &self.call.plane,
            service: &self.call.service,
            slot,
            backend: &backend,
            deadline: self.call.meta.deadline,
        };
        let running = backend.running.enter(self.req.fingerprint);
        let result = attempt(&target, self.req, self.attempts.get().made(), before_send).await;
        match result {
            Ok(reply) => {
                drop(running);
                self.answered(&backend, &reply, in_flight.latency());
                Ok(Served { backend: backend.id.clone(), in_flight, reply })
            }
            Err(fault) => {
                if fault.is_lost() {
                    *self.spreading.borrow_mut() =
                        Some(crash::note_loss(&self.call.plane, &backend));
                }
                drop(running);
                self.call.trace.borrow_mut().failed(&backend.id, &fault);
                in_flight.finish(fault.outcome());
                Err(fault)
            }
        }
    }

    fn answered(&self, backend: &Backend, reply: &Reply, latency: Micros) {
        let fingerprint = self.req.fingerprint;
        self.call.plane.suspects.borrow_mut().record_answer(self.call.plane.now(), fingerprint);
        self.call.trace.borrow_mut().answered(&backend.id, reply.status);
        self.call.service.state.borrow_mut().hedges.observe(latency);
        if let Some(count) = number(&reply.headers, ATTEMPT_HEADER) {
            let mut attempts = self.attempts.get();
            attempts.reported(u32::try_from(count).unwrap_or(u32::MAX));
            self.attempts.set(attempts);
            self.call.trace.borrow_mut().attempts = attempts.made();
        }
    }
}
