//! One attempt to have a request answered by one backend server.

use super::backend::Backend;
use super::plane::DataPlane;
use super::pool::Pooled;
use super::prepare::Prepared;
use super::running::Running;
use super::service::Service;
use crate::shared::ControlEvent;
use bytes::{Bytes, BytesMut};
use galenapath_http::has_connection_option;
use galenapath_http::{
    BodyState, Connection, Field, Framing, HeadTimeouts, HttpError, ResponseHead, put_request,
    response_framing,
};
use galenapath_policy::{BackendHandle, Outcome};
use galenapath_protocol::{ATTEMPT_HEADER, LoadReport, Micros, REPORT_HEADER, Verdict};
use http::{HeaderMap, Method, StatusCode};
use std::time::Duration;
use thiserror::Error;

/// Header in which a backend server states that it did not run the request.
const NOT_RUN_HEADER: &str = "galenapath-not-run";

/// Answers up to this size are buffered completely before the first byte is sent to the caller, so
/// that the request can be retried on another backend server if the answer is truncated.
pub(super) const BUFFERED_ANSWER_BYTES: usize = 64 * 1024;

/// Maximum time to connect. Backend servers take about 1 ms to open a connection; TCP retransmits a
/// lost packet after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout for the head of an answer. Longer than any deadline, because the attempt's own timeout
/// ends the wait.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2 * 3_600);

/// Reason for which an attempt produced no answer.
#[derive(Debug, Error)]
pub(super) enum AttemptError {
    /// No connection was available or could be opened.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The backend server rejected the request without running it.
    #[error("the backend server turned the request away")]
    Shed,
    /// The record of the filing was closed before the filing was sent; nothing was sent.
    #[error("the request was withdrawn before it was sent")]
    Withdrawn,
    /// The instance is stopping, and the request cannot end in time; nothing was sent.
    #[error("the instance is stopping; use another")]
    Stopping,
    /// The connection was lost, or the answer is not valid HTTP.
    #[error("{0}")]
    Http(HttpError),
    /// The caller disconnected or sent an invalid body; not a failure of the backend server.
    #[error("the request's body: {0}")]
    Caller(HttpError),
    /// The deadline passed before the answer arrived.
    #[error("no answer before the deadline")]
    TimedOut,
}

impl AttemptError {
    /// Returns whether the backend server may have run the request.
    pub(super) const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::Shed | Self::Withdrawn | Self::Stopping => Verdict::NotRun,
            Self::Http(_) | Self::Caller(_) | Self::TimedOut => Verdict::MayHaveRun,
        }
    }

    /// Returns the outcome that is recorded for the backend server.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            // This instance's connection share is used up, which is not a failure of the server.
            Self::Connect(e) if e.kind() == std::io::ErrorKind::WouldBlock => Outcome::Cancelled,
            Self::Connect(_) => Outcome::FastFailure,
            Self::Shed => Outcome::Shed,
            Self::Withdrawn | Self::Stopping | Self::Caller(_) => Outcome::Cancelled,
            Self::Http(_) => Outcome::Failure,
            Self::TimedOut => Outcome::TimedOut,
        }
    }

    /// Returns whether the connection was lost while the request was on it, as in a crash.
    pub(super) const fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Http(HttpError::Closed | HttpError::Truncated | HttpError::Io(_)))
    }
}

/// An answer of a backend server.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) framing: Framing,
    /// The buffered start of the body; the whole body if `rest` is `None`.
    pub(super) start: Bytes,
    /// The unread rest of a body that is too large to be buffered.
    pub(super) rest: Option<Rest>,
}

/// The unread rest of a body and the connection that it arrives on.
pub(super) struct Rest {
    pub(super) connection: Pooled,
    pub(super) state: BodyState,
    /// The request at the backend server, which is still at work on it.
    pub(super) running: Option<Running>,
}

/// The backend server of an attempt, and the deadline.
pub(super) struct Target<'a> {
    pub(super) plane: &'a DataPlane,
    pub(super) service: &'a Service,
    pub(super) handle: BackendHandle,
    pub(super) backend: &'a Backend,
    pub(super) deadline: Micros,
}

