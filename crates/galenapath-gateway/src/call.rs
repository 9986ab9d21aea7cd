//! The state of one request while the instance processes it.

use crate::attempt_error::AttemptError;
use crate::in_flight::InFlight;
use crate::instance::Instance;
use crate::reply::Reply;
use crate::request::{Origin, Request};
use crate::service::Service;
use galenapath_protocol::{BackendId, Incarnation, LoadReport, Micros, Verdict};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How often a request may move to another server because the selected one turned out unfit; each
/// time costs a round trip.
const MAX_RESELECTIONS: u32 = 4;

/// Where a request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    Server(BackendId),
    /// Another instance, by name.
    Peer(String),
}

impl Hop {
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Server(id) => &id.0,
            Self::Peer(name) => name,
        }
    }
}

/// A send whose answer is outstanding, until dropped.
pub(crate) struct SendGuard<'a>(&'a Call);

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        self.0.outstanding.set(self.0.outstanding.get().saturating_sub(1));
    }
}

/// A request and its service.
///
/// Invariant: `unresolved` counts the sends that may have run, as no server has reported otherwise.
pub(crate) struct Call {
    pub(crate) instance: Rc<Instance>,
    pub(crate) service: Rc<Service>,
    pub(crate) req: Request,
    unresolved: Cell<u32>,
    sends: Cell<u32>,
    /// Sends whose answer is outstanding.
    outstanding: Cell<u32>,
    /// Where it was sent last, or whose answer arrived last.
    last_hop: RefCell<Option<Hop>>,
    reselections: Cell<u32>,
    /// Whether requests sent ahead behind it on its connection are being served.
    pub(crate) has_requests_behind: Cell<bool>,
    /// Servers that the request was assigned to.
    pub(crate) tried: RefCell<Vec<BackendId>>,
    /// Instances that the request was forwarded to.
    pub(crate) forwarded_to: RefCell<Vec<Incarnation>>,
    /// Time after which another instance that rejected the request wants the caller to come back.
    pub(crate) peer_retry_after: Cell<Option<Micros>>,
    /// Servers found unfit just before the request would have been sent to them.
    pub(crate) unfit: RefCell<Vec<BackendId>>,
    /// Time spent waiting for a server.
    pub(crate) waited: Cell<Micros>,
    /// The events at each server, for the log.
    steps: RefCell<String>,
}

impl Call {
    pub(crate) fn new(instance: &Rc<Instance>, service: Rc<Service>, req: Request) -> Self {
        let sends = match req.origin {
            Origin::Caller => 0,
            Origin::Peer { sends } => sends,
        };
        Self {
            instance: Rc::clone(instance),
            service,
            req,
            unresolved: Cell::new(0),
            sends: Cell::new(sends),
            outstanding: Cell::new(0),
            last_hop: RefCell::default(),
            reselections: Cell::new(0),
            has_requests_behind: Cell::new(false),
            tried: RefCell::default(),
            forwarded_to: RefCell::default(),
            peer_retry_after: Cell::default(),
            unfit: RefCell::default(),
            waited: Cell::default(),
            steps: RefCell::default(),
        }
    }

