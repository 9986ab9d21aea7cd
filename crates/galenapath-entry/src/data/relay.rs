//! Passing a backend server's answer on to the caller.

use super::answer::{has_no_body, send_whole};
use super::attempt::{Reply, Rest};
use super::caller::{Caller, read_piece};
use super::headers;
use super::request::RequestId;
use galenapath_http::{Framing, HttpError, put_response};
use galenapath_protocol::{
    ATTEMPT_HEADER, BACKEND_HEADER, BackendId, REQUEST_ID_HEADER, VERDICT_HEADER, Verdict,
};
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
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
            send_head_only(caller, reply.status, reply.headers).await
        }
        None => send_whole(caller, reply.status, reply.headers, &reply.start).await,
        Some(rest) => {
            let head =
                LargeHead { status: reply.status, headers: reply.headers, framing: reply.framing };
            send_large(caller, head, &reply.start, rest).await
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

async fn send_large(
    caller: &mut Caller,
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
    if !caller.keep_alive {
        head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    put_response(caller.connection.output(), head.status, &head.headers, framing, true);
    within_pause(caller.connection.write_body(framing, start)).await?;
    while let Some(piece) = read_piece(&mut rest.connection, &mut rest.state, BODY_PAUSE).await? {
        within_pause(caller.connection.write_body(framing, &piece)).await?;
    }
    within_pause(caller.connection.finish_body(framing)).await?;
    if head.framing != Framing::UntilClose {
        rest.connection.give_back();
    }
    Ok(())
}

pub(super) async fn within_pause<T>(
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    monoio::time::timeout(BODY_PAUSE, work)
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))
}
