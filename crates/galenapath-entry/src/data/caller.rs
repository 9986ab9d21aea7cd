//! One caller's connection.

use super::answer::OwnAnswer;
use super::call::Call;
use super::plane::DataPlane;
use super::request::{RequestId, RequestMeta};
use super::{entries, filing, lookup, stream};
use bytes::{Bytes, BytesMut};
use galenapath_config::{Class, ClassKind, Config};
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimeouts, HttpError, RequestHead, expects_continue,
    is_keep_alive, request_framing, request_host,
};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version};
use monoio::net::TcpStream;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Bodies of lookups and transfers up to this many bytes are read before the request is let in, so
/// that it can be sent again; larger ones are streamed.
const BUFFERED_BODY: u64 = 64 * 1024;

/// How long a caller that goes on sending is listened to while its connection closes.
const CLOSING_TIME: Duration = Duration::from_secs(1);

/// A connection from a caller and the request that is being served on it.
pub(super) struct Caller {
    pub(super) connection: Connection,
    /// Method of the request; an answer to `HEAD` has no body.
    pub(super) method: Method,
    /// Whether the connection stays open after the answer.
    pub(super) keep_alive: bool,
    /// Whether the request is HTTP/1.0, whose answers must not be chunked.
    pub(super) is_http_10: bool,
    /// Whether the caller waits for an interim answer before it sends the body.
    pub(super) expects_continue: bool,
}

