//! Passing a backend server's answer on to the caller.

use crate::answer::{End, OwnAnswer, note_end, send_whole};
use crate::call::Call;
use crate::caller::{Caller, answered};
use crate::reply::{Reply, Rest};
use crate::usage::Flow;
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{Framing, HttpError, put_response};
use galenapath_protocol::Verdict;
use http::{Method, StatusCode};
use std::pin::pin;
use std::time::Duration;

/// Longest pause inside a large answer, on either side, before it is given up.
const PAUSE: Duration = Duration::from_secs(10);

/// Sends an answer on. An error means that the caller did not get all of it and that its connection
/// has to be closed, which tells the caller so.
pub(crate) async fn send(call: &Call, caller: &mut Caller, reply: Reply) -> Result<(), HttpError> {
    let Reply { status, mut headers, framing, start, rest, .. } = reply;
    if rest.is_some() && caller.is_http_10 && framing == Framing::UntilClose {
        return refuse_http_10(call, caller).await;
    }
    caller.set_connection(&mut headers);
    if caller.method == Method::HEAD {
        note_end(call, &answered(status, "answered"));
        put_response(caller.connection.output(), status, &headers, Framing::None, false);
        return caller.connection.flush().await;
    }
    let Some(rest) = rest else {
        note_end(call, &answered(status, "answered"));
        return send_whole(caller, status, &headers, &start).await;
    };
    // A body that ends with the backend server's connection is sent on in chunks, so that the caller
    // can tell its end from a break.
    let framing = if framing == Framing::UntilClose { Framing::Chunked } else { framing };
    put_response(caller.connection.output(), status, &headers, framing, true);
    let mut rest = rest;
    let sent = stream(caller, framing, &start, &mut rest).await;
    call.instance.usage.count(Flow::Request, rest.is_home, rest.connection.take_carried());
    let outcome = if sent.is_ok() { "answered" } else { "broke_off" };
    note_end(call, &answered(status, outcome));
    sent
}

/// Turns away a caller who could not tell the end of the answer from a break: HTTP/1.0 knows no
/// chunks, and the length is not known before the end.
async fn refuse_http_10(call: &Call, caller: &mut Caller) -> Result<(), HttpError> {
    let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
    let (outcome, verdict) = ("http_version", Verdict::MayHaveRun);
    note_end(call, &End { status, outcome, verdict, retry_after: None });
    OwnAnswer::new(status, outcome).send(&call.instance, caller, call.req.id.as_ref()).await
}

async fn stream(
    caller: &mut Caller,
    framing: Framing,
    start: &[u8],
    rest: &mut Rest,
) -> Result<(), HttpError> {
    within_pause(caller.connection.write_body(framing, start)).await?;
    while let Some(piece) = next_piece(caller, rest).await? {
        within_pause(caller.connection.write_body(framing, &piece)).await?;
    }
    within_pause(caller.connection.finish_body(framing)).await
}

/// The next piece of an answer, unless the caller goes away first.
async fn next_piece(caller: &mut Caller, rest: &mut Rest) -> Result<Option<Bytes>, HttpError> {
    let piece = pin!(within_pause(rest.connection.read_body(&mut rest.body)));
    let gone = pin!(caller.connection.closed());
    match select(piece, gone).await {
        Either::Left((piece, _)) => piece,
        Either::Right(_) => Err(HttpError::Closed),
    }
}

async fn within_pause<T>(work: impl Future<Output = Result<T, HttpError>>) -> Result<T, HttpError> {
    monoio::time::timeout(PAUSE, work)
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))
}
