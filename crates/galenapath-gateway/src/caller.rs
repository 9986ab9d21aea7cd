//! One caller's connection.

use crate::answer::{End, OwnAnswer, note_end, note_refused};
use crate::call::Call;
use crate::exchange;
use crate::instance::{Instance, Stage};
use crate::relay;
use crate::request::{self, Request};
use crate::start;
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use galenapath_filings::Fingerprint;
use galenapath_http::{
    BadRequest, BodyState, Connection, Framing, HeadTimes, HttpError, RequestHead,
    expects_continue, request_framing, request_host, wants_keep_alive,
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

/// How long a caller that goes on sending is listened to while its connection closes.
const CLOSING_TIME: Duration = Duration::from_millis(500);

/// When a caller may come back to an instance that does not know the configuration yet.
const UNKNOWN_RETRY: Micros = Micros::from_millis(200);

/// Longest wait of a caller that does not say how long it waits, on top of the route's timeout.
const UNTOLD_TIME: Micros = Micros::from_secs(60);

/// A connection from a caller and the request that is being served on it.
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
    /// Says in an answer's headers whether the connection stays open, where that is not understood.
    pub(crate) fn set_connection(&self, headers: &mut HeaderMap) {
        if !self.keep_alive {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if self.is_http_10 {
            headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        }
    }
}

/// Counts an open connection; dropping it takes it off.
struct Open<'a>(&'a Instance);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.metrics.callers.dec();
    }
}

/// Counts a request in progress; dropping it takes it off.
struct InProgress<'a>(&'a Instance);

impl<'a> InProgress<'a> {
    fn begin(instance: &'a Instance) -> Self {
        instance.in_progress.set(instance.in_progress.get() + 1);
        Self(instance)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get().saturating_sub(1));
    }
}

/// Serves requests on a connection until either side closes it.
pub(crate) async fn serve(instance: Rc<Instance>, io: TcpStream) {
    instance.metrics.callers.inc();
    let _open = Open(&instance);
    let limits = *instance.state.borrow().table().limits();
    let mut caller = Caller {
        connection: Connection::new(io, limits.header_bytes),
        method: Method::GET,
        keep_alive: true,
        is_http_10: false,
    };
    loop {
        let limits = *instance.state.borrow().table().limits();
        let times = HeadTimes { idle: limits.idle_timeout, head: limits.header_timeout };
        let head = match caller.connection.read_request(times).await {
            Ok(head) => head,
            Err(e) => {
                refuse_head(&instance, &mut caller, &e).await;
                caller.connection.close(CLOSING_TIME).await;
                return;
            }
        };
        let _progress = InProgress::begin(&instance);
        // Boxed, so that an idle connection does not hold the room of a request in progress.
        let result = Box::pin(serve_one(&instance, &mut caller, head, &limits)).await;
        if result.is_err() || !caller.keep_alive {
            caller.connection.close(CLOSING_TIME).await;
            return;
        }
    }
}

