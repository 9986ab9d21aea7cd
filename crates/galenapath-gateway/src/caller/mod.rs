//! Serves the requests on a caller's connection.

pub(crate) mod departure;

mod closing;
mod next_request;
mod pipeline;
mod unreadable;

use crate::answer::{LocalAnswer, RequestEnd, record_end};
use crate::body::{self, Body};
use crate::call::Call;
use crate::caller::closing::Ending;
use crate::caller::departure::{Departure, record_departure_while_reading, record_unsent};
use crate::caller::pipeline::{Outcome, Pipeline, Started};
use crate::caller::unreadable::reject_head;
use crate::fleet::{ForwardResult, RESULT_HEADER};
use crate::forwarding;
use crate::instance::Instance;
use crate::intake::{self, Admitted};
use crate::open::OpenRequest;
use crate::relay;
use crate::startup;
use futures::future::{Either, select};
use galenapath_http::{Connection, Framing, HttpError, RequestHead, request_framing};
use galenapath_protocol::Verdict;
use galenapath_routes::CallerLimits;
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use monoio::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;

/// Bytes of an answer that the kernel is to hold during a stop: it delivers them after the end of the
/// process. The largest answer that is sent in one piece.
const STOP_SEND_BUFFER: usize = 256 * 1024;

/// A caller's connection and properties of its current request.
pub(crate) struct Caller {
    pub(crate) connection: Connection,
    /// Method of the request; an answer to `HEAD` has no body.
    pub(crate) method: Method,
    /// Whether the connection stays open after the answer.
    pub(crate) keep_alive: bool,
    /// Whether the request is HTTP/1.0, whose answers must not be chunked.
    pub(crate) is_http_10: bool,
    /// Whether the caller sends no more, but waits for its answers.
    pub(crate) is_input_ended: bool,
    /// Whether the rest of a message is expected that was not read.
    pub(crate) is_body_unread: bool,
    pub(crate) kind: CallerKind,
    /// What another instance receives with the answer to a request that it has forwarded.
    result: Option<ForwardResult>,
}

/// Who sends the requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerKind {
    /// A caller.
    Caller,
    /// Another instance that forwards requests of its callers.
    Peer,
}

impl Caller {
    /// Tells another instance that the request which it has forwarded has not run.
    pub(crate) fn set_not_run(&mut self) {
        let not_run = ForwardResult { verdict: Verdict::NotRun, sends: 0 };
        self.result = (self.kind == CallerKind::Peer).then_some(not_run);
    }

    /// Sets the headers of an answer that concern this connection: `Connection` where it differs
    /// from the HTTP version's default, and the result for another instance.
    pub(crate) fn set_headers(&self, headers: &mut HeaderMap) {
        if let Some(result) = self.result.and_then(ForwardResult::to_header) {
            headers.insert(RESULT_HEADER, result);
        }
        if !self.keep_alive {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if self.is_http_10 {
            headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        }
    }
}

/// Counts an open connection until dropped.
struct OpenGuard<'a>(&'a Instance);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.metrics.callers.dec();
    }
}

/// Serves requests on a caller's connection until either side closes it.
pub(crate) async fn serve(instance: Rc<Instance>, io: TcpStream) {
    instance.metrics.callers.inc();
    let _open = OpenGuard(&instance);
    let connection = Connection::new(io, next_request::limits(&instance).header_bytes);
    serve_connection(&instance, connection, CallerKind::Caller).await;
}

/// Serves the requests that another instance forwards on a connection until either side closes it.
pub(crate) async fn serve_peer(instance: &Rc<Instance>, connection: Connection) {
    serve_connection(instance, connection, CallerKind::Peer).await;
}

async fn serve_connection(instance: &Rc<Instance>, connection: Connection, kind: CallerKind) {
    let mut caller = Caller {
        connection,
        method: Method::GET,
        keep_alive: true,
        is_http_10: false,
        is_input_ended: false,
        is_body_unread: false,
        kind,
        result: None,
    };
    let ending = serve_requests(instance, &mut caller).await;
    closing::close(instance, &mut caller, ending).await;
}

