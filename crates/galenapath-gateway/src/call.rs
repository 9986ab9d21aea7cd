//! One request on its way through the instance, with what is noted of it for the log.

use crate::attempt::Fault;
use crate::in_flight::InFlight;
use crate::instance::Instance;
use crate::reply::Reply;
use crate::request::Request;
use crate::service::Service;
use galenapath_protocol::{BackendId, LoadReport, Micros, Verdict};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Servers that may turn out worse than they seemed before a request takes what it is given. Each
/// costs a round trip.
const MOST_CHOICES: u32 = 4;

/// A request and its service.
///
/// Invariant: `unresolved` counts the sends of which nobody has said that they did not run.
pub(crate) struct Call {
    pub(crate) instance: Rc<Instance>,
    pub(crate) service: Rc<Service>,
    pub(crate) req: Request,
    unresolved: Cell<u32>,
    sends: Cell<u32>,
    /// Servers that turned out worse than they seemed.
    choices: Cell<u32>,
    pub(crate) tried: RefCell<Vec<BackendId>>,
    /// Servers that turned out worse than they seemed when they were asked just now.
    pub(crate) unfit: RefCell<Vec<BackendId>>,
    /// Time that it waited for a server.
    pub(crate) waited: Cell<Micros>,
    /// What happened at each server, for the log.
    steps: RefCell<String>,
}

impl Call {
    pub(crate) fn new(instance: &Rc<Instance>, service: Rc<Service>, req: Request) -> Self {
        Self {
            instance: Rc::clone(instance),
            service,
            req,
            unresolved: Cell::new(0),
            sends: Cell::new(0),
            choices: Cell::new(0),
            tried: RefCell::default(),
            unfit: RefCell::default(),
            waited: Cell::default(),
            steps: RefCell::default(),
        }
    }

    /// The request is being sent to `server`.
    pub(crate) fn sent(&self, server: &BackendId) {
        let now = self.instance.now();
        if let Some(seen) = self.service.placement.borrow().last_observation(server) {
            let LoadReport { in_flight, slots, pace, .. } = seen.report;
            let age = (now - seen.at).0 / 1_000;
            let knowledge = format!("load{in_flight}/{slots}:pace{pace}:known{age}ms ");
            self.note(&format!("{}:sent:{knowledge}", server.0));
        } else {
            self.note(&format!("{}:sent:unknown ", server.0));
        }
        self.unresolved.set(self.unresolved.get() + 1);
        if self.sends.replace(self.sends.get() + 1) == 0 {
            self.service.retries.borrow_mut().first_try(now);
        }
    }

    /// The server that it was just sent to has not run it.
    pub(crate) fn not_run(&self) {
        self.unresolved.set(self.unresolved.get().saturating_sub(1));
    }

    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self.unresolved.get() {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Sends so far.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.get()
    }

    /// Time left until the final answer is due.
    pub(crate) fn left(&self) -> Micros {
        self.req.deadline - self.instance.now()
    }

    /// Time within which an answer is worth most; zero where that has passed.
    pub(crate) fn left_for_target(&self) -> Micros {
        self.req.target_at - self.instance.now()
    }

    /// Whether the request may look for another server because the one chosen has turned out worse
    /// than it seemed; only so often. Also once its target is missed: a slow server takes more time than
    /// such a request has left.
    pub(crate) fn may_choose_anew(&self) -> bool {
        let count = self.choices.get();
        self.choices.set(count + 1);
        count < MOST_CHOICES && self.left() > Micros::ZERO
    }

    /// Takes note of how a send ended, for the choice of servers and for the log.
    pub(crate) fn note_attempt(
        &self,
        in_flight: &InFlight,
        took: Micros,
        result: &Result<Reply, Fault>,
    ) {
        let now = self.instance.now();
        let server = &in_flight.server;
        let outcome = match result {
            Ok(reply) if reply.status.is_server_error() => "server_error",
            Ok(_) => "answered",
            Err(fault) => fault.as_str(),
        };
        self.instance.metrics.sends.with_label_values(&[outcome]).inc();
        let kind = self.req.route.kind.as_str();
        let mut placement = self.service.placement.borrow_mut();
        if !matches!(result, Err(Fault::NotAsked)) {
            placement.record_fitness(in_flight.started, !matches!(result, Err(Fault::Unfit)));
        }
        match result {
            Ok(reply) if reply.status.is_server_error() => {
                placement.record_failure(now, server, 1.0)
            }
            Ok(_) => {
                placement.record_success(now, server, took, in_flight.started);
                let seconds = took.as_millis_f64() / 1_000.0;
                let labels = [kind, self.service.name.as_str()];
                self.instance.metrics.work.with_label_values(&labels).observe(seconds);
            }
            Err(Fault::Unreachable) => {
                placement.record_failure(now, server, 1.0);
                placement.mark_unreachable(now, server);
            }
            Err(Fault::Unfit | Fault::NotAsked) => {}
            Err(fault) => placement.record_failure(now, server, fault.weight()),
        }
        drop(placement);
        let weight = match result {
            Ok(reply) if reply.status.is_server_error() => 1.0,
            Ok(_) => 0.0,
            Err(fault) => fault.weight(),
        };
        if weight > 0.0 {
            self.instance.share_failure(&self.service, server, weight);
        }
        self.note(&format!("{}:{outcome}:{}ms ", server.0, took.0 / 1_000));
    }

    /// Adds to what the log tells of the request.
    pub(crate) fn note(&self, text: &str) {
        self.steps.borrow_mut().push_str(text);
    }

    /// What the log tells of the request.
    pub(crate) fn steps(&self) -> String {
        self.steps.borrow().trim_end().to_owned()
    }
}
