//! HTTP/1.1 client of the platform with a small pool of idle connections.

use crate::{Cause, PlatformError};
use bytes::{Bytes, BytesMut};
use galenapath_protocol::Verdict;
use http::{HeaderMap, Method, Request, StatusCode, header};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::{Body, StreamHint};
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, FixedBodyDecoder, PayloadDecoder};
use monoio_http::h1::payload::{FixedPayload, Payload, PayloadError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum size of an answer's body; enough for a listing of about ten thousand instances.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// An idle connection is reused only within this time. Short, because a write on a connection that
/// the platform has closed meanwhile fails with the verdict "may have run" although it never ran.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum number of characters of an error answer's body in an error message.
const MAX_ERROR_CHARS: usize = 200;

type Codec = ClientCodec<TcpStream>;
type OutBody = Payload<Bytes, PayloadError>;
type InBody = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// One HTTP request to the platform.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, percent-encoded.
    pub path: String,
    /// Request body; empty for no body.
    pub body: Bytes,
    /// How long the platform may delay the answer, as in a watch. Extends the timeout.
    pub wait: Duration,
}

impl Call {
    /// Creates a GET call.
    pub fn get(path: String) -> Self {
        Self { method: Method::GET, path, body: Bytes::new(), wait: Duration::ZERO }
    }

    /// Creates a PUT call.
    pub fn put(path: String, body: Bytes) -> Self {
        Self { method: Method::PUT, path, body, wait: Duration::ZERO }
    }

    /// Creates a POST call, which is not idempotent in general.
    pub fn post(path: String, body: Bytes) -> Self {
        Self { method: Method::POST, path, body, wait: Duration::ZERO }
    }

    /// Lets the platform delay the answer by up to `wait`.
    #[must_use]
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Method and path of the call, for messages.
    pub fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    /// Creates an error of this call.
    pub fn error(&self, cause: Cause, verdict: Verdict) -> PlatformError {
        PlatformError { call: self.name(), cause, verdict }
    }
}

/// A complete answer.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

struct IdleConnection {
    codec: Codec,
    idle_since: Instant,
}

/// An HTTP client for one address. Can be used only on the thread that created it.
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    /// Pool of connections whose last answer was read completely; most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
}

impl HttpClient {
    /// Creates a client of `address` whose calls end after `timeout` plus their wait.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, idle: RefCell::default() }
    }

    /// Makes the call. Any status but a success is an error, except 404, which callers treat as an
    /// absent entry.
    ///
    /// # Errors
    ///
    /// On any failure, with a verdict on whether the call may have taken effect.
    pub async fn exchange(&self, call: &Call) -> Result<Answer, PlatformError> {
        let verdict = Cell::new(Verdict::NotRun);
        let limit = self.timeout + call.wait;
        let answer = match monoio::time::timeout(limit, self.attempt(call, &verdict)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => return Err(call.error(cause, verdict.get())),
            Err(_) => return Err(call.error(Cause::TimedOut(limit), verdict.get())),
        };
        match status_error(&answer) {
            Some((cause, verdict)) => Err(call.error(cause, verdict)),
            None => Ok(answer),
        }
    }

    /// Tries an idle connection first. If the exchange fails there, a GET call is retried once on a
    /// new connection; a write is not, since it may have run.
    async fn attempt(&self, call: &Call, verdict: &Cell<Verdict>) -> Result<Answer, Cause> {
        if let Some(mut codec) = self.take_idle() {
            match send(&mut codec, self.address, call, verdict).await {
                Err(_) if call.method == Method::GET => verdict.set(Verdict::NotRun),
                result => return result.inspect(|answer| self.put_idle(codec, answer)),
            }
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| Cause::Unreachable(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let mut codec = ClientCodec::new(stream);
        let answer = send(&mut codec, self.address, call, verdict).await?;
        self.put_idle(codec, &answer);
        Ok(answer)
    }

    fn take_idle(&self) -> Option<Codec> {
        let idle = self.idle.borrow_mut().pop()?;
        if idle.idle_since.elapsed() < MAX_IDLE_TIME {
            return Some(idle.codec);
        }
        // This is the most recently used connection, so the others are too old as well.
        self.idle.borrow_mut().clear();
        None
    }

    fn put_idle(&self, codec: Codec, answer: &Answer) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && !answer.closes_connection() {
            idle.push(IdleConnection { codec, idle_since: Instant::now() });
        }
    }
}

impl Answer {
    /// Whether the connection cannot be used for another call. After an interim answer, the final
    /// one would be taken for the answer to the next call.
    fn closes_connection(&self) -> bool {
        if self.status.is_informational() {
            return true;
        }
        let value = self.headers.get(header::CONNECTION);
        value.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
    }
}

async fn send(
    codec: &mut Codec,
    address: SocketAddr,
    call: &Call,
    verdict: &Cell<Verdict>,
) -> Result<Answer, Cause> {
    let req = request(address, call)?;
    verdict.set(Verdict::MayHaveRun);
    codec.send_and_flush(req).await.map_err(|e| Cause::Broken(e.to_string()))?;
    let answer = match codec.next().await {
        Some(Ok(answer)) => answer,
        Some(Err(e)) => return Err(Cause::Broken(e.to_string())),
        None => return Err(Cause::Broken("closed without an answer".into())),
    };
    let (parts, body) = answer.into_parts();
    let body = read_body(codec, &parts.headers, body).await?;
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}

fn request(address: SocketAddr, call: &Call) -> Result<Request<OutBody>, Cause> {
    let body = match call.body.is_empty() {
        true => Payload::None,
        false => Payload::Fixed(FixedPayload::new(call.body.clone())),
    };
    Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_LENGTH, call.body.len())
        .body(body)
        .map_err(|e| Cause::BadCall(e.to_string()))
}

async fn read_body(codec: &mut Codec, headers: &HeaderMap, body: InBody) -> Result<Bytes, Cause> {
    let too_large = || Cause::BadAnswer(format!("body larger than {MAX_ANSWER_BYTES} bytes"));
    let declared_len =
        headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if declared_len.is_some_and(|len: usize| len > MAX_ANSWER_BYTES) {
        return Err(too_large());
    }
    let mut body = body.with_io(codec);
    if body.stream_hint() == StreamHint::None {
        return Ok(Bytes::new());
    }
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.next_data().await {
        let chunk = chunk.map_err(|e| Cause::Broken(e.to_string()))?;
        if buf.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(too_large());
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Returns the error for an answer without success. With a client error (4xx) the call was rejected
/// before it took effect; with any other status it may have taken effect.
fn status_error(answer: &Answer) -> Option<(Cause, Verdict)> {
    let status = answer.status;
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return None;
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Some((Cause::RateLimited, Verdict::NotRun));
    }
    let verdict = if status.is_client_error() { Verdict::NotRun } else { Verdict::MayHaveRun };
    let text = String::from_utf8_lossy(&answer.body).chars().take(MAX_ERROR_CHARS).collect();
    Some((Cause::ErrorStatus { status: status.as_u16(), text }, verdict))
}
