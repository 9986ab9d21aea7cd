//! The requests of one connection that are being served.
//!
//! Load pattern: callers that send further lookups before the first one is answered. Served one
//! after the other, the last of them waits for the work of all before it and misses its target.
//! Lookups therefore run side by side, up to [`MAX_STARTED`], and their answers are sent in the
//! order of the requests. A request that may run only once never starts before those ahead of it
//! have their answers, because the connection may close with one of these, and the caller then
//! takes everything behind it as not read and sends it again.
//!
//! Nor may the lookups be lost with an answer ahead of them that is aborted halfway. Such an answer
//! is read further than others before its head is sent; what is too large for that has nothing
//! started behind it.

use crate::answer::{LocalAnswer, record_rejected};
use crate::call::Call;
use crate::caller::departure::{Departure, record_departure};
use crate::exchange;
use crate::fleet::ForwardResult;
use crate::instance::{Instance, Stage};
use crate::intake;
use crate::open::OpenRequest;
use crate::reply::Reply;
use crate::request_failure::RequestFailure;
use galenapath_http::{Framing, RequestHead, is_keep_alive, request_framing};
use galenapath_protocol::Verdict;
use galenapath_routes::RouteKind;
use http::{HeaderValue, Method, Version};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Maximum number of requests of one connection that are served at a time. Each may hold a slot of
/// a server, so this bounds what one caller takes from the others.
const MAX_STARTED: usize = 4;

/// The answer to a request.
pub(crate) enum Outcome {
    /// A backend server's answer.
    Reply(Rc<Call>, Box<Reply>),
    /// The request was given up.
    Failed(Rc<Call>, RequestFailure),
    /// The request was rejected before it had a service.
    Rejected(LocalAnswer),
}

impl Outcome {
    fn verdict(&self) -> Verdict {
        match self {
            Self::Reply(..) => Verdict::Answered,
            Self::Failed(_, failure) => failure.verdict,
            Self::Rejected(_) => Verdict::NotRun,
        }
    }

    /// What another instance receives with the answer to a request that it has forwarded.
    pub(crate) fn forward_result(&self) -> ForwardResult {
        let sends = match self {
            Self::Reply(call, _) | Self::Failed(call, _) => call.sends(),
            Self::Rejected(_) => 0,
        };
        ForwardResult { verdict: self.verdict(), sends }
    }
}

enum Work {
    Running(Rc<Call>, Pin<Box<dyn Future<Output = Result<Reply, RequestFailure>>>>),
    Done(Outcome),
    /// The outcome has been taken.
    Taken,
}

/// A request that is being served, and what its answer depends on.
pub(crate) struct Started {
    work: Work,
    /// Method of the request; an answer to `HEAD` has no body.
    pub(crate) method: Method,
    /// Whether the request is HTTP/1.0.
    pub(crate) is_http_10: bool,
    /// Whether the caller keeps the connection open.
    pub(crate) is_keep_alive: bool,
    /// Identifier set by the caller.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) open: OpenRequest,
}

impl Started {
    /// Takes what the answer depends on from the head.
    pub(crate) fn new(instance: &Rc<Instance>, head: &RequestHead) -> Self {
        let id = head.headers.get(&instance.names.request_id).cloned();
        let open = OpenRequest::begin(instance, id.clone());
        Self {
            work: Work::Taken,
            method: head.method.clone(),
            is_http_10: head.version == Version::HTTP_10,
            is_keep_alive: is_keep_alive(head),
            id,
            open,
        }
    }

    /// Starts to serve a request.
    pub(crate) fn run(&mut self, call: Rc<Call>) {
        self.open.run(Rc::clone(&call));
        let running = Rc::clone(&call);
        self.work = Work::Running(call, Box::pin(async move { exchange::run(&running).await }));
    }

    /// Rejects the request.
    pub(crate) fn reject(&mut self, instance: &Instance, path: &str, answer: LocalAnswer) {
        record_rejected(instance, self.id.as_ref(), path, &answer);
        self.finish(Outcome::Rejected(answer));
    }

