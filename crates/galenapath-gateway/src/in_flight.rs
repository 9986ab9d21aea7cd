//! Accounting of requests at backend servers.

use crate::instance::Instance;
use crate::service::Service;
use galenapath_policy::place::{Assignment, LoadObservation, ServerSnapshot};
use galenapath_protocol::BackendId;
use std::cell::Cell;
use std::rc::Rc;

/// A request counted in a server's load until dropped.
pub(crate) struct InFlight {
    service: Rc<Service>,
    instance: Rc<Instance>,
    pub(crate) server: BackendId,
    /// What was known of the server when it was selected.
    pub(crate) snapshot: ServerSnapshot,
    is_sent: Cell<bool>,
    /// The load that the server reported with its answer, if it is an update to share.
    pub(crate) answer_load: Cell<Option<LoadObservation>>,
}

impl InFlight {
    /// Counts a request at `server`.
    pub(crate) fn start(service: &Rc<Service>, instance: &Rc<Instance>, server: BackendId) -> Self {
        let snapshot = service.placement.borrow_mut().start(instance.now(), &server);
        Self::assigned(service, instance, Assignment { server, snapshot })
    }

    /// Takes over a request that is already counted at its server.
    pub(crate) fn assigned(
        service: &Rc<Service>,
        instance: &Rc<Instance>,
        assignment: Assignment,
    ) -> Self {
        let Assignment { server, snapshot } = assignment;
        let (service, instance) = (Rc::clone(service), Rc::clone(instance));
        Self {
            service,
            instance,
            server,
            snapshot,
            is_sent: Cell::new(false),
            answer_load: Cell::new(None),
        }
    }
}

impl InFlight {
    /// Records that the request has been sent, and shares the server's new load.
    pub(crate) fn mark_sent(&self) {
        self.count_sent();
        self.instance.record_send(!self.service.is_local(&self.server));
        self.share_load();
    }

    fn count_sent(&self) {
        if !self.is_sent.replace(true) {
            self.service.placement.borrow_mut().mark_sent(&self.server);
        }
    }

    /// Reports the slot that this request takes to the other instances, which might otherwise send
    /// their requests to it as well.
    fn share_load(&self) {
        let placement = self.service.placement.borrow();
        let Some(observation) = placement.last_observation(&self.server) else { return };
        let load = placement.load(&self.server);
        self.instance.share_load(&self.service, &self.server, observation.with_load(load));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count_sent();
        self.service.placement.borrow_mut().finish(&self.server);
        self.service.poll(&self.instance);
        let Some(observation) = self.answer_load.take() else { return };
        let load = self.service.placement.borrow().load(&self.server);
        self.instance.share_load(&self.service, &self.server, observation.with_load(load));
    }
}