impl Caller {
    /// Tells a caller that waits for it to send the body.
    pub(super) async fn ask_for_body(&mut self) -> Result<(), HttpError> {
        if std::mem::take(&mut self.expects_continue) {
            self.connection.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.connection.flush().await
    }

    /// Says in an answer's headers whether the connection stays open, where that is not understood.
    pub(super) fn set_connection(&self, headers: &mut HeaderMap) {
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
    let times = HeadTimeouts { idle: limits.idle_timeout, head: limits.header_timeout };
    let mut caller = Caller {
        connection: Connection::new(io, limits.header_bytes),
        method: Method::GET,
        keep_alive: true,
        is_http_10: false,
        expects_continue: false,
    };
    loop {
        let head = match caller.connection.read_request(times).await {
            Ok(head) => head,
            Err(e) => {
                refuse(&plane, &mut caller, &e).await;
                caller.connection.close(CLOSING_TIME).await;
                return;
            }
        };
        // Boxed, so that an idle connection does not hold the room of a request in progress.
        let result = Box::pin(serve_one(&plane, &mut caller, head)).await;
        if result.is_err() || !caller.keep_alive {
            caller.connection.close(CLOSING_TIME).await;
            return;
        }
    }
}

/// Answers a request whose head cannot be used, where an answer makes sense, and closes.
async fn refuse(plane: &DataPlane, caller: &mut Caller, e: &HttpError) {
    let (status, reason) = match e {
        HttpError::Io(e) if e.kind() == ErrorKind::TimedOut => {
            (StatusCode::REQUEST_TIMEOUT, "body_timeout")
        }
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => return,
        HttpError::HeadTooLarge { .. } => {
            (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        }
        HttpError::HeadTimeout => (StatusCode::REQUEST_TIMEOUT, "head_timeout"),
        HttpError::BadHead(_) | HttpError::BadFraming(_) => {
            (StatusCode::BAD_REQUEST, "bad_request")
        }
    };
    plane.shared.metrics.fault(reason);
    caller.keep_alive = false;
    let answer = OwnAnswer::not_run(status, reason, &e.to_string());
    // The connection is closed in any case.
    let _ = answer.send(caller, None).await;
}

async fn serve_one(
    plane: &Rc<DataPlane>,
    caller: &mut Caller,
    head: RequestHead,
) -> Result<(), HttpError> {
    let _guard = plane.begin();
    caller.method = head.method.clone();
    caller.is_http_10 = head.version == Version::HTTP_10;
    caller.expects_continue = expects_continue(&head);
    caller.keep_alive = is_keep_alive(&head) && !plane.shared.is_leaving();
    let framing = match request_framing(head.version, &head.headers) {
        Ok(framing) => framing,
        Err(e) => {
            refuse(plane, caller, &e).await;
            return Err(e);
        }
    };
    let config = plane.shared.config.load_full();
    let route = route(&config, &head);
    match route {
        Route::Entries { service } => {
            skip_body(caller, framing);
            entries::answer(plane, caller, service.as_deref(), &config).await
        }
        Route::Unknown(answer) => {
            skip_body(caller, framing);
            answer.send(caller, None).await
        }
        Route::Class(class) => {
            let number = plane.next_request();
            let id = RequestId { incarnation: plane.shared.incarnation, number };
            let meta = RequestMeta::new(id, class, plane.now(), &head, framing);
            serve_class(plane, caller, meta, head, &config).await
        }
    }
}

async fn serve_class(
    plane: &Rc<DataPlane>,
    caller: &mut Caller,
    meta: RequestMeta,
    head: RequestHead,
    config: &Config,
) -> Result<(), HttpError> {
    let service = plane.service(&meta.class.service, config);
    service.state.borrow_mut().dispatching.count_request();
    let is_filing = meta.class.kind == ClassKind::Filing;
    let limit =
        if is_filing { plane.shared.settings.limits.filing_bytes as u64 } else { BUFFERED_BODY };
    let pause = plane.shared.settings.limits.idle_timeout;
    let body = match read_body(caller, meta.framing, limit, pause).await {
        Ok(body) => body,
        Err(e) => {
            refuse(plane, caller, &e).await;
            return Err(e);
        }
    };
    let call = Call::new(plane, service, meta);
    match body {
        BodyRead::Whole(body) if is_filing => filing::serve(&call, caller, head, body).await,
        BodyRead::Whole(body) => lookup::serve(&call, caller, head, body).await,
        BodyRead::TooLarge { .. } if is_filing => {
            caller.keep_alive = false;
            let text = format!("the body of a filing may have {limit} bytes at most");
            let answer =
                OwnAnswer::not_run(StatusCode::PAYLOAD_TOO_LARGE, "filing_too_large", &text);
            call.refuse(caller, &answer).await
        }
        BodyRead::TooLarge { start, state } => {
            stream::serve(&call, caller, head, start, state).await
        }
    }
}

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
        return Route::Entries { service: entries::service_asked_for(&head.uri) };
    }
    let (reason, text) = if config.classes().any(|class| class.service == service) {
        ("unknown_class", format!("no class of service `{service}` takes this method and path"))
    } else {
        ("unknown_service", format!("no service is called `{service}` (the Host header names it)"))
    };
    Route::Unknown(OwnAnswer::not_run(StatusCode::NOT_FOUND, reason, &text))
}

/// An answer that comes before the body was read closes the connection, unless there is no body.
fn skip_body(caller: &mut Caller, framing: Framing) {
    if framing != Framing::None {
        caller.keep_alive = false;
    }
}

/// The body of a request, as far as it was read.
enum BodyRead {
    Whole(Bytes),
    /// More than the limit: what was read, and where the rest stands.
    TooLarge {
        start: Bytes,
        state: BodyState,
    },
}

async fn read_body(
    caller: &mut Caller,
    framing: Framing,
    limit: u64,
    pause: Duration,
) -> Result<BodyRead, HttpError> {
    let mut state = BodyState::new(framing);
    if matches!(framing, Framing::Length(n) if n > limit) {
        return Ok(BodyRead::TooLarge { start: Bytes::new(), state });
    }
    caller.ask_for_body().await?;
    let mut body = BytesMut::new();
    while let Some(piece) = read_piece(&mut caller.connection, &mut state, pause).await? {
        body.extend_from_slice(&piece);
        if body.len() as u64 > limit {
            return Ok(BodyRead::TooLarge { start: body.freeze(), state });
        }
    }
    Ok(BodyRead::Whole(body.freeze()))
}

/// Reads the next piece of a body; a sender that pauses for longer than `pause` is cut off.
pub(super) async fn read_piece(
    connection: &mut Connection,
    state: &mut BodyState,
    pause: Duration,
) -> Result<Option<Bytes>, HttpError> {
    monoio::time::timeout(pause, connection.read_body(state))
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))
}