/// Answers a head that cannot be used, where an answer makes sense. The connection closes then:
/// nobody can tell where the next request would begin.
async fn refuse_head(instance: &Instance, caller: &mut Caller, e: &HttpError) {
    let answer = match e {
        HttpError::Io(e) if e.kind() == ErrorKind::TimedOut => {
            OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_timeout")
        }
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => return,
        HttpError::HeadTooLarge { .. } => {
            OwnAnswer::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        }
        // A connection that stayed idle has nobody waiting for an answer.
        HttpError::HeadTimeout if !caller.connection.has_unread() => return,
        HttpError::HeadTimeout => OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "head_timeout"),
        HttpError::BadHead(_) | HttpError::BadFraming(_) => {
            OwnAnswer::new(StatusCode::BAD_REQUEST, "bad_request")
        }
    };
    caller.keep_alive = false;
    note_refused(instance, None, "-", &answer);
    if let Err(e) = answer.send(instance, caller, None).await {
        log::debug!(error:% = e; "a caller left before its answer");
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
    caller.keep_alive = wants_keep_alive(&head) && instance.stage.get() == Stage::Serving;
    let framing = match request_framing(head.version, &head.headers) {
        Ok(framing) => framing,
        Err(e) => {
            refuse_head(instance, caller, &e).await;
            return Err(e);
        }
    };
    let id = head.headers.get(&instance.names.request_id).cloned();
    let told = request::time_left(&instance.names, &head.headers).unwrap_or(UNTOLD_TIME);
    start::wait_until_known(instance, told).await;
    let route = match find_route(instance, &head) {
        Ok(route) => route,
        Err(answer) => {
            // A body that is not read would be taken for the next request.
            caller.keep_alive &= framing == Framing::None;
            note_refused(instance, id.as_ref(), head.uri.path(), &answer);
            return answer.send(instance, caller, id.as_ref()).await;
        }
    };
    let deadline = arrived + told.min(route.timeout.into());
    let body = match read_body(instance, caller, &head, framing, limits, deadline).await {
        Ok(Ok(body)) => body,
        Ok(Err(answer)) => {
            caller.keep_alive = false;
            note_refused(instance, id.as_ref(), head.uri.path(), &answer);
            return answer.send(instance, caller, id.as_ref()).await;
        }
        Err(e) => {
            refuse_head(instance, caller, &e).await;
            return Err(e);
        }
    };
    let path = request::path(&head);
    let fingerprint = Fingerprint::of(&route.host, head.method.as_str(), &path, &body);
    let failed_first = instance.failed.borrow_mut().take(arrived, fingerprint.0);
    let first_at = failed_first.unwrap_or(arrived);
    let chance =
        if failed_first.is_some() { CallerAttempt::Repeated } else { CallerAttempt::First };
    let target_at = instance.target_at(&route, arrived, first_at, told);
    let req = Request {
        ticket: instance.next_ticket(),
        id,
        path,
        fingerprint,
        chance,
        first_at,
        method: head.method,
        headers: request::forwarded(&instance.names, head.headers),
        body,
        route,
        arrived,
        target_at,
        deadline,
    };
    serve_request(instance, caller, req).await
}

fn find_route(instance: &Instance, head: &RequestHead) -> Result<Arc<Route>, OwnAnswer> {
    let host = match request_host(head) {
        Ok(host) => host,
        Err(BadRequest::Version) => {
            let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
            return Err(OwnAnswer::new(status, BadRequest::Version.as_str()));
        }
        Err(bad) => return Err(OwnAnswer::new(StatusCode::BAD_REQUEST, bad.as_str())),
    };
    let state = instance.state.borrow();
    if state.config().is_none() {
        let answer = OwnAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_configuration");
        return Err(answer.after(UNKNOWN_RETRY));
    }
    let route = state.table().find(host, head.uri.path());
    route.cloned().ok_or(OwnAnswer::new(StatusCode::NOT_FOUND, "no_route"))
}

async fn serve_request(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    req: Request,
) -> Result<(), HttpError> {
    let part = instance.pick_part(&req.route).to_owned();
    let Some(service) = instance.service(&part) else {
        let answer = OwnAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_service");
        note_refused(instance, req.id.as_ref(), &req.path, &answer);
        return answer.send(instance, caller, req.id.as_ref()).await;
    };
    let call = Call::new(instance, service, req);
    let result = {
        let work = pin!(exchange::run(&call));
        let gone = pin!(caller.connection.closed());
        match select(work, gone).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    match result {
        Some(Ok(reply)) => relay::send(&call, caller, reply).await,
        Some(Err(failure)) => {
            let (now, req) = (instance.now(), &call.req);
            instance.failed.borrow_mut().record(now, req.fingerprint.0, req.first_at);
            let end = End {
                status: failure.status,
                outcome: failure.reason,
                verdict: failure.verdict,
                retry_after: failure.retry_after,
            };
            note_end(&call, &end);
            let answer = OwnAnswer::from(failure);
            answer.send(instance, caller, call.req.id.as_ref()).await
        }
        None => {
            let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_GATEWAY);
            let (verdict, outcome) = (call.verdict(), "caller_left");
            note_end(&call, &End { status, outcome, verdict, retry_after: None });
            Err(HttpError::Closed)
        }
    }
}

/// Reads the whole body, or says why it is not taken.
async fn read_body(
    instance: &Instance,
    caller: &mut Caller,
    head: &RequestHead,
    framing: Framing,
    limits: &CallerLimits,
    deadline: Micros,
) -> Result<Result<Bytes, OwnAnswer>, HttpError> {
    let too_large = OwnAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
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
            Err(_) => return Ok(Err(OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_timeout"))),
        }
        if body.len() as u64 > limits.body_bytes {
            return Ok(Err(too_large));
        }
    }
}

/// The end of a request that a backend server answered.
pub(crate) fn answered(status: StatusCode, outcome: &'static str) -> End {
    End { status, outcome, verdict: Verdict::Answered, retry_after: None }
}