/// Sends a request and reads the answer, or the start of a large one.
///
/// `attempts` is the number of attempts over the whole chain of calls, this one included.
/// `before_send` is called immediately before the first byte is sent; if it fails, nothing is sent.
pub(super) async fn attempt(
    target: &Target<'_>,
    req: &Prepared,
    attempts: u32,
    before_send: impl FnOnce() -> Result<(), AttemptError>,
) -> Result<Reply, AttemptError> {
    let timeout = time_left(target).min(CONNECT_TIMEOUT);
    let mut connection =
        target.backend.pool.checkout(timeout).await.map_err(AttemptError::Connect)?;
    if let Err(error) = before_send() {
        connection.return_to_pool();
        return Err(error);
    }
    let exchange = exchange(&mut connection, req, attempts);
    let head = monoio::time::timeout(time_left(target), exchange)
        .await
        .map_err(|_| AttemptError::TimedOut)?
        .map_err(AttemptError::Http)?;
    apply_report(target, &head.headers);
    let reply = read_start(target, connection, &req.method, head).await?;
    if reply.status == StatusCode::SERVICE_UNAVAILABLE && reply.headers.contains_key(NOT_RUN_HEADER)
    {
        return Err(AttemptError::Shed);
    }
    Ok(reply)
}

/// Returns the time until the deadline of an attempt.
pub(super) fn time_left(target: &Target<'_>) -> Duration {
    (target.deadline - target.plane.now()).into()
}

async fn exchange(
    connection: &mut Connection,
    req: &Prepared,
    attempts: u32,
) -> Result<ResponseHead, HttpError> {
    let framing = req.framing();
    let count = attempts.to_string();
    let fields = [Field { name: ATTEMPT_HEADER, value: &count }];
    put_request(connection.output(), &req.method, &req.path, &req.headers, &fields, framing);
    connection.write_body(framing, &req.body).await?;
    connection.finish_body(framing).await?;
    read_final_head(connection).await
}

/// Reads the head of the final answer.
pub(super) async fn read_final_head(
    connection: &mut Connection,
) -> Result<ResponseHead, HttpError> {
    let times = HeadTimeouts { idle: HEAD_TIMEOUT, head: HEAD_TIMEOUT };
    connection.read_final_response(times).await
}

async fn read_start(
    target: &Target<'_>,
    mut connection: Pooled,
    method: &Method,
    head: ResponseHead,
) -> Result<Reply, AttemptError> {
    let framing =
        response_framing(method, head.status, &head.headers).map_err(AttemptError::Http)?;
    let mut state = BodyState::new(framing);
    let mut start = BytesMut::new();
    while start.len() < BUFFERED_ANSWER_BYTES {
        let piece = monoio::time::timeout(time_left(target), connection.read_body(&mut state));
        let piece = piece.await.map_err(|_| AttemptError::TimedOut)?.map_err(AttemptError::Http)?;
        let Some(piece) = piece else { break };
        start.extend_from_slice(&piece);
    }
    let rest = if state.is_complete() {
        return_if_reusable(connection, framing, &head);
        None
    } else {
        Some(Rest { connection, state, running: None })
    };
    Ok(Reply { status: head.status, headers: head.headers, framing, start: start.freeze(), rest })
}

fn return_if_reusable(connection: Pooled, framing: Framing, head: &ResponseHead) {
    if can_reuse(framing, head.version, &head.headers) {
        connection.return_to_pool();
    }
}

/// Returns whether a connection can be reused after a complete answer.
pub(super) fn can_reuse(framing: Framing, version: http::Version, headers: &HeaderMap) -> bool {
    let closes = has_connection_option(headers, "close");
    framing != Framing::UntilClose && version == http::Version::HTTP_11 && !closes
}

/// Applies the load report in the headers of an answer. The first report that states that the
/// server is leaving is also sent to the control thread.
pub(super) fn apply_report(target: &Target<'_>, headers: &HeaderMap) {
    let Some(text) = super::request::header_text(headers, REPORT_HEADER) else { return };
    let Ok(report) = text.parse::<LoadReport>() else {
        target.plane.shared.metrics.count_fault("bad_report");
        return;
    };
    let now = target.plane.now();
    let mut state = target.service.state.borrow_mut();
    state.balancer.report(now, target.handle, report);
    if !report.leaving {
        return;
    }
    state.balancer.mark_leaving(target.handle);
    if let Some(mark) = target.backend.take_leaving_mark() {
        let _ = target.plane.events.try_send(ControlEvent::Leaving(mark));
    }
}

/// Returns the outcome that is recorded for a backend server that answered with `status`.
pub(super) fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() { Outcome::FastFailure } else { Outcome::Answered }
}
