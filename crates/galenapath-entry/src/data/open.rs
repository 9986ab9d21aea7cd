//! Account of the requests that are open on the data thread, for planned stops.

use super::request::RequestId;
use crate::metrics::Metrics;
use galenapath_config::Class;
use galenapath_protocol::{BackendId, FastMap, Micros};
use prometheus::IntGauge;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of requests that are named in the log at the end of a stop.
const MAX_NAMED: usize = 100;

/// What an open request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The rest of the request.
    Reading,
    /// A place, a connection or another filing. No server has received it.
    Waiting,
    /// A server's answer.
    Sent,
    /// The caller, which receives the answer.
    Answering,
    /// The caller, which has to close the connection after the answer.
    Delivering,
}

impl Phase {
    /// All phases, in order.
    const ALL: [Self; 5] =
        [Self::Reading, Self::Waiting, Self::Sent, Self::Answering, Self::Delivering];

    /// Its name in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
            Self::Delivering => "delivering",
        }
    }
}

/// Number of open requests by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Whether a connection or the listener may take further requests.
    pub is_accepting: bool,
    counts: [usize; Phase::ALL.len()],
}

impl OpenCounts {
    /// Returns the number in one phase.
    pub const fn of(&self, phase: Phase) -> usize {
        self.counts[phase as usize]
    }

    /// Returns whether a request is open, or one may still be taken.
    pub fn is_any(&self) -> bool {
        self.is_accepting || self.counts.iter().any(|count| *count > 0)
    }
}

/// What an open request is.
struct Named {
    id: RequestId,
    class: Arc<Class>,
    server: Option<BackendId>,
}

/// One open request.
pub(super) struct OpenRequest {
    began: Micros,
    phase: Cell<Phase>,
    /// When the first attempt was sent, if one was.
    sent_at: Cell<Option<Micros>>,
    /// Number of attempts that may have run the request.
    sends: Cell<u32>,
    /// `None` before its class is known. Never borrowed across an await.
    named: RefCell<Option<Named>>,
    gauges: Rc<[IntGauge; Phase::ALL.len()]>,
}

impl OpenRequest {
    /// Sets its identifier and class.
    pub(super) fn set_name(&self, id: RequestId, class: &Arc<Class>) {
        *self.named.borrow_mut() = Some(Named { id, class: Arc::clone(class), server: None });
    }

    /// Records that it is sent to a server now, which may run it.
    pub(super) fn mark_sent(&self, now: Micros, server: &BackendId) {
        self.set_phase(Phase::Sent);
        self.add_send();
        self.sent_at.set(self.sent_at.get().or(Some(now)));
        if let Some(named) = self.named.borrow_mut().as_mut() {
            named.server = Some(server.clone());
        }
    }

    /// Returns how long a server of `service` has had the request for.
    fn work_so_far(&self, now: Micros, service: &str) -> Option<Micros> {
        let sent_at = self.sent_at.get()?;
        let is_of_service =
            self.named.borrow().as_ref().is_some_and(|named| named.class.service == service);
        is_of_service.then(|| now - sent_at)
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.gauges[self.phase.get() as usize].dec();
        self.gauges[phase as usize].inc();
        self.phase.set(phase);
    }

    pub(super) const fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Counts an attempt that a server may have run from now on.
    pub(super) fn add_send(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// Takes back an attempt that no server has run.
    pub(super) fn remove_send(&self) {
        self.sends.set(self.sends.get().saturating_sub(1));
    }

    /// Returns whether a server may have run the request.
    pub(super) const fn may_have_run(&self) -> bool {
        self.sends.get() > 0
    }

    fn log(&self, now: Micros) {
        let named = self.named.borrow();
        let named = named.as_ref();
        let id = named.map_or_else(String::new, |named| named.id.to_string());
        let class = named.map_or("", |named| named.class.name.as_str());
        let server = named.and_then(|named| named.server.as_ref()).map_or("", |s| s.0.as_ref());
        let (phase, age_ms) = (self.phase.get().as_str(), (now - self.began).0 / 1_000);
        log::warn!(request = id.as_str(), class, phase, server, age_ms; "cut by the stop");
    }
}

/// The open requests.
pub(super) struct OpenRequests {
    next: Cell<u64>,
    /// Never borrowed across an await.
    requests: RefCell<FastMap<u64, Rc<OpenRequest>>>,
    gauges: Rc<[IntGauge; Phase::ALL.len()]>,
}

impl OpenRequests {
    pub(super) fn new(metrics: &Metrics) -> Rc<Self> {
        let gauge = |phase: Phase| metrics.open_requests.with_label_values(&[phase.as_str()]);
        Rc::new(Self {
            next: Cell::new(0),
            requests: RefCell::default(),
            gauges: Rc::new(Phase::ALL.map(gauge)),
        })
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(super) fn begin(self: &Rc<Self>, now: Micros, phase: Phase) -> OpenGuard {
        let number = self.next.get();
        self.next.set(number + 1);
        self.gauges[phase as usize].inc();
        let request = Rc::new(OpenRequest {
            began: now,
            phase: Cell::new(phase),
            sent_at: Cell::new(None),
            sends: Cell::new(0),
            named: RefCell::default(),
            gauges: Rc::clone(&self.gauges),
        });
        self.requests.borrow_mut().insert(number, Rc::clone(&request));
        OpenGuard { open: Rc::clone(self), number, request }
    }

    /// Returns the number of open requests by phase.
    pub(super) fn count(&self) -> OpenCounts {
        let mut counts = OpenCounts::default();
        for request in self.requests.borrow().values() {
            counts.counts[request.phase.get() as usize] += 1;
        }
        counts
    }

    /// Returns the longest time for which servers of `service` have had a request that is open.
    pub(super) fn longest_work(&self, now: Micros, service: &str) -> Option<Micros> {
        let requests = self.requests.borrow();
        requests.values().filter_map(|request| request.work_so_far(now, service)).max()
    }

    /// Names the open requests in the log.
    pub(super) fn log(&self, now: Micros) {
        for request in self.requests.borrow().values().take(MAX_NAMED) {
            request.log(now);
        }
    }
}

/// Guard of an open request.
pub(super) struct OpenGuard {
    open: Rc<OpenRequests>,
    number: u64,
    pub(super) request: Rc<OpenRequest>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.gauges[self.request.phase.get() as usize].dec();
        self.open.requests.borrow_mut().remove(&self.number);
    }
}
