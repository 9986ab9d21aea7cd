//! One attempt: a request on one connection and its answer.

use super::check::BodyCheck;
use super::pool::Pool;
use super::tally::Outcome;
use crate::wire::{Conn, Framing, WireError, request_head};
use galenapath_protocol::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, VERDICT_HEADER, Verdict};
use http::{HeaderMap, Method, StatusCode};
use monoio_http::common::response::ResponseHead;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// Answered with success and the expected body.
    Answered,
    /// The answer states that the request did not run, and after which time to retry if given.
    NotRun(Option<Duration>),
    /// The answer states that the request may have run.
    MayHaveRun,
    /// A backend server answered with an error status.
    Failed(StatusCode),
    /// No complete answer.
    Broken,
    /// Answered with success, but not with the expected body.
    Wrong,
}

impl Attempt {
    /// Returns the outcome of a request whose last attempt ended like this.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Answered => Outcome::Answered,
            Self::NotRun(_) => Outcome::NotRun,
            Self::MayHaveRun => Outcome::MayHaveRun,
            Self::Failed(_) => Outcome::Failed,
            Self::Broken => Outcome::Broken,
            Self::Wrong => Outcome::Wrong,
        }
    }
}

/// Contents of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    /// Method; `GET` if empty.
    pub method: String,
    /// Service, sent as `Host`.
    pub service: String,
    /// Path and query.
    pub path: String,
    /// Idempotency key; not sent if empty.
    pub key: String,
    /// Length of the body pattern that the path requests, in bytes.
    pub bytes: Option<u64>,
    /// Deadline of the request, in milliseconds from when it is sent.
    pub deadline_ms: Option<u64>,
    /// Request body.
    pub body: Vec<u8>,
}

/// An encoded request, which can be sent any number of times.
pub struct Request {
    spec: RequestSpec,
    method: Method,
    /// Encoded head and body.
    message: Vec<u8>,
    /// Whether a part of an answer's body has arrived.
    has_begun: Arc<AtomicBool>,
}

impl Request {
    /// Encodes the request.
    pub fn new(spec: RequestSpec) -> Self {
        let method = Method::from_bytes(spec.method.as_bytes()).unwrap_or_default();
        let len = spec.body.len().to_string();
        let deadline = spec.deadline_ms.unwrap_or_default().to_string();
        let mut headers = vec![("host", spec.service.as_str()), ("content-length", &len)];
        if !spec.key.is_empty() {
            headers.push((IDEMPOTENCY_KEY_HEADER, &spec.key));
        }
        if spec.deadline_ms.is_some() {
            headers.push((DEADLINE_HEADER, &deadline));
        }
        let mut message = request_head(method.as_str(), &spec.path, &headers).into_bytes();
        message.extend_from_slice(&spec.body);
        Self { spec, method, message, has_begun: Arc::default() }
    }

    /// Returns the contents of the request.
    pub const fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns the flag that is set once a part of an answer's body has arrived.
    pub fn begun_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.has_begun)
    }

    /// Sends the request to `addr` and reads the answer.
    pub async fn send(&self, pool: &Pool, addr: SocketAddr) -> Attempt {
        let Ok(mut conn) = pool.take(addr).await else {
            return Attempt::Broken;
        };
        match self.exchange(&mut conn).await {
            Ok((attempt, reusable)) => {
                if reusable {
                    pool.put(addr, conn);
                }
                attempt
            }
            Err(_) => Attempt::Broken,
        }
    }

    async fn exchange(&self, conn: &mut Conn) -> Result<(Attempt, bool), WireError> {
        conn.write(self.message.clone()).await?;
        let head = conn.read_answer().await?;
        let mut framing = Framing::of_answer(&self.method, head.status, &head.headers);
        let reusable = !matches!(framing, Framing::UntilClose) && !has_close_option(&head.headers);
        let mut check = BodyCheck::new(&self.spec.path, &self.spec.key, self.spec.bytes);
        while let Some(part) = conn.read_part(&mut framing).await? {
            self.has_begun.store(true, Ordering::Relaxed);
            if head.status.is_success() {
                check.update(&part);
            }
        }
        Ok((classify(&head, &check), reusable))
    }
}

fn classify(head: &ResponseHead, check: &BodyCheck) -> Attempt {
    let verdict = text(&head.headers, VERDICT_HEADER);
    if verdict == Verdict::NotRun.as_str() {
        return Attempt::NotRun(retry_after(&head.headers));
    }
    if verdict == Verdict::MayHaveRun.as_str() {
        return Attempt::MayHaveRun;
    }
    match (head.status.is_success(), check.is_right()) {
        (false, _) => Attempt::Failed(head.status),
        (true, true) => Attempt::Answered,
        (true, false) => Attempt::Wrong,
    }
}

fn has_close_option(headers: &HeaderMap) -> bool {
    text(headers, "connection").eq_ignore_ascii_case("close")
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = text(headers, "retry-after").parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