    /// Records that the request is being sent to `server`, whose answer is outstanding until the
    /// guard is dropped.
    #[must_use]
    pub(crate) fn record_send(&self, server: &BackendId) -> SendGuard<'_> {
        let now = self.instance.now();
        if let Some(observation) = self.service.placement.borrow().last_observation(server) {
            let LoadReport { in_flight, slots, pace, .. } = observation.report;
            let age = (now - observation.at).0 / 1_000;
            let load = format!("load{in_flight}/{slots}:pace{pace}:known{age}ms ");
            self.add_step(&format!("{}:sent:{load}", server.0));
        } else {
            self.add_step(&format!("{}:sent:unknown ", server.0));
        }
        self.unresolved.set(self.unresolved.get() + 1);
        self.update_charge();
        if self.sends.replace(self.sends.get() + 1) == 0 {
            self.service.retries.borrow_mut().record_first_attempt(now);
        }
        self.begin_send(Hop::Server(server.clone()))
    }

    fn begin_send(&self, hop: Hop) -> SendGuard<'_> {
        *self.last_hop.borrow_mut() = Some(hop);
        self.outstanding.set(self.outstanding.get() + 1);
        SendGuard(self)
    }

    /// Records which of the sends was answered.
    pub(crate) fn record_answer_from(&self, hop: Hop) {
        *self.last_hop.borrow_mut() = Some(hop);
    }

    /// Whether the answer to a send is outstanding.
    pub(crate) fn is_sent(&self) -> bool {
        self.outstanding.get() > 0
    }

    /// Where the request was sent last, or whose answer arrived last.
    pub(crate) fn last_hop(&self) -> Option<Hop> {
        self.last_hop.borrow().clone()
    }

    /// Records that the request is being sent to the same server again on a new connection. Either
    /// send may run.
    pub(crate) fn record_resend(&self) {
        self.add_step("again ");
        self.unresolved.set(self.unresolved.get() + 1);
        self.update_charge();
    }

    /// Records that the request is being forwarded to the instance `name`, which may use all sends
    /// that are left. Its answer is outstanding until the guard is dropped.
    #[must_use]
    pub(crate) fn record_forward(&self, name: &str) -> SendGuard<'_> {
        self.unresolved.set(self.unresolved.get() + 1);
        self.update_charge();
        self.sends.set(self.sends.get().max(self.req.route.max_attempts));
        self.begin_send(Hop::Peer(name.to_owned()))
    }

    /// Sets the number of sends to what another instance reports.
    pub(crate) fn set_sends(&self, sends: u32) {
        self.sends.set(sends);
    }

    /// Records that the last server addressed did not run the request.
    pub(crate) fn record_not_run(&self) {
        self.unresolved.set(self.unresolved.get().saturating_sub(1));
        self.update_charge();
    }

    /// A request that has not run is not charged to its workspace's quota.
    fn update_charge(&self) {
        if let Some(charge) = &self.req.charge {
            charge.set_may_have_run(self.unresolved.get() > 0);
        }
    }

    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self.unresolved.get() {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Number of sends so far, by this instance and by others that it was forwarded to or from.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Time until the deadline; zero once it has passed.
    pub(crate) fn time_left(&self) -> Micros {
        self.req.deadline - self.instance.now()
    }

    /// Time until the caller no longer waits, whatever the route allows; zero once it has passed.
    pub(crate) fn time_left_for_caller(&self) -> Micros {
        self.req.caller_deadline - self.instance.now()
    }

    /// Time until the latency target; zero once it has passed.
    pub(crate) fn time_left_to_target(&self) -> Micros {
        self.req.target_at - self.instance.now()
    }

    /// Whether the request may move to another server because the selected one turned out unfit;
    /// counts the call towards [`MAX_RESELECTIONS`]. Allowed even after the latency target has
    /// passed, because a slow server would take more time than such a request has left.
    pub(crate) fn may_reselect(&self) -> bool {
        let count = self.reselections.get();
        self.reselections.set(count + 1);
        count < MAX_RESELECTIONS && self.time_left() > Micros::ZERO
    }

    /// Records the result of a send, for the selection of servers, the metrics and the log.
    pub(crate) fn record_attempt(
        &self,
        in_flight: &InFlight,
        took: Micros,
        result: &Result<Reply, AttemptError>,
    ) {
        let now = self.instance.now();
        let server = &in_flight.server;
        let outcome = match result {
            Ok(reply) if reply.status.is_server_error() => "server_error",
            Ok(_) => "answered",
            Err(error) => error.as_str(),
        };
        if result.is_ok() {
            self.record_answer_from(Hop::Server(server.clone()));
        }
        self.instance.metrics.sends.with_label_values(&[outcome]).inc();
        let kind = self.req.route.kind.as_str();
        let mut placement = self.service.placement.borrow_mut();
        if !matches!(
            result,
            Err(AttemptError::QueryBudgetSpent
                | AttemptError::CrashesServers
                | AttemptError::Stopping)
        ) {
            placement
                .record_fitness(in_flight.snapshot, !matches!(result, Err(AttemptError::Unfit)));
        }
        match result {
            Ok(reply) if reply.status.is_server_error() => {
                placement.record_failure(now, server, 1.0)
            }
            Ok(_) => {
                placement.record_success(now, server, took, in_flight.snapshot);
                let seconds = took.as_millis_f64() / 1_000.0;
                let labels = [kind, self.service.name.as_str()];
                self.instance.metrics.work.with_label_values(&labels).observe(seconds);
            }
            Err(AttemptError::Unreachable) => {
                placement.record_failure(now, server, 1.0);
                placement.mark_unreachable(now, server);
            }
            Err(error) if error.weight() == 0.0 => {}
            Err(error) => placement.record_failure(now, server, error.weight()),
        }
        drop(placement);
        let weight = match result {
            Ok(reply) if reply.status.is_server_error() => 1.0,
            Ok(_) => 0.0,
            Err(error) => error.weight(),
        };
        if weight > 0.0 {
            match result {
                Err(AttemptError::Unreachable | AttemptError::Broken) => {
                    self.instance.share_no_answer(&self.service, server, weight);
                }
                Ok(_) | Err(_) => self.instance.share_failure(&self.service, server, weight),
            }
        }
        self.add_step(&format!("{}:{outcome}:{}ms ", server.0, took.0 / 1_000));
    }

    /// Appends to the steps in the request's log line.
    pub(crate) fn add_step(&self, text: &str) {
        self.steps.borrow_mut().push_str(text);
    }

    /// The steps for the request's log line.
    pub(crate) fn steps(&self) -> String {
        self.steps.borrow().trim_end().to_owned()
    }
}
