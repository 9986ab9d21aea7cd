//! Serves the requests on a caller's connection.

use crate::answer::{LocalAnswer, RequestEnd, record_end, record_rejected};
use crate::call::Call;
use crate::exchange;
use crate::instance::{Instance, Stage};
use crate::relay;
use crate::request::{self, Request};
use crate::startup;
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use galenapath_filings::Fingerprint;
use galenapath_http::{
    BadRequest, BodyState, Connection, Framing, HeadTimeouts, HttpError, RequestHead,
    expects_continue, is_keep_alive, request_framing, request_host,
};
use galenapath_policy::CallerAttempt;
use galenapath_protocol::{Micros, Verdict};
use galenapath_routes::{CallerLimits, Route};
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::{Method, StatusCode, Version};
use monoio::net::TcpStream;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long input from the caller is still read and discarded while its connection closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// `Retry-After` of answers from an instance that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Micros = Micros::from_millis(200);

/// Caller timeout assumed for callers that state none; the route's timeout applies as well.
const DEFAULT_CALLER_TIMEOUT: Micros = Micros::from_secs(60);

/// A caller's connection and properties of its current request.
pub(crate) struct Caller {
    pub(crate) connection: Connection,
    /// Method of the request; an answer to `HEAD` has no body.
    pub(crate) method: Method,
    /// Whether the connection stays open after the answer.
    pub(crate) keep_alive: bool,
    /// Whether the request is HTTP/1.0, whose answers must not be chunked.
    pub(crate) is_http_10: bool,
}

impl Caller {
    /// Sets the `Connection` header of an answer where it differs from the HTTP version's default.
    pub(crate) fn set_connection(&self, headers: &mut HeaderMap) {
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

/// Counts a request in progress until dropped.
struct InProgressGuard<'a>(&'a Instance);

impl<'a> InProgressGuard<'a> {
    fn begin(instance: &'a Instance) -> Self {
        instance.in_progress.set(instance.in_progress.get() + 1);
        Self(instance)
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get().saturating_sub(1));
    }
}

/// Serves requests on a connection until either side closes it.
pub(crate) async fn serve(instance: Rc<Instance>, io: TcpStream) {
    instance.metrics.callers.inc();
    let _open = OpenGuard(&instance);
    let limits = *instance.state.borrow().table().limits();
    let mut caller = Caller {
        connection: Connection::new(io, limits.header_bytes),
        method: Method::GET,
        keep_alive: true,
        is_http_10: false,
    };
    loop {
        let limits = *instance.state.borrow().table().limits();
        let times = HeadTimeouts { idle: limits.idle_timeout, head: limits.header_timeout };
        let head = match caller.connection.read_request(times).await {
            Ok(head) => head,
            Err(e) => {
                reject_head(&instance, &mut caller, &e).await;
                caller.connection.close(CLOSE_TIMEOUT).await;
                return;
            }
        };
        let _progress = InProgressGuard::begin(&instance);
        // Boxed, so that an idle connection does not hold the memory of a request in progress.
        let result = Box::pin(serve_one(&instance, &mut caller, head, &limits)).await;
        if result.is_err() || !caller.keep_alive {
            caller.connection.close(CLOSE_TIMEOUT).await;
            return;
        }
    }
}

/// Answers a request that could not be read, unless the caller has closed the connection or sent
/// nothing. The connection must close afterwards, because the start of the next request is unknown.
async fn reject_head(instance: &Instance, caller: &mut Caller, e: &HttpError) {
    let answer = match e {
        HttpError::Io(e) if e.kind() == ErrorKind::TimedOut => {
            LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_timeout")
        }
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => return,
        HttpError::HeadTooLarge { .. } => {
            LocalAnswer::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        }
        // No request was begun on the idle connection, so no answer is expected.
        HttpError::HeadTimeout if !caller.connection.has_unread() => return,
        HttpError::HeadTimeout => LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, "head_timeout"),
        HttpError::BadHead(_) | HttpError::BadFraming(_) => {
            LocalAnswer::new(StatusCode::BAD_REQUEST, "bad_request")
        }
    };
    caller.keep_alive = false;
    record_rejected(instance, None, "-", &answer);
    if let Err(e) = answer.send(instance, caller, None).await {
        log::debug!(error:% = e; "caller disconnected before its answer was sent");
    }
}

