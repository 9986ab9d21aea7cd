//! One attempt at one backend server.

use super::backend::Backend;
use super::plane::DataPlane;
use super::pool::Pooled;
use super::prepare::Prepared;
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

/// A backend server's own word that it did not run the request.
const NOT_RUN_HEADER: &str = "galenapath-not-run";

/// Answers up to this many bytes are read whole before the caller gets their first byte, so that
/// one that breaks off can be fetched again elsewhere.
pub(super) const BUFFERED_ANSWER: usize = 64 * 1024;

/// Longest time to connect. Backend servers take about 1 ms to open a connection; a lost packet
/// is sent again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_200);

/// Longer than any deadline: the attempt's own timeout ends the wait for the head of an answer.
const HEAD_WAIT: Duration = Duration::from_secs(2 * 3_600);

/// Why an attempt gave no answer.
#[derive(Debug, Error)]
pub(super) enum Fault {
    /// No connection could be had.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The backend server turned the request away.
    #[error("the backend server turned the request away")]
    Shed,
    /// The filing's record was closed in the meantime; nothing was sent.
    #[error("the request was withdrawn before it was sent")]
    Withdrawn,
    /// The connection broke, or what came is no HTTP.
    #[error("{0}")]
    Http(HttpError),
    /// The caller went away or sent a body that cannot be read; no fault of the backend server.
    #[error("the request's body: {0}")]
    Caller(HttpError),
    /// No answer before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
}

impl Fault {
    /// Whether the backend server may have run the request.
    pub(super) const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::Shed | Self::Withdrawn => Verdict::NotRun,
            Self::Http(_) | Self::Caller(_) | Self::TimedOut => Verdict::MayHaveRun,
        }
    }

    /// What the fault says about the backend server.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            // The own share of connections is used up: no fault of the server.
            Self::Connect(e) if e.kind() == std::io::ErrorKind::WouldBlock => Outcome::Cancelled,
            Self::Connect(_) => Outcome::FastFailure,
            Self::Shed => Outcome::Shed,
            Self::Withdrawn | Self::Caller(_) => Outcome::Cancelled,
            Self::Http(_) => Outcome::Failure,
            Self::TimedOut => Outcome::TimedOut,
        }
    }

    /// Whether the connection was lost with the request on it, as in a crash.
    pub(super) const fn is_lost(&self) -> bool {
        matches!(self, Self::Http(HttpError::Closed | HttpError::Truncated | HttpError::Io(_)))
    }
}

/// An answer of a backend server.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) framing: Framing,
    /// The start of the body; all of it when `rest` is `None`.
    pub(super) start: Bytes,
    /// The connection with the rest of a body that is too large to be read first.
    pub(super) rest: Option<Rest>,
}

/// The rest of a body.
pub(super) struct Rest {
    pub(super) connection: Pooled,
    pub(super) state: BodyState,
}

/// Where an attempt goes and when it is given up.
pub(super) struct Target<'a> {
    pub(super) plane: &'a DataPlane,
    pub(super) service: &'a Service,
    pub(super) slot: BackendHandle,
    pub(super) backend: &'a Backend,
    pub(super) deadline: Micros,
}

/// Sends a request and reads the answer, or the start of a large one. `attempts` counts those on the
/// whole chain of calls, this one included. `before_send` is asked right
/// before the first byte may leave; `false` withdraws the request.
pub(super) async fn attempt(
    target: &Target<'_>,
    req: &Prepared,
    attempts: u32,
    before_send: impl FnOnce() -> bool,
) -> Result<Reply, Fault> {
    let limit = time_left(target).min(CONNECT_LIMIT);
    let mut connection = target.backend.pool.checkout(limit).await.map_err(Fault::Connect)?;
    if !before_send() {
        connection.give_back();
        return Err(Fault::Withdrawn);
    }
    let exchange = exchange(&mut connection, req, attempts);
    let head = monoio::time::timeout(time_left(target), exchange)
        .await
        .map_err(|_| Fault::TimedOut)?
        .map_err(Fault::Http)?;
    take_report(target, &head.headers);
    let reply = read_start(target, connection, &req.method, head).await?;
    if reply.status == StatusCode::SERVICE_UNAVAILABLE && reply.headers.contains_key(NOT_RUN_HEADER)
    {
        return Err(Fault::Shed);
    }
    Ok(reply)
}

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

/// Reads the head of the answer, skipping interim ones.
pub(super) async fn read_final_head(
    connection: &mut Connection,
) -> Result<ResponseHead, HttpError> {
    let times = HeadTimeouts { idle: HEAD_WAIT, head: HEAD_WAIT };
    loop {
        let head = connection.read_response(times).await?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
}

async fn read_start(
    target: &Target<'_>,
    mut connection: Pooled,
    method: &Method,
    head: ResponseHead,
) -> Result<Reply, Fault> {
    let framing = response_framing(method, head.status, &head.headers).map_err(Fault::Http)?;
    let mut state = BodyState::new(framing);
    let mut start = BytesMut::new();
    while start.len() < BUFFERED_ANSWER {
        let piece = monoio::time::timeout(time_left(target), connection.read_body(&mut state));
        let piece = piece.await.map_err(|_| Fault::TimedOut)?.map_err(Fault::Http)?;
        let Some(piece) = piece else { break };
        start.extend_from_slice(&piece);
    }
    let rest = if state.is_complete() {
        release(connection, framing, &head);
        None
    } else {
        Some(Rest { connection, state })
    };
    Ok(Reply { status: head.status, headers: head.headers, framing, start: start.freeze(), rest })
}

fn release(connection: Pooled, framing: Framing, head: &ResponseHead) {
    if can_reuse(framing, head.version, &head.headers) {
        connection.give_back();
    }
}

/// Whether a connection may be used again after a complete answer.
pub(super) fn can_reuse(framing: Framing, version: http::Version, headers: &HeaderMap) -> bool {
    let closes = has_connection_option(headers, "close");
    framing != Framing::UntilClose && version == http::Version::HTTP_11 && !closes
}

/// Takes in the load report of an answer, and its word that the server is leaving.
pub(super) fn take_report(target: &Target<'_>, headers: &HeaderMap) {
    let Some(text) = super::request::text(headers, REPORT_HEADER) else { return };
    let Ok(report) = text.parse::<LoadReport>() else {
        target.plane.shared.metrics.fault("bad_report");
        return;
    };
    let now = target.plane.now();
    let mut state = target.service.state.borrow_mut();
    state.balancer.report(now, target.slot, report);
    if !report.leaving {
        return;
    }
    state.balancer.mark_leaving(target.slot);
    if let Some(mark) = target.backend.leaving_mark() {
        let _ = target.plane.events.try_send(ControlEvent::Leaving(mark));
    }
}

/// What an answered request says about the backend server.
pub(super) fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() { Outcome::FastFailure } else { Outcome::Answered }
}
