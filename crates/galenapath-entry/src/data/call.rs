//! A request of a known class while it is being served.

use super::answer::{OwnAnswer, RequestInfo};
use super::caller::Caller;
use super::explain::Trace;
use super::open::{OpenRequest, Phase};
use super::plane::DataPlane;
use super::request::RequestMeta;
use super::service::Service;
use galenapath_http::HttpError;
use galenapath_protocol::Verdict;
use std::cell::RefCell;
use std::rc::Rc;

/// A request with the state needed to serve it.
pub(super) struct Call {
    pub(super) plane: Rc<DataPlane>,
    pub(super) service: Rc<Service>,
    pub(super) meta: RequestMeta,
    /// Its entry among the open requests.
    pub(super) open: Rc<OpenRequest>,
    /// Events of the request so far; empty after its end. Never borrowed across an await.
    pub(super) trace: RefCell<Trace>,
}

impl Call {
    pub(super) fn new(
        plane: &Rc<DataPlane>,
        service: Rc<Service>,
        meta: RequestMeta,
        open: &Rc<OpenRequest>,
    ) -> Self {
        let trace = RefCell::new(Trace::new(meta.id));
        Self { plane: Rc::clone(plane), service, meta, open: Rc::clone(open), trace }
    }

    /// Returns whether the request may be passed on: if the instance is stopping, only if it can
    /// end before the process does.
    pub(super) fn ends_in_time(&self) -> bool {
        let Some(stop) = self.plane.shared.stop_schedule() else { return true };
        let now = self.plane.now();
        if stop.may_take(now, self.meta.deadline, None) {
            return true;
        }
        let mut work = self.service.state.borrow().work;
        // Work that still runs may be longer than all that has ended.
        if let Some(so_far) = self.plane.open.longest_work(now, &self.service.name) {
            work = work.with_sample(now, so_far);
        }
        stop.may_take(now, self.meta.deadline, work.bound(now))
    }

    /// Ends the request with an answer that the instance generates itself.
    pub(super) async fn end_with(
        &self,
        caller: &mut Caller,
        answer: &OwnAnswer,
    ) -> Result<(), HttpError> {
        let metrics = &self.plane.shared.metrics;
        let class = self.meta.class.name.as_str();
        metrics.rejections.with_label_values(&[class, answer.reason]).inc();
        let request = RequestInfo { id: self.meta.id, attempts: self.trace.borrow().attempt_count };
        self.open.set_phase(Phase::Answering);
        self.record_end(answer.status.as_u16(), answer.verdict, answer.reason);
        answer.send(caller, Some(request)).await
    }

    /// Counts and logs the end of the request and adds it to the history.
    pub(super) fn record_end(&self, status: u16, verdict: Verdict, reason: &'static str) {
        let meta = &self.meta;
        self.plane.shared.metrics.count_answer(&meta.class.name, verdict);
        log::debug!(
            request:% = meta.id, class = meta.class.name.as_str(),
            workspace = meta.workspace.as_str(), status, verdict = verdict.as_str(), reason;
            "request ended"
        );
        let trace = self.trace.replace(Trace::new(meta.id));
        let explanation = trace.into_explanation(meta, self.plane.now(), status, verdict, reason);
        self.plane.history.borrow_mut().push(explanation);
    }

    /// Records the time from the arrival of the request to its answer.
    pub(super) fn observe_latency(&self) {
        let took = (self.plane.now() - self.meta.arrived).as_millis_f64() / 1_000.0;
        let latency = &self.plane.shared.metrics.latency;
        latency.with_label_values(&[&self.meta.class.name]).observe(took);
    }
}
