//! Trying one backend server.

use super::answer::OwnAnswer;
use super::attempt::{Fault, Reply, Target, attempt};
use super::crash::{self, Clearance, Trial};
use super::explain::Trace;
use super::permit::InFlight;
use super::plane::DataPlane;
use super::prepare::Prepared;
use super::refusal;
use super::request::RequestMeta;
use super::service::Service;
use galenapath_policy::Slot;
use galenapath_protocol::BackendId;
use std::rc::Rc;

/// An answer and the attempt that it came from.
pub(super) struct Served {
    pub(super) backend: BackendId,
    pub(super) in_flight: InFlight,
    pub(super) reply: Reply,
}

/// A request on its way to backend servers.
pub(super) struct Dispatch<'a> {
    pub(super) plane: &'a Rc<DataPlane>,
    pub(super) service: &'a Rc<Service>,
    pub(super) meta: &'a RequestMeta,
    pub(super) req: &'a Prepared,
    /// Held while the request is a suspect that runs alone.
    trial: Option<Trial<'a>>,
    /// Backend servers tried already.
    tried: Vec<Slot>,
}

impl<'a> Dispatch<'a> {
    /// Judges whether the request may run at all.
    pub(super) fn new(
        plane: &'a Rc<DataPlane>,
        service: &'a Rc<Service>,
        meta: &'a RequestMeta,
        req: &'a Prepared,
    ) -> Result<Self, OwnAnswer> {
        let trial = match crash::clearance(plane, req.fingerprint) {
            Clearance::Free => None,
            Clearance::Alone(trial) => Some(trial),
            Clearance::Refused(verdict) => return Err(refusal::suspect(verdict)),
        };
        Ok(Self { plane, service, meta, req, trial, tried: Vec::new() })
    }

    /// Chooses the next backend server; one tried before only where no other is left.
    pub(super) fn choose(&self) -> Option<Slot> {
        let now = self.plane.now();
        let mut exclude = self.tried.clone();
        if self.trial.is_some() {
            return self.choose_alone(exclude);
        }
        let mut state = self.service.state.borrow_mut();
        if let Some(slot) = state.balancer.choose(now, &exclude) {
            return Some(slot);
        }
        exclude.clear();
        state.balancer.choose(now, &exclude)
    }

    /// Chooses a backend server on which nothing else runs.
    fn choose_alone(&self, mut exclude: Vec<Slot>) -> Option<Slot> {
        let now = self.plane.now();
        loop {
            let slot = self.service.state.borrow_mut().balancer.choose(now, &exclude)?;
            if self.service.backend(slot).is_some_and(|b| b.running.is_empty()) {
                return Some(slot);
            }
            exclude.push(slot);
        }
    }

    /// Tries the backend server in `slot`. `before_send` is asked right before the first byte may
    /// leave; `false` withdraws the request.
    pub(super) async fn attempt(
        &mut self,
        slot: Slot,
        trace: &mut Trace,
        before_send: impl FnOnce() -> bool,
    ) -> Result<Served, Fault> {
        self.tried.push(slot);
        let in_flight = InFlight::start(self.plane, self.service, slot);
        let Some(backend) = self.service.backend(slot) else {
            return Err(Fault::Connect(std::io::ErrorKind::NotFound.into()));
        };
        let target = Target {
            plane: self.plane,
            service: self.service,
            slot,
            backend: &backend,
            deadline: self.meta.deadline,
        };
        let running = backend.running.enter(self.req.fingerprint);
        let result = attempt(&target, self.req, before_send).await;
        match result {
            Ok(reply) => {
                drop(running);
                self.plane.suspects.borrow_mut().answered(self.plane.now(), self.req.fingerprint);
                trace.tried(&backend.id, reply.status);
                Ok(Served { backend: backend.id.clone(), in_flight, reply })
            }
            Err(fault) => {
                if fault.is_lost() {
                    crash::note_loss(self.plane, &backend);
                }
                drop(running);
                trace.tried(&backend.id, &fault);
                in_flight.finish(fault.outcome());
                Err(fault)
            }
        }
    }
}