/// Serves requests until the connection has to be closed.
async fn serve_requests(instance: &Rc<Instance>, caller: &mut Caller) -> Ending {
    let mut pipeline = Pipeline::default();
    loop {
        if pipeline.is_empty() {
            let head = match next_request::read(instance, caller).await {
                Ok(head) => head,
                Err(e) if reject_head(instance, caller, &e).await => {
                    return Ending::Answered(OpenRequest::begin(instance, None));
                }
                Err(_) => return Ending::Idle,
            };
            let limits = next_request::limits(instance);
            // Boxed, so that an idle connection does not hold the memory of a request in progress.
            let started = Box::pin(start(instance, caller, head, &limits)).await;
            match started {
                Ok(started) => pipeline.push(started),
                Err(answered) => return Ending::after(answered),
            }
        }
        match Box::pin(answer_first(instance, caller, &mut pipeline)).await {
            Ok(_) if caller.keep_alive => {}
            ended => {
                pipeline.abandon(*ended.as_ref().err().unwrap_or(&Departure::AnswerAheadFailed));
                return Ending::after(ended.ok());
            }
        }
    }
}

/// Starts to serve the request with this head. After an error the connection has to be closed; the
/// error is the request if it was answered.
async fn start(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    head: RequestHead,
    limits: &CallerLimits,
) -> Result<Started, Option<OpenRequest>> {
    let arrived = instance.now();
    let mut started = Started::new(instance, &head);
    caller.method = head.method.clone();
    caller.is_http_10 = started.is_http_10;
    let framing = match request_framing(head.version, &head.headers) {
        Ok(framing) => framing,
        Err(e) => {
            let is_answered = reject_head(instance, caller, &e).await;
            return Err(is_answered.then_some(started.open));
        }
    };
    let admitted = match caller.kind {
        CallerKind::Caller => {
            let caller_timeout = intake::caller_timeout(instance, &head);
            startup::wait_until_known(instance, caller_timeout).await;
            intake::find_target(instance, &head)
                .and_then(|target| intake::admit(instance, target, arrived, caller_timeout))
        }
        CallerKind::Peer => forwarding::admit(instance, &head, arrived),
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(answer) => {
            // An unread body would be parsed as the next request.
            caller.is_body_unread = framing != Framing::None;
            started.is_keep_alive &= !caller.is_body_unread;
            started.reject(instance, head.uri.path(), answer);
            return Ok(started);
        }
    };
    started.open.admit(admitted.route());
    let deadline = admitted.deadline;
    let body = match body::read(instance, caller, &head, framing, limits, deadline).await {
        Ok(Ok(body)) => body,
        Ok(Err(answer)) => {
            caller.is_body_unread = true;
            started.is_keep_alive = false;
            started.reject(instance, head.uri.path(), answer);
            return Ok(started);
        }
        Err(e) => {
            let is_answered = reject_head(instance, caller, &e).await;
            if !is_answered {
                let (id, departure) = (started.id.as_ref(), Departure::from_read(&e));
                record_departure_while_reading(instance, id, head.uri.path(), departure);
            }
            return Err(is_answered.then_some(started.open));
        }
    };
    begin_call(instance, &mut started, admitted, head, body);
    Ok(started)
}

/// Starts the exchange of an admitted request with a backend server.
fn begin_call(
    instance: &Rc<Instance>,
    started: &mut Started,
    admitted: Admitted,
    head: RequestHead,
    body: Body,
) {
    let service_name = admitted.pick_service();
    let req = intake::request(instance, admitted, head, body);
    match instance.service(&service_name) {
        Some(service) => started.run(Rc::new(Call::new(instance, service, req))),
        None => {
            let answer = LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_service");
            started.reject(instance, &req.path, answer);
        }
    }
}

