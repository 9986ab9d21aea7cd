//! HTTP/1.1 exchanges with the platform over a few kept connections.

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

/// Largest answer that is read: a listing of some ten thousand instances.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest idle time after which a kept connection is used again. Short, because a connection that
/// the platform has closed meanwhile would turn a write into "may have run" for nothing.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Most idle connections kept.
const MAX_KEPT: usize = 4;
/// Most characters of an error answer that go into the message.
const MAX_ERROR_TEXT: usize = 200;

type Codec = ClientCodec<TcpStream>;
type OutBody = Payload<Bytes, PayloadError>;
type InBody = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// One exchange to make.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, already escaped.
    pub path: String,
    /// Body of the request; empty for none.
    pub body: Bytes,
    /// How long the platform may hold the answer back, as in a watch.
    pub wait: Duration,
}

impl Call {
    /// A read.
    pub fn get(path: String) -> Self {
        Self { method: Method::GET, path, body: Bytes::new(), wait: Duration::ZERO }
    }

    /// A write with a body.
    pub fn put(path: String, body: Bytes) -> Self {
        Self { method: Method::PUT, path, body, wait: Duration::ZERO }
    }

    /// A call with a body that is not idempotent by itself.
    pub fn post(path: String, body: Bytes) -> Self {
        Self { method: Method::POST, path, body, wait: Duration::ZERO }
    }

    /// Lets the platform hold the answer back for `wait`.
    #[must_use]
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// The call as method and path, for messages.
    pub fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    /// The error of this call.
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

struct Kept {
    codec: Codec,
    since: Instant,
}

/// A client of one address. Belongs to the thread that made it.
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    /// Connections whose last answer was read to its end; newest last.
    kept: RefCell<Vec<Kept>>,
}

impl HttpClient {
    /// A client of `address` whose calls end after `timeout`, waits not counted.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, kept: RefCell::default() }
    }

    /// Makes the call. A status of 400 and above is an error, except 404, which callers read as
    /// absence.
    ///
    /// # Errors
    ///
    /// Any failure, with a verdict on whether the call may have taken effect.
    pub async fn exchange(&self, call: &Call) -> Result<Answer, PlatformError> {
        let verdict = Cell::new(Verdict::NotRun);
        let limit = self.timeout + call.wait;
        let answer = match monoio::time::timeout(limit, self.attempt(call, &verdict)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => return Err(call.error(cause, verdict.get())),
            Err(_) => return Err(call.error(Cause::TimedOut(limit), verdict.get())),
        };
        match refusal(&answer) {
            Some((cause, verdict)) => Err(call.error(cause, verdict)),
            None => Ok(answer),
        }
    }

    /// Tries a kept connection first. A read whose kept connection breaks goes once more over a
    /// new one; a write does not, since it may have run.
    async fn attempt(&self, call: &Call, verdict: &Cell<Verdict>) -> Result<Answer, Cause> {
        if let Some(mut codec) = self.take_kept() {
            match send(&mut codec, self.address, call, verdict).await {
                Err(_) if call.method == Method::GET => verdict.set(Verdict::NotRun),
                result => return result.inspect(|answer| self.keep(codec, answer)),
            }
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| Cause::Unreachable(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let mut codec = ClientCodec::new(stream);
        let answer = send(&mut codec, self.address, call, verdict).await?;
        self.keep(codec, &answer);
        Ok(answer)
    }

    fn take_kept(&self) -> Option<Codec> {
        let kept = self.kept.borrow_mut().pop()?;
        if kept.since.elapsed() < MAX_IDLE {
            return Some(kept.codec);
        }
        // The newest is too old, so the others are as well.
        self.kept.borrow_mut().clear();
        None
    }

    fn keep(&self, codec: Codec, answer: &Answer) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() < MAX_KEPT && !answer.closes() {
            kept.push(Kept { codec, since: Instant::now() });
        }
    }
}

impl Answer {
    fn closes(&self) -> bool {
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
    let too_large = || Cause::BadAnswer(format!("larger than {MAX_ANSWER_BYTES} bytes"));
    let told = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if told.is_some_and(|len: usize| len > MAX_ANSWER_BYTES) {
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

/// Statuses below 500 turn a call away before it takes effect; any other error may follow one.
fn refusal(answer: &Answer) -> Option<(Cause, Verdict)> {
    let status = answer.status;
    if status.as_u16() < 400 || status == StatusCode::NOT_FOUND {
        return None;
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Some((Cause::RateLimited, Verdict::NotRun));
    }
    let verdict = if status.is_client_error() { Verdict::NotRun } else { Verdict::MayHaveRun };
    let text = String::from_utf8_lossy(&answer.body).chars().take(MAX_ERROR_TEXT).collect();
    Some((Cause::ErrorStatus { status: status.as_u16(), text }, verdict))
}
