//! Connections from callers.

use super::answer::OwnAnswer;
use super::call::Call;
use super::next_request::next_request;
use super::open::{OpenRequest, Phase};
use super::plane::DataPlane;
use super::request::{RequestId, RequestMeta};
use super::request_body::{BodyRead, read_body};
use super::{entries, error_answers, filing, lookup, stream};
use crate::shared::Shared;
use futures::future::{Either, select};
use galenapath_config::{Class, ClassKind, Config};
use galenapath_http::{
    Connection, Framing, HttpError, RequestHead, expects_continue, is_keep_alive, request_framing,
    request_host,
};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version};
use monoio::net::TcpStream;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Bodies of lookups and transfers up to this size are read before admission, so that the request
/// can be retried; larger ones are streamed.
const BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// Maximum time for which the caller's data is still read while its connection is closed. Closing
/// with unread data resets the connection, which can lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The same while the instance is stopping. The end of the process resets what is still on its way
/// to a caller that reads slowly, so the caller has more time, and the process waits for it.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of an answer that the kernel is to hold while the instance is stopping: it delivers them after
/// the end of the process.
const STOP_SEND_BUFFER: usize = 256 * 1024;

/// A connection from a caller, with the properties of the current request that affect the answer.
pub(super) struct Caller {
    pub(super) connection: Connection,
    shared: Arc<Shared>,
    /// Method of the request; an answer to `HEAD` has no body.
    pub(super) method: Method,
    /// Whether the connection stays open after the answer.
    pub(super) keep_alive: bool,
    /// Whether the request is HTTP/1.0, whose answers must not be chunked.
    pub(super) is_http_10: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

impl Caller {
    /// Sends `100 Continue` if the caller waits for it, and flushes.
    pub(super) async fn send_continue(&mut self) -> Result<(), HttpError> {
        if std::mem::take(&mut self.expects_continue) {
            self.connection.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.connection.flush().await
    }

    /// Resolves when the caller has gone. While the instance is stopping, one that only sends no
    /// more has not: its addresses no longer contain this instance. Bytes that arrive meanwhile are
    /// kept for the next request.
    pub(super) async fn gone(&mut self) {
        loop {
            match self.connection.read_ahead().await {
                Ok(()) => {}
                Err(HttpError::Closed) if self.shared.is_stop_signalled() => {
                    std::future::pending().await
                }
                Err(_) => return,
            }
        }
    }

    /// Sets the `Connection` header of an answer, unless an HTTP/1.1 connection stays open, which
    /// is the default. While the instance is stopping, only a connection on which further requests
    /// have arrived stays open.
    pub(super) fn set_connection_header(&mut self, headers: &mut HeaderMap) {
        if let Some(stop) = self.shared.stop_schedule() {
            let has_time = self.shared.clock.now() < stop.answer_by;
            self.keep_alive &= has_time && self.connection.has_unread();
            self.connection.raise_send_buffer(STOP_SEND_BUFFER);
        }
        if !self.keep_alive {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if self.is_http_10 {
            headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        }
    }
}

/// Serves requests on a connection until either side closes it.
pub(super) async fn serve(plane: Rc<DataPlane>, io: TcpStream) {
    let limits = &plane.shared.settings.limits;
    let mut caller = Caller {
        connection: Connection::new(io, limits.header_bytes),
        shared: Arc::clone(&plane.shared),
        method: Method::GET,
        keep_alive: true,
        is_http_10: false,
        expects_continue: false,
    };
    let mut is_first = true;
    loop {
        let head = match next_request(&plane, &mut caller.connection, is_first).await {
            Ok(head) => head,
            Err(e) => {
                let _open = answer_read_error(&plane, &mut caller, &e)
                    .await
                    .then(|| plane.open.begin(plane.now(), Phase::Delivering));
                caller.connection.close(LINGER_TIMEOUT).await;
                return;
            }
        };
        is_first = false;
        let open = plane.open.begin(plane.now(), Phase::Reading);
        // Boxed so that an idle connection does not keep the memory of a request in progress.
        let result = Box::pin(serve_one(&plane, &mut caller, &open.request, head)).await;
        if result.is_err() || !caller.keep_alive {
            open.request.set_phase(Phase::Delivering);
            let is_stopping = plane.shared.is_leaving();
            let limit = if is_stopping { DELIVERY_TIMEOUT } else { LINGER_TIMEOUT };
            caller.connection.close(limit).await;
            return;
        }
    }
}

/// Answers a request whose head or body cannot be read, unless the caller has disconnected. The
/// connection is not reused. Returns whether it was answered.
async fn answer_read_error(plane: &DataPlane, caller: &mut Caller, e: &HttpError) -> bool {
    let (status, reason) = match e {
        HttpError::Io(e) if e.kind() == ErrorKind::TimedOut => {
            (StatusCode::REQUEST_TIMEOUT, "body_timeout")
        }
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => return false,
        HttpError::HeadTooLarge { .. } => {
            (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        }
        HttpError::HeadTimeout => (StatusCode::REQUEST_TIMEOUT, "head_timeout"),
        HttpError::BadHead(_) | HttpError::BadFraming(_) | HttpError::BodyTooLarge { .. } => {
            (StatusCode::BAD_REQUEST, "bad_request")
        }
    };
    plane.shared.metrics.count_fault(reason);
    caller.keep_alive = false;
    let answer = OwnAnswer::not_run(status, reason, &e.to_string());
    // The connection is closed whether or not this fails.
    answer.send(caller, None).await.is_ok()
}

async fn serve_one(
    plane: &Rc<DataPlane>,
    caller: &mut Caller,
    open: &Rc<OpenRequest>,
    head: RequestHead,
) -> Result<(), HttpError> {
    caller.method = head.method.clone();
    caller.is_http_10 = head.version == Version::HTTP_10;
    caller.expects_continue = expects_continue(&head);
    caller.keep_alive = is_keep_alive(&head);
    let framing = match request_framing(head.version, &head.headers) {
        Ok(framing) => framing,
        Err(e) => {
            answer_read_error(plane, caller, &e).await;
            return Err(e);
        }
    };
    let config = plane.shared.config.load_full();
    let route = route(&config, &head);
    match route {
        Route::Entries { service } => {
            close_if_body_unread(caller, framing);
            entries::answer(plane, caller, service.as_deref(), &config).await
        }
        Route::Unknown(answer) => {
            close_if_body_unread(caller, framing);
            answer.send(caller, None).await
        }
        Route::Class(class) => {
            let number = plane.next_request();
            let id = RequestId { incarnation: plane.shared.incarnation, number };
            open.set_name(id, &class);
            let meta = RequestMeta::new(id, class, plane.now(), &head, framing);
            serve_class(plane, caller, open, meta, head, &config).await
        }
    }
}

async fn serve_class(
    plane: &Rc<DataPlane>,
    caller: &mut Caller,
    open: &Rc<OpenRequest>,
    meta: RequestMeta,
    head: RequestHead,
    config: &Config,
) -> Result<(), HttpError> {
    let service = plane.service(&meta.class.service, config);
    service.state.borrow_mut().dispatchers.count_request();
    let is_filing = meta.class.kind == ClassKind::Filing;
    let framing = meta.framing;
    let call = Call::new(plane, service, meta, open);
    // A filing's key may have run, so its record decides.
    if !is_filing && !call.ends_in_time() {
        close_if_body_unread(caller, framing);
        return call.end_with(caller, &error_answers::stopping()).await;
    }
    let limit = if is_filing {
        plane.shared.settings.limits.filing_bytes as u64
    } else {
        BUFFERED_BODY_BYTES
    };
    let idle_timeout = plane.shared.settings.limits.idle_timeout;
    let body = {
        let body = pin!(read_body(caller, framing, limit, idle_timeout));
        match select(body, plane.stopping.last_answers.wait()).await {
            Either::Left((body, _)) => Some(body),
            Either::Right(_) => None,
        }
    };
    let body = match body {
        Some(Ok(body)) => body,
        Some(Err(e)) => {
            answer_read_error(plane, caller, &e).await;
            return Err(e);
        }
        None => {
            caller.keep_alive = false;
            return call.end_with(caller, &error_answers::cut_by_stop(false)).await;
        }
    };
    open.set_phase(Phase::Waiting);
    let result = {
        let work = pin!(serve_call(&call, caller, head, body));
        match select(work, plane.stopping.last_answers.wait()).await {
            Either::Left((result, _)) => Some(result),
            Either::Right((_, work)) if open.phase() == Phase::Answering => Some(work.await),
            Either::Right(_) => None,
        }
    };
    match result {
        Some(result) => result,
        None => {
            caller.keep_alive = false;
            call.end_with(caller, &error_answers::cut_by_stop(open.may_have_run())).await
        }
    }
}

/// Serves a request whose body has been read, as far as it is read before admission.
async fn serve_call(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    body: BodyRead,
) -> Result<(), HttpError> {
    let is_filing = call.meta.class.kind == ClassKind::Filing;
    match body {
        BodyRead::Whole(body) if is_filing => filing::serve(call, caller, head, body).await,
        BodyRead::Whole(body) => lookup::serve(call, caller, head, body).await,
        BodyRead::TooLarge { .. } if is_filing => {
            caller.keep_alive = false;
            let limit = call.plane.shared.settings.limits.filing_bytes;
            let text = format!("the body of a filing may have {limit} bytes at most");
            let answer =
                OwnAnswer::not_run(StatusCode::PAYLOAD_TOO_LARGE, "filing_too_large", &text);
            call.end_with(caller, &answer).await
        }
        BodyRead::TooLarge { start, state } => {
            stream::serve(call, caller, head, start, state).await
        }
    }
}

/// How a request is to be handled.
enum Route {
    Entries { service: Option<String> },
    Class(Arc<Class>),
    Unknown(OwnAnswer),
}

fn route(config: &Config, head: &RequestHead) -> Route {
    let service = match request_host(head) {
        Ok(service) => service,
        Err(bad) => {
            let status = StatusCode::BAD_REQUEST;
            return Route::Unknown(OwnAnswer::not_run(status, bad.as_str(), &bad.to_string()));
        }
    };
    let path = head.uri.path();
    if let Some(class) = config.classify(service, head.method.as_str(), path) {
        return Route::Class(Arc::clone(class));
    }
    if path == entries::PATH {
        return Route::Entries { service: entries::requested_service(&head.uri) };
    }
    let (reason, text) = if config.classes().any(|class| class.service == service) {
        ("unknown_class", format!("no class of service `{service}` takes this method and path"))
    } else {
        ("unknown_service", format!("no service is called `{service}` (the Host header names it)"))
    };
    Route::Unknown(OwnAnswer::not_run(StatusCode::NOT_FOUND, reason, &text))
}

/// Marks the connection to be closed after the answer if the request has a body, because an unread
/// body would be taken for the next request.
fn close_if_body_unread(caller: &mut Caller, framing: Framing) {
    if framing != Framing::None {
        caller.keep_alive = false;
    }
}