    /// Makes progress; returns whether the outcome is there.
    fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        if let Work::Running(call, work) = &mut self.work
            && let Poll::Ready(result) = work.as_mut().poll(cx)
        {
            let call = Rc::clone(call);
            self.finish(match result {
                Ok(reply) => Outcome::Reply(call, Box::new(reply)),
                Err(failure) => Outcome::Failed(call, failure),
            });
        }
        matches!(self.work, Work::Done(_))
    }

    fn finish(&mut self, outcome: Outcome) {
        self.open.answer(outcome.verdict());
        self.work = Work::Done(outcome);
    }

    /// Whether requests behind this one may start before it has its answer. They must not be lost
    /// with the connection because this answer closes it or is aborted.
    fn may_have_requests_behind(&self) -> bool {
        let is_lookup = |call: &Call| {
            call.req.route.kind == RouteKind::Idempotent && !call.service.has_long_answers.get()
        };
        self.is_keep_alive
            && match &self.work {
                Work::Running(call, _) | Work::Done(Outcome::Failed(call, _)) => is_lookup(call),
                Work::Done(Outcome::Reply(call, reply)) => is_lookup(call) && reply.rest.is_none(),
                Work::Done(Outcome::Rejected(_)) | Work::Taken => false,
            }
    }

    /// Writes the log line of a request whose connection ended before its answer.
    fn record_departure(&self, departure: Departure) {
        if let Work::Running(call, _)
        | Work::Done(Outcome::Reply(call, _) | Outcome::Failed(call, _)) = &self.work
        {
            record_departure(call, departure);
        }
    }
}

/// The requests of a connection that are being served, in the order in which they arrived.
#[derive(Default)]
pub(crate) struct Pipeline {
    started: VecDeque<Started>,
}

impl Pipeline {
    /// Whether no request is being served.
    pub(crate) fn is_empty(&self) -> bool {
        self.started.is_empty()
    }

    /// Adds the request behind the others.
    pub(crate) fn push(&mut self, started: Started) {
        for ahead in &self.started {
            if let Work::Running(call, _) = &ahead.work {
                call.has_requests_behind.set(true);
            }
        }
        self.started.push_back(started);
    }

    /// Whether a further request may start beside those that are being served.
    pub(crate) fn has_room(&self, instance: &Instance) -> bool {
        instance.stage.get() == Stage::Serving
            && self.started.len() < MAX_STARTED
            && self.started.iter().all(Started::may_have_requests_behind)
    }

    /// Waits for the outcome of the first request, and meanwhile serves all.
    pub(crate) async fn finish_first(&mut self) {
        poll_fn(|cx| {
            self.poll_all(cx);
            let is_done =
                self.started.front().is_none_or(|first| matches!(first.work, Work::Done(_)));
            if is_done { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }

    /// Removes the first request with its outcome; `None` while there is none.
    pub(crate) fn pop_finished(&mut self) -> Option<(Started, Outcome)> {
        let first = self.started.front_mut()?;
        let outcome = match std::mem::replace(&mut first.work, Work::Taken) {
            Work::Done(outcome) => outcome,
            work => {
                first.work = work;
                return None;
            }
        };
        self.started.pop_front().map(|first| (first, outcome))
    }

    /// Serves the requests for as long as it is polled.
    pub(crate) async fn serve(&mut self) {
        poll_fn(|cx| {
            self.poll_all(cx);
            Poll::Pending
        })
        .await
    }

    fn poll_all(&mut self, cx: &mut Context<'_>) {
        for started in &mut self.started {
            started.poll(cx);
        }
    }

    /// Ends all requests, because their connection has ended.
    pub(crate) fn abandon(&mut self, departure: Departure) {
        for started in self.started.drain(..) {
            started.record_departure(departure);
        }
    }
}

/// Whether a request may be served while those before it have no answer yet.
pub(crate) fn may_start_early(instance: &Instance, head: &RequestHead) -> bool {
    let has_body = !matches!(request_framing(head.version, &head.headers), Ok(Framing::None));
    head.version == Version::HTTP_11
        && !has_body
        && intake::find_target(instance, head)
            .is_ok_and(|target| target.route.kind == RouteKind::Idempotent)
}
