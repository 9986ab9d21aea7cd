//! Passing a backend server's answer on to the caller.

use super::answer::{About, OwnAnswer, has_no_body, send_whole};
use super::attempt::{Reply, Rest};
use super::call::Call;
use super::caller::{Caller, read_piece};
use super::headers;
use super::pace::Pace;
use super::request::RequestId;
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{Framing, HttpError, put_response};
use galenapath_protocol::{
    ATTEMPT_HEADER, BACKEND_HEADER, BackendId, REQUEST_ID_HEADER, VERDICT_HEADER, Verdict,
};
use http::header::HeaderMap;
use http::{Method, StatusCode};
use std::pin::pin;
use std::time::Duration;

/// Longest pause inside a body, on either side, before the answer is given up.
const BODY_PAUSE: Duration = Duration::from_secs(30);

/// What the headers of an answer tell about it.
pub(super) struct Told<'a> {
    /// Identifier of the request.
    pub(super) id: RequestId,
    /// Who answered.
    pub(super) backend: &'a BackendId,
    /// Verdict on the request.
    pub(super) verdict: Verdict,
    /// Attempts made over the whole chain of calls.
    pub(super) attempts: u32,
}

impl<'a> Told<'a> {
    /// About the answer of a backend server to `call`.
    pub(super) fn answered(call: &Call, backend: &'a BackendId) -> Self {
        let attempts = call.trace.borrow().attempts;
        Self { id: call.meta.id, backend, verdict: Verdict::Answered, attempts }
    }
}

/// Sends an answer on. An error means that the caller did not get all of it and that its
/// connection has to be closed, which tells the caller so.
pub(super) async fn send(
    caller: &mut Caller,
    told: &Told<'_>,
    mut reply: Reply,
) -> Result<(), HttpError> {
    headers::strip(&mut reply.headers);
    headers::set(&mut reply.headers, VERDICT_HEADER, told.verdict.as_str());
    headers::set(&mut reply.headers, REQUEST_ID_HEADER, &told.id.to_string());
    headers::set(&mut reply.headers, BACKEND_HEADER, &told.backend.0);
    headers::set(&mut reply.headers, ATTEMPT_HEADER, &told.attempts.to_string());
    match reply.rest {
        None if caller.method == Method::HEAD => {
            caller.set_connection(&mut reply.headers);
            send_head_only(caller, reply.status, reply.headers).await
        }
        None => send_whole(caller, reply.status, reply.headers, &reply.start).await,
        Some(rest) => {
            let head =
                LargeHead { status: reply.status, headers: reply.headers, framing: reply.framing };
            send_large(caller, told, head, &reply.start, rest).await
        }
    }
}

/// Answers `HEAD` with the headers as the backend server set them, its length included.
async fn send_head_only(
    caller: &mut Caller,
    status: StatusCode,
    headers: HeaderMap,
) -> Result<(), HttpError> {
    let length = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    let framing = match length {
        Some(n) if n > 0 && !has_no_body(status) => Framing::Length(n),
        _ => Framing::None,
    };
    put_response(caller.connection.output(), status, &headers, framing, false);
    caller.connection.flush().await
}

struct LargeHead {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
}

/// Turns away a caller who could not tell the end of the answer from a break: HTTP/1.0 knows no
/// chunks, and the length is not known before the end.
async fn refuse_http_10(caller: &mut Caller, told: &Told<'_>) -> Result<(), HttpError> {
    let text = "the answer has no known length; ask for it with HTTP/1.1";
    let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
    let about = About { id: told.id, attempts: told.attempts };
    OwnAnswer::may_have_run(status, "http_version", text).send(caller, Some(about)).await
}

async fn send_large(
    caller: &mut Caller,
    told: &Told<'_>,
    mut head: LargeHead,
    start: &[u8],
    mut rest: Rest,
) -> Result<(), HttpError> {
    // A body that ends with the backend server's connection is sent on in chunks, so that the
    // caller can tell its end from a break.
    let framing = match head.framing {
        Framing::UntilClose => Framing::Chunked,
        other => other,
    };
    if caller.is_http_10 && framing == Framing::Chunked {
        return refuse_http_10(caller, told).await;
    }
    caller.set_connection(&mut head.headers);
    put_response(caller.connection.output(), head.status, &head.headers, framing, true);
    within_pause(caller.connection.write_body(framing, start)).await?;
    let mut pace = Pace::default();
    while let Some(piece) = next_piece(caller, &mut rest).await? {
        within_pause(caller.connection.write_body(framing, &piece)).await?;
        pace.passed(piece.len()).await;
    }
    within_pause(caller.connection.finish_body(framing)).await?;
    if head.framing != Framing::UntilClose {
        rest.connection.give_back();
    }
    Ok(())
}

/// The next piece of an answer, unless the caller goes away first.
async fn next_piece(caller: &mut Caller, rest: &mut Rest) -> Result<Option<Bytes>, HttpError> {
    let piece = pin!(read_piece(&mut rest.connection, &mut rest.state, BODY_PAUSE));
    let gone = pin!(caller.connection.closed());
    match select(piece, gone).await {
        Either::Left((piece, _)) => piece,
        Either::Right(_) => Err(HttpError::Closed),
    }
}

pub(super) async fn within_pause<T>(
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    monoio::time::timeout(BODY_PAUSE, work)
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))
}