async fn serve_one(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    head: RequestHead,
    limits: &CallerLimits,
) -> Result<(), HttpError> {
    let arrived = instance.now();
    caller.method = head.method.clone();
    caller.is_http_10 = head.version == Version::HTTP_10;
    caller.keep_alive = is_keep_alive(&head) && instance.stage.get() == Stage::Serving;
    let framing = match request_framing(head.version, &head.headers) {
        Ok(framing) => framing,
        Err(e) => {
            reject_head(instance, caller, &e).await;
            return Err(e);
        }
    };
    let id = head.headers.get(&instance.names.request_id).cloned();
    let caller_timeout =
        request::caller_timeout(&instance.names, &head.headers).unwrap_or(DEFAULT_CALLER_TIMEOUT);
    startup::wait_until_known(instance, caller_timeout).await;
    let route = match find_route(instance, &head) {
        Ok(route) => route,
        Err(answer) => {
            // An unread body would be parsed as the next request.
            caller.keep_alive &= framing == Framing::None;
            record_rejected(instance, id.as_ref(), head.uri.path(), &answer);
            return answer.send(instance, caller, id.as_ref()).await;
        }
    };
    let deadline = arrived + caller_timeout.min(route.timeout.into());
    let body = match read_body(instance, caller, &head, framing, limits, deadline).await {
        Ok(Ok(body)) => body,
        Ok(Err(answer)) => {
            caller.keep_alive = false;
            record_rejected(instance, id.as_ref(), head.uri.path(), &answer);
            return answer.send(instance, caller, id.as_ref()).await;
        }
        Err(e) => {
            reject_head(instance, caller, &e).await;
            return Err(e);
        }
    };
    let path = request::path(&head);
    let fingerprint = Fingerprint::of(&route.host, head.method.as_str(), &path, &body);
    let failed_first = instance.failed_requests.borrow_mut().take(arrived, fingerprint.0);
    let first_at = failed_first.unwrap_or(arrived);
    let caller_attempt =
        if failed_first.is_some() { CallerAttempt::Repeated } else { CallerAttempt::First };
    let target_at = instance.target_at(&route, arrived, first_at, caller_timeout);
    let req = Request {
        ticket: instance.next_request_number(),
        id,
        path,
        fingerprint,
        caller_attempt,
        first_at,
        method: head.method,
        headers: request::server_headers(&instance.names, head.headers),
        body,
        route,
        arrived,
        target_at,
        deadline,
    };
    serve_request(instance, caller, req).await
}

fn find_route(instance: &Instance, head: &RequestHead) -> Result<Arc<Route>, LocalAnswer> {
    let host = match request_host(head) {
        Ok(host) => host,
        Err(BadRequest::Version) => {
            let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
            return Err(LocalAnswer::new(status, BadRequest::Version.as_str()));
        }
        Err(bad) => return Err(LocalAnswer::new(StatusCode::BAD_REQUEST, bad.as_str())),
    };
    let state = instance.state.borrow();
    if state.config().is_none() {
        let answer = LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_configuration");
        return Err(answer.with_retry_after(NO_CONFIG_RETRY_AFTER));
    }
    let route = state.table().find(host, head.uri.path());
    route.cloned().ok_or(LocalAnswer::new(StatusCode::NOT_FOUND, "no_route"))
}

async fn serve_request(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    req: Request,
) -> Result<(), HttpError> {
    let service_name = instance.pick_service(&req.route).to_owned();
    let Some(service) = instance.service(&service_name) else {
        let answer = LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_service");
        record_rejected(instance, req.id.as_ref(), &req.path, &answer);
        return answer.send(instance, caller, req.id.as_ref()).await;
    };
    let call = Call::new(instance, service, req);
    let result = {
        let work = pin!(exchange::run(&call));
        let closed = pin!(caller.connection.closed());
        match select(work, closed).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    match result {
        Some(Ok(reply)) => relay::send(&call, caller, reply).await,
        Some(Err(failure)) => {
            let (now, req) = (instance.now(), &call.req);
            instance.failed_requests.borrow_mut().record(now, req.fingerprint.0, req.first_at);
            let end = RequestEnd {
                status: failure.status,
                outcome: failure.reason,
                verdict: failure.verdict,
                retry_after: failure.retry_after,
            };
            record_end(&call, &end);
            let answer = LocalAnswer::from(failure);
            answer.send(instance, caller, call.req.id.as_ref()).await
        }
        None => {
            let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_GATEWAY);
            let (verdict, outcome) = (call.verdict(), "caller_left");
            record_end(&call, &RequestEnd { status, outcome, verdict, retry_after: None });
            Err(HttpError::Closed)
        }
    }
}

/// Reads the whole body. The inner error is the answer to a body that is too large or too late.
async fn read_body(
    instance: &Instance,
    caller: &mut Caller,
    head: &RequestHead,
    framing: Framing,
    limits: &CallerLimits,
    deadline: Micros,
) -> Result<Result<Bytes, LocalAnswer>, HttpError> {
    let too_large = LocalAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    if matches!(framing, Framing::Length(n) if n > limits.body_bytes) {
        return Ok(Err(too_large));
    }
    if framing == Framing::None {
        return Ok(Ok(Bytes::new()));
    }
    if expects_continue(head) {
        caller.connection.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        caller.connection.flush().await?;
    }
    let mut state = BodyState::new(framing);
    let mut body = BytesMut::new();
    loop {
        let left = deadline - instance.now();
        let piece = caller.connection.read_body(&mut state);
        match monoio::time::timeout(left.into(), piece).await {
            Ok(piece) => match piece? {
                Some(piece) => body.extend_from_slice(&piece),
                None => return Ok(Ok(body.freeze())),
            },
            Err(_) => {
                return Ok(Err(LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_timeout")));
            }
        }
        if body.len() as u64 > limits.body_bytes {
            return Ok(Err(too_large));
        }
    }
}

/// The end of a request whose answer came from a backend server.
pub(crate) fn answered_end(status: StatusCode, outcome: &'static str) -> RequestEnd {
    RequestEnd { status, outcome, verdict: Verdict::Answered, retry_after: None }
}
