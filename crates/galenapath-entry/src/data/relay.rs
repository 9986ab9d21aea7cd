//! Relaying a backend server's answer to the caller.

use super::answer::{OwnAnswer, RequestInfo, has_no_body, send_whole};
use super::attempt::{Reply, Rest};
use super::call::Call;
use super::caller::Caller;
use super::headers;
use super::request::RequestId;
use super::request_body::read_piece;
use super::throttle::StreamThrottle;
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

/// Maximum time without progress in a body, on either side, before the transfer is aborted.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Metadata that is added to the headers of a relayed answer.
pub(super) struct AnswerMeta<'a> {
    /// Identifier of the request.
    pub(super) id: RequestId,
    /// The backend server or instance that answered.
    pub(super) backend: &'a BackendId,
    /// Verdict on the request.
    pub(super) verdict: Verdict,
    /// Attempts made over the whole chain of calls.
    pub(super) attempts: u32,
    /// Time until the request's deadline.
    pub(super) time_left: Duration,
}

impl<'a> AnswerMeta<'a> {
    /// Creates the metadata of a backend server's answer to `call`.
    pub(super) fn answered(call: &Call, backend: &'a BackendId) -> Self {
        let attempts = call.trace.borrow().attempt_count;
        let time_left = Duration::from(call.meta.deadline - call.plane.now());
        Self { id: call.meta.id, backend, verdict: Verdict::Answered, attempts, time_left }
    }
}

/// Relays an answer to the caller.
///
/// # Errors
///
/// If the answer was not sent completely. The caller's connection must then be closed, so that the
/// caller recognizes the answer as truncated.
pub(super) async fn send(
    caller: &mut Caller,
    answer_meta: &AnswerMeta<'_>,
    mut reply: Reply,
) -> Result<(), HttpError> {
    headers::strip(&mut reply.headers);
    headers::set(&mut reply.headers, VERDICT_HEADER, answer_meta.verdict.as_str());
    headers::set(&mut reply.headers, REQUEST_ID_HEADER, &answer_meta.id.to_string());
    headers::set(&mut reply.headers, BACKEND_HEADER, &answer_meta.backend.0);
    headers::set(&mut reply.headers, ATTEMPT_HEADER, &answer_meta.attempts.to_string());
    match reply.rest {
        None if caller.method == Method::HEAD => {
            caller.set_connection_header(&mut reply.headers);
            send_head_only(caller, reply.status, reply.headers).await
        }
        None => send_whole(caller, reply.status, reply.headers, &reply.start).await,
        Some(rest) => {
            let head =
                LargeHead { status: reply.status, headers: reply.headers, framing: reply.framing };
            send_large(caller, answer_meta, head, &reply.start, rest).await
        }
    }
}

/// Answers `HEAD` with the headers that the backend server set, including `Content-Length`.
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

/// The head of an answer whose body is relayed in pieces.
struct LargeHead {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
}

/// Rejects an HTTP/1.0 request for an answer whose length is not known in advance. HTTP/1.0 has no
/// chunked encoding, so the caller could not distinguish a complete answer from a truncated one.
async fn reject_http_10(
    caller: &mut Caller,
    answer_meta: &AnswerMeta<'_>,
) -> Result<(), HttpError> {
    let text = "the answer has no known length; ask for it with HTTP/1.1";
    let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
    let request = RequestInfo { id: answer_meta.id, attempts: answer_meta.attempts };
    OwnAnswer::may_have_run(status, "http_version", text).send(caller, Some(request)).await
}

async fn send_large(
    caller: &mut Caller,
    answer_meta: &AnswerMeta<'_>,
    mut head: LargeHead,
    start: &[u8],
    mut rest: Rest,
) -> Result<(), HttpError> {
    // A body that ends when the backend server closes the connection is relayed in chunks, so that
    // the caller can distinguish a complete answer from a truncated one.
    let framing = match head.framing {
        Framing::UntilClose => Framing::Chunked,
        other => other,
    };
    if caller.is_http_10 && framing == Framing::Chunked {
        return reject_http_10(caller, answer_meta).await;
    }
    caller.set_connection_header(&mut head.headers);
    put_response(caller.connection.output(), head.status, &head.headers, framing, true);
    // A body whose length is known ends; a faulty server may send another one without end.
    let time_limit = match framing {
        Framing::Length(_) | Framing::None => Duration::MAX,
        Framing::Chunked | Framing::UntilClose => answer_meta.time_left,
    };
    let streaming = stream(caller, framing, start, &mut rest);
    monoio::time::timeout(time_limit, streaming)
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))?;
    if let Some(running) = rest.running {
        running.answer(head.status);
    }
    if head.framing != Framing::UntilClose {
        rest.connection.return_to_pool();
    }
    Ok(())
}

async fn stream(
    caller: &mut Caller,
    framing: Framing,
    start: &[u8],
    rest: &mut Rest,
) -> Result<(), HttpError> {
    with_idle_timeout(caller.connection.write_body(framing, start)).await?;
    let mut throttle = StreamThrottle::default();
    while let Some(piece) = next_piece(caller, rest).await? {
        with_idle_timeout(caller.connection.write_body(framing, &piece)).await?;
        throttle.record(piece.len()).await;
    }
    with_idle_timeout(caller.connection.finish_body(framing)).await
}

/// Reads the next piece of an answer; fails if the caller disconnects first.
async fn next_piece(caller: &mut Caller, rest: &mut Rest) -> Result<Option<Bytes>, HttpError> {
    let piece = pin!(read_piece(&mut rest.connection, &mut rest.state, BODY_IDLE_TIMEOUT));
    let caller_closed = pin!(caller.gone());
    match select(piece, caller_closed).await {
        Either::Left((piece, _)) => piece,
        Either::Right(_) => Err(HttpError::Closed),
    }
}

/// Runs `work`; fails if it takes longer than `BODY_IDLE_TIMEOUT`.
pub(super) async fn with_idle_timeout<T>(
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    monoio::time::timeout(BODY_IDLE_TIMEOUT, work)
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))
}
