//! A backend server's answer: read, checked and kept until it is passed on.

use crate::dialect::HeaderNames;
use bytes::{Bytes, BytesMut};
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimes, HttpError, ResponseHead, connection_has,
    response_framing, strip_hop_by_hop,
};
use galenapath_protocol::Micros;
use http::header::{CONTENT_ENCODING, HeaderMap};
use http::{Method, StatusCode};
use std::time::Duration;

/// Answers up to this many bytes are read whole before their head is passed on, so that one that
/// breaks off can be fetched again elsewhere; the rest of a larger one is streamed.
const BUFFERED: usize = 256 * 1024;

/// Answers to other requests that are skipped on a connection: one that was given up, and its
/// double.
const MOST_FOREIGN: usize = 2;

/// Longest time for a head after its first byte.
const HEAD_TIME: Duration = Duration::from_secs(2);

/// Longest wait for the first byte; the deadline of the request ends it earlier.
const FIRST_BYTE_TIME: Duration = Duration::from_secs(60);

/// What is left of an answer that is too large to be read first.
pub(crate) struct Rest {
    pub(crate) connection: Connection,
    pub(crate) body: BodyState,
    /// Whether the server is in the own failure domain.
    pub(crate) is_home: bool,
}

/// An answer.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: Framing,
    /// The body, or its start.
    pub(crate) start: Bytes,
    pub(crate) rest: Option<Rest>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadVerdict {
    /// The answer to this request.
    Answer,
    /// The backend server did not run the request.
    NotRun,
    /// Another backend server has the address.
    OtherServer,
    /// The answer to another request.
    Foreign,
    /// Not an answer that may be passed on.
    Bad(&'static str),
}

/// Judges the head of an answer to the request `id`.
pub(crate) fn judge(
    names: &HeaderNames,
    head: &ResponseHead,
    id: Option<&http::HeaderValue>,
) -> HeadVerdict {
    let has = |name| head.headers.contains_key(name);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return HeadVerdict::OtherServer;
    }
    let echoed = head.headers.get(&names.request_id);
    if echoed.is_some() && echoed != id {
        return HeadVerdict::Foreign;
    }
    if has(&names.not_run) {
        return HeadVerdict::NotRun;
    }
    if has(&CONTENT_ENCODING) {
        return HeadVerdict::Bad("encoded");
    }
    if head.status.is_success() && !has(&names.signature) {
        return HeadVerdict::Bad("unsigned");
    }
    if head.status.is_success() && echoed.is_none() {
        return HeadVerdict::Bad("unidentified");
    }
    if promises_not_run(head.status) {
        return HeadVerdict::Bad("unproven_refusal");
    }
    HeadVerdict::Answer
}

/// Statuses by which a caller is promised that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Reads heads until one that is not about another request.
pub(crate) async fn read_head(
    connection: &mut Connection,
    names: &HeaderNames,
    method: &Method,
    id: Option<&http::HeaderValue>,
) -> Result<(ResponseHead, HeadVerdict), HttpError> {
    let times = HeadTimes { idle: FIRST_BYTE_TIME, head: HEAD_TIME };
    let mut foreign = 0;
    loop {
        let head = connection.read_response(times).await?;
        if head.status.is_informational() {
            continue;
        }
        let verdict = judge(names, &head, id);
        if verdict != HeadVerdict::Foreign || foreign == MOST_FOREIGN {
            return Ok((head, verdict));
        }
        foreign += 1;
        let framing = response_framing(method, head.status, &head.headers)?;
        if framing == Framing::UntilClose {
            return Ok((head, verdict));
        }
        let mut body = BodyState::new(framing);
        while connection.read_body(&mut body).await?.is_some() {}
    }
}

/// Idle time after which the server closes the connection, where it says.
pub(crate) fn stated_idle(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Micros::from_secs)
}

/// Whether the server closes the connection after this answer.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    connection_has(headers, "close")
}

/// The start of a body, whole where it is not too large.
pub(crate) async fn read_start(
    connection: &mut Connection,
    body: &mut BodyState,
) -> Result<Bytes, HttpError> {
    let Some(first) = connection.read_body(body).await? else { return Ok(Bytes::new()) };
    if body.is_complete() {
        return Ok(first);
    }
    // Room for all of it at once, where its length is known: a buffer that grows is copied several
    // times and ends up to twice as large.
    let room = first.len().saturating_add(body.expected()).min(BUFFERED);
    let mut start = BytesMut::with_capacity(room);
    start.extend_from_slice(&first);
    drop(first);
    while start.len() < BUFFERED {
        match connection.read_body(body).await? {
            Some(piece) => start.extend_from_slice(&piece),
            None => break,
        }
    }
    Ok(start.freeze())
}

/// Leaves the headers that pass to the caller.
pub(crate) fn passed_on(names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(&names.load);
    headers
}