/// Serves the requests in progress until the first one has its answer, and sends that. Meanwhile
/// further requests that have arrived may start. Returns the request that was answered. After an
/// error the connection has to be closed.
async fn answer_first(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    pipeline: &mut Pipeline,
) -> Result<OpenRequest, Departure> {
    let (first, outcome) = loop {
        start_early(instance, caller, pipeline);
        let read = {
            let finished = pin!(pipeline.finish_first());
            let read = pin!(caller.read_ahead(instance));
            match select(finished, read).await {
                Either::Left(_) => Ok(()),
                Either::Right((read, _)) => read,
            }
        };
        if let Some(finished) = pipeline.pop_finished() {
            break finished;
        }
        read.map_err(|e| Departure::from_read(&e))?;
    };
    caller.method = first.method.clone();
    caller.is_http_10 = first.is_http_10;
    let may_stay = !instance.is_stopping() || has_more(caller, pipeline);
    caller.keep_alive = first.is_keep_alive && may_stay;
    if instance.is_stopping() {
        caller.connection.raise_send_buffer(STOP_SEND_BUFFER);
    }
    let sent = {
        let sending = pin!(send(instance, caller, &first, outcome));
        let serving = pin!(pipeline.serve());
        match select(sending, serving).await {
            Either::Left((sent, _)) => sent,
            Either::Right(((), sending)) => sending.await,
        }
    };
    if let Err(e) = &sent {
        record_unsent(instance, first.id.as_ref(), e);
        return Err(Departure::AnswerAheadFailed);
    }
    Ok(first.open)
}

/// Whether requests were sent ahead that have to be answered before the connection closes: those
/// that have started, and those of which something has arrived.
fn has_more(caller: &Caller, pipeline: &Pipeline) -> bool {
    let connection = &caller.connection;
    !pipeline.is_empty() || connection.has_unread() || connection.has_arrived()
}

/// Starts requests that have arrived behind those in progress, as far as that is allowed.
fn start_early(instance: &Rc<Instance>, caller: &mut Caller, pipeline: &mut Pipeline) {
    // Another instance sends a further request only after the answer.
    while caller.kind == CallerKind::Caller
        && caller.connection.has_unread()
        && pipeline.has_room(instance)
    {
        let may_start = |head: &RequestHead| pipeline::may_start_early(instance, head);
        let Some(head) = caller.connection.take_request_if(may_start) else { return };
        let (arrived, caller_timeout) = (instance.now(), intake::caller_timeout(instance, &head));
        let mut started = Started::new(instance, &head);
        let admitted = intake::find_target(instance, &head)
            .and_then(|target| intake::admit(instance, target, arrived, caller_timeout));
        match admitted {
            Ok(admitted) => {
                started.open.admit(admitted.route());
                begin_call(instance, &mut started, admitted, head, Body::none());
            }
            Err(answer) => started.reject(instance, head.uri.path(), answer),
        }
        pipeline.push(started);
    }
}

async fn send(
    instance: &Instance,
    caller: &mut Caller,
    started: &Started,
    outcome: Outcome,
) -> Result<(), HttpError> {
    if caller.kind == CallerKind::Peer {
        caller.result = Some(outcome.forward_result());
    }
    match outcome {
        Outcome::Reply(call, reply) => relay::send(&call, caller, *reply).await,
        Outcome::Failed(call, failure) => {
            let (now, req) = (instance.now(), &call.req);
            instance.failed_requests.borrow_mut().record(now, req.fingerprint.0, req.first_at);
            let end = RequestEnd {
                status: failure.status,
                outcome: failure.reason,
                verdict: failure.verdict,
                retry_after: failure.retry_after,
            };
            record_end(&call, &end);
            LocalAnswer::from(failure).send(instance, caller, call.req.id.as_ref()).await
        }
        Outcome::Rejected(answer) => answer.send(instance, caller, started.id.as_ref()).await,
    }
}

/// The end of a request whose answer came from a backend server.
pub(crate) fn answered_end(status: StatusCode, outcome: &'static str) -> RequestEnd {
    RequestEnd { status, outcome, verdict: Verdict::Answered, retry_after: None }
}
