//! Forwards a backend server's answer to the caller.

use crate::answer::{LocalAnswer, RequestEnd, record_end, send_whole};
use crate::body::Body;
use crate::call::Call;
use crate::caller::{Caller, answered_end};
use crate::crash;
use crate::reply::{RemainingBody, Reply};
use crate::usage::Flow;
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{Framing, HttpError, put_response};
use galenapath_protocol::Verdict;
use http::{Method, StatusCode};
use std::io::ErrorKind;
use std::pin::pin;
use std::time::Duration;

/// Time without progress on either side after which a streamed answer is aborted. A server's silence
/// ends it only once its caller's time is over as well.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a streamed answer that the kernel holds for its caller, doubled by the kernel. By
/// default it takes up to 4 MB, and then no more until a third of them has been read; a caller that
/// reads 100 KB a second would seem to have stalled.
const SEND_BUFFER: usize = 512 * 1024;

/// Bytes of the buffered part of an answer that are copied at a time to be written.
const START_PIECE: usize = 16 * 1024;

/// Bytes after which a stream pauses. The runtime neither interrupts a task whose reads and writes
/// never have to wait nor lets timers expire while one can run.
const PAUSE_EVERY_BYTES: usize = 256 * 1024;

/// Bytes that take as long as the handling of one piece. A server may send chunks of a few bytes.
const PIECE_OVERHEAD: usize = 1024;

/// The pause. It limits one stream to 250 MB/s.
const PAUSE: Duration = Duration::from_millis(1);

/// Forwards an answer. After an error the caller has not received all of it; its connection must be
/// closed, which shows the caller that the answer is incomplete.
pub(crate) async fn send(call: &Call, caller: &mut Caller, reply: Reply) -> Result<(), HttpError> {
    let Reply { status, mut headers, framing, start, rest, .. } = reply;
    if rest.is_some() && caller.is_http_10 && framing == Framing::UntilClose {
        return reject_http_10(call, caller).await;
    }
    caller.set_headers(&mut headers);
    if caller.method == Method::HEAD {
        record_end(call, &answered_end(status, "answered"));
        put_response(caller.connection.output(), status, &headers, Framing::None, false);
        return caller.connection.flush().await;
    }
    let Some(rest) = rest else {
        record_end(call, &answered_end(status, "answered"));
        return send_whole(caller, status, &headers, &start.bytes).await;
    };
    // A body that ends with the server's connection is forwarded in chunks, so that the caller can
    // distinguish a complete body from an aborted one.
    let framing = if framing == Framing::UntilClose { Framing::Chunked } else { framing };
    put_response(caller.connection.output(), status, &headers, framing, true);
    // The kernel delivers what it has taken, also after the end of the process.
    if !call.instance.is_stopping() {
        caller.connection.limit_send_buffer(SEND_BUFFER);
    }
    let mut rest = rest;
    // A body whose length is known ends; a faulty server may send another one without end.
    let time_limit = match framing {
        Framing::Length(_) | Framing::None => Duration::MAX,
        Framing::Chunked | Framing::UntilClose => call.time_left_for_caller().into(),
    };
    let streaming = stream(call, caller, framing, start, &mut rest);
    let sent = monoio::time::timeout(time_limit, streaming).await;
    let sent = sent.unwrap_or_else(|_| Err(HttpError::Io(ErrorKind::TimedOut.into())));
    call.instance.usage.count(Flow::Request, rest.is_local, rest.connection.take_byte_count());
    let outcome = match sent {
        Ok(()) => {
            crash::record_answer(call, status);
            "answered"
        }
        Err(_) => "broke_off",
    };
    record_run(rest, sent.is_ok());
    record_end(call, &answered_end(status, outcome));
    sent
}

/// Records what became of the request at its server. One whose answer was not read to its end may
/// still run there.
fn record_run(rest: RemainingBody, is_sent: bool) {
    let Some(running) = rest.running else { return };
    if rest.is_lost {
        running.lose();
    } else if is_sent {
        running.end();
    }
}

/// Answers with an error, because the caller could not distinguish a complete body from an aborted
/// one: HTTP/1.0 has no chunked encoding, and the body's length is unknown.
async fn reject_http_10(call: &Call, caller: &mut Caller) -> Result<(), HttpError> {
    let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
    let (outcome, verdict) = ("http_version", Verdict::MayHaveRun);
    record_end(call, &RequestEnd { status, outcome, verdict, retry_after: None });
    LocalAnswer::new(status, outcome).send(&call.instance, caller, call.req.id.as_ref()).await
}

async fn stream(
    call: &Call,
    caller: &mut Caller,
    framing: Framing,
    start: Body,
    rest: &mut RemainingBody,
) -> Result<(), HttpError> {
    for piece in start.chunks(START_PIECE) {
        with_timeout(STALL_TIMEOUT, caller.connection.write_body(framing, piece)).await?;
    }
    drop(start);
    let mut since_pause = 0;
    while let Some(piece) = next_piece(call, caller, rest).await? {
        with_timeout(STALL_TIMEOUT, caller.connection.write_body(framing, &piece)).await?;
        since_pause += piece.len() + PIECE_OVERHEAD;
        if since_pause >= PAUSE_EVERY_BYTES {
            since_pause = 0;
            monoio::time::sleep(PAUSE).await;
        }
    }
    with_timeout(STALL_TIMEOUT, caller.connection.finish_body(framing)).await
}

/// Reads the next piece of an answer, or fails if the caller disconnects first.
async fn next_piece(
    call: &Call,
    caller: &mut Caller,
    rest: &mut RemainingBody,
) -> Result<Option<Bytes>, HttpError> {
    let max_silence = STALL_TIMEOUT.max(call.time_left_for_caller().into());
    let piece = pin!(with_timeout(max_silence, rest.connection.read_body(&mut rest.body)));
    let left = pin!(caller.left(&call.instance));
    let piece = match select(piece, left).await {
        Either::Left((piece, _)) => piece,
        Either::Right(_) => return Err(HttpError::Closed),
    };
    rest.is_lost = piece.as_ref().is_err_and(is_connection_lost);
    piece
}

/// Whether a server's connection broke; one without progress is not known to be broken.
fn is_connection_lost(e: &HttpError) -> bool {
    match e {
        HttpError::Closed | HttpError::Truncated => true,
        HttpError::Io(e) => e.kind() != ErrorKind::TimedOut,
        _ => false,
    }
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    monoio::time::timeout(limit, work)
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(ErrorKind::TimedOut.into())))
}
