//! State of the data path that all requests share.

use super::explain::History;
use super::open::OpenRequests;
use super::service::Service;
use super::stopping::Stopping;
use crate::shared::{ControlEvent, Shared};
use flume::Sender;
use futures::channel::oneshot;
use galenapath_config::Config;
use galenapath_filings::{FilingConfig, FilingTable, RecentAnswers, RecordId, Suspects};
use galenapath_protocol::{FastMap, Micros};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// State that all requests on the data thread share.
pub struct DataPlane {
    /// Views and counters shared with the other threads.
    pub shared: Arc<Shared>,
    /// Events for the control thread.
    pub events: Sender<ControlEvent>,
    /// Filings in progress and ended.
    pub filings: RefCell<FilingTable>,
    /// Requests suspected of crashing backend servers.
    pub suspects: RefCell<Suspects>,
    /// Requests that backend servers have just answered.
    pub recent_answers: RefCell<RecentAnswers>,
    /// Explanations of recent requests.
    pub history: RefCell<History>,
    /// Resends that wait for the end of a filing in progress.
    pub(super) filing_waiters: RefCell<FastMap<RecordId, Vec<oneshot::Sender<()>>>>,
    services: RefCell<FastMap<String, Rc<Service>>>,
    /// Number of the next request; also its admission ticket.
    next_request: Cell<u64>,
    /// The open requests.
    pub(super) open: Rc<OpenRequests>,
    /// Progress of a planned stop.
    pub(super) stopping: Rc<Stopping>,
}

impl DataPlane {
    /// Creates a data path without services; each is added with the first request for it.
    pub fn new(shared: Arc<Shared>, events: Sender<ControlEvent>) -> Rc<Self> {
        let filings = FilingTable::new(FilingConfig::default(), shared.incarnation);
        let open = OpenRequests::new(&shared.metrics);
        Rc::new(Self {
            shared,
            events,
            filings: RefCell::new(filings),
            suspects: RefCell::new(Suspects::default()),
            recent_answers: RefCell::default(),
            history: RefCell::default(),
            filing_waiters: RefCell::default(),
            services: RefCell::default(),
            next_request: Cell::new(1),
            open,
            stopping: Stopping::new(),
        })
    }

    /// Returns the current time of the instance's clock.
    pub fn now(&self) -> Micros {
        self.shared.clock.now()
    }

    /// Returns the service `name`, updated with the current views. The name must occur in the
    /// configuration; otherwise callers could exhaust memory with arbitrary names.
    pub(super) fn service(&self, name: &str, config: &Config) -> Rc<Service> {
        let service = self.find_or_add(name);
        service.refresh(self, config);
        service
    }

    /// Returns all services that have been requested so far.
    pub(super) fn services(&self) -> Vec<Rc<Service>> {
        self.services.borrow().values().cloned().collect()
    }

    fn find_or_add(&self, name: &str) -> Rc<Service> {
        let mut services = self.services.borrow_mut();
        if let Some(service) = services.get(name) {
            return Rc::clone(service);
        }
        let service = Service::new(name, &self.shared);
        services.insert(name.to_owned(), Rc::clone(&service));
        service
    }

    /// Returns the number for the next request.
    pub(super) fn next_request(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }
}
