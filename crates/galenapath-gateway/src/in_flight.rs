//! A request that is counted at a server.

use crate::instance::Instance;
use crate::service::Service;
use galenapath_policy::place::{Assignment, LoadObservation, ServerSnapshot};
use galenapath_protocol::BackendId;
use std::cell::Cell;
use std::rc::Rc;

/// A request that is counted at a server. Dropping it takes it off.
pub(crate) struct InFlight {
    service: Rc<Service>,
    instance: Rc<Instance>,
    pub(crate) server: BackendId,
    /// How the server looked.
    pub(crate) started: ServerSnapshot,
    is_sent: Cell<bool>,
    /// What the server told of its load with the answer.
    pub(crate) told: Cell<Option<LoadObservation>>,
}

impl InFlight {
    /// Counts a request at `server`.
    pub(crate) fn start(service: &Rc<Service>, instance: &Rc<Instance>, server: BackendId) -> Self {
        let started = service.placement.borrow_mut().start(instance.now(), &server);
        Self::started(service, instance, Assignment { server, snapshot: started })
    }

    /// Takes over a request that is counted already.
    pub(crate) fn started(
        service: &Rc<Service>,
        instance: &Rc<Instance>,
        given: Assignment,
    ) -> Self {
        let Assignment { server, snapshot: started } = given;
        let (service, instance) = (Rc::clone(service), Rc::clone(instance));
        Self {
            service,
            instance,
            server,
            started,
            is_sent: Cell::new(false),
            told: Cell::new(None),
        }
    }
}

impl InFlight {
    /// The request is on its way.
    pub(crate) fn sent(&self) {
        self.count_sent();
        self.instance.note_send(!self.service.is_home(&self.server));
        self.share_load();
    }

    fn count_sent(&self) {
        if !self.is_sent.replace(true) {
            self.service.placement.borrow_mut().mark_sent(&self.server);
        }
    }

    /// Tells the others of the slot that this request takes: they would fill it as well.
    fn share_load(&self) {
        let placement = self.service.placement.borrow();
        let Some(seen) = placement.last_observation(&self.server) else { return };
        let load = placement.load(&self.server);
        self.instance.share_load(&self.service, &self.server, seen.with_load(load));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count_sent();
        self.service.placement.borrow_mut().finish(&self.server);
        self.service.poll(&self.instance);
        let Some(told) = self.told.take() else { return };
        let load = self.service.placement.borrow().load(&self.server);
        self.instance.share_load(&self.service, &self.server, told.with_load(load));
    }
}
