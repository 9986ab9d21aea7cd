//! The state of the data path.

use super::explain::History;
use super::service::Service;
use crate::shared::{ControlEvent, Shared};
use flume::Sender;
use futures::channel::oneshot;
use galenapath_config::Config;
use galenapath_filings::{FilingConfig, FilingTable, RecordId, Suspects};
use galenapath_protocol::{FastMap, Micros};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Everything that requests on the data thread share.
pub struct DataPlane {
    /// Views and counters shared with the other threads.
    pub shared: Arc<Shared>,
    /// Events for the control thread.
    pub events: Sender<ControlEvent>,
    /// Filings in progress and ended.
    pub filings: RefCell<FilingTable>,
    /// Requests suspected of crashing backend servers.
    pub suspects: RefCell<Suspects>,
    /// Explanations of recent requests.
    pub history: RefCell<History>,
    /// Who waits for the end of a filing in progress.
    pub(super) filing_waiters: RefCell<FastMap<RecordId, Vec<oneshot::Sender<()>>>>,
    services: RefCell<FastMap<String, Rc<Service>>>,
    /// Number of the next request; also its admission ticket.
    next_request: Cell<u64>,
    /// Requests that are being served.
    in_progress: Cell<usize>,
}

impl DataPlane {
    /// A data path without services; they are made as requests name them.
    pub fn new(shared: Arc<Shared>, events: Sender<ControlEvent>) -> Rc<Self> {
        let filings = FilingTable::new(FilingConfig::default(), shared.incarnation);
        Rc::new(Self {
            shared,
            events,
            filings: RefCell::new(filings),
            suspects: RefCell::new(Suspects::default()),
            history: RefCell::default(),
            filing_waiters: RefCell::default(),
            services: RefCell::default(),
            next_request: Cell::new(1),
            in_progress: Cell::new(0),
        })
    }

    /// Time now.
    pub fn now(&self) -> Micros {
        self.shared.clock.now()
    }

    /// The service called `name`, brought up to date with the views. The name has to be known to
    /// the configuration, or callers could fill the memory with names.
    pub(super) fn service(&self, name: &str, config: &Config) -> Rc<Service> {
        let service = self.find_or_add(name);
        service.refresh(self, config);
        service
    }

    /// All services that have been asked for.
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

    /// Number for the next request.
    pub(super) fn next_request(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }

    /// Requests that are being served.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Counts a request as being served until the guard is dropped.
    pub(super) fn begin(self: &Rc<Self>) -> InProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        InProgress(Rc::clone(self))
    }
}

/// A request that is being served.
pub(super) struct InProgress(Rc<DataPlane>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}
