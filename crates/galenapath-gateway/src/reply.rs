//! Reads and checks backend servers' answers.

use crate::body::{Body, BodyOf, BodyRoom};
use crate::call::Call;
use crate::crash::Running;
use crate::dialect::HeaderNames;
use crate::fleet::RESULT_HEADER;
use bytes::BytesMut;
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimeouts, HttpError, ResponseHead, has_connection_option,
    response_framing, strip_hop_by_hop,
};
use galenapath_protocol::Micros;
use http::header::{CONTENT_ENCODING, HeaderMap};
use http::{Method, StatusCode};
use std::time::Duration;

/// Bytes of an answer that are read in any case, and the step in which its room grows.
const MIN_BUFFERED: usize = 16 * 1024;

/// Answers of up to this many bytes are read completely before their head is forwarded, so that the
/// request can be retried if the answer is aborted. The rest of a larger answer is streamed.
const BUFFER_LIMIT: usize = 256 * 1024;

/// The same for an answer with requests sent ahead behind it. These run already, and would have no
/// answer if the connection had to be closed because this one is aborted.
const BUFFER_LIMIT_WITH_REQUESTS_BEHIND: usize = 1024 * 1024;

/// Answers to other requests skipped on a connection: one to a cancelled request, and its
/// duplicate.
const MAX_SKIPPED_ANSWERS: usize = 2;

/// Time for a head, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Upper limit on the wait for the first byte; the deadline of the request ends it earlier.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(60);

/// The unread part of the body of an answer that is too large to be buffered.
pub(crate) struct RemainingBody {
    pub(crate) connection: Connection,
    pub(crate) body: BodyState,
    /// Whether the server is in this instance's failure domain.
    pub(crate) is_local: bool,
    /// The request at the server that sends it; `None` if another instance does.
    pub(crate) running: Option<Running>,
    /// Whether the connection to the server broke before the end of the body.
    pub(crate) is_lost: bool,
}

/// A backend server's answer.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: Framing,
    /// The whole body, or the beginning of one that is too large to be buffered.
    pub(crate) start: Body,
    pub(crate) rest: Option<RemainingBody>,
}

/// Classification of an answer by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadVerdict {
    /// The answer to this request.
    Answer,
    /// The backend server did not run the request.
    NotRun,
    /// A different backend server has the address.
    OtherServer,
    /// The answer to another request.
    Foreign,
    /// The answer must not be forwarded.
    Invalid(&'static str),
}

/// Classifies the answer to the request `id`.
pub(crate) fn classify(
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
        return HeadVerdict::Invalid("encoded");
    }
    if head.status.is_success() && !has(&names.signature) {
        return HeadVerdict::Invalid("unsigned");
    }
    if head.status.is_success() && echoed.is_none() {
        return HeadVerdict::Invalid("unidentified");
    }
    if promises_not_run(head.status) {
        return HeadVerdict::Invalid("unproven_refusal");
    }
    HeadVerdict::Answer
}

/// Whether a status assures the caller that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Reads the head of the answer to the request `id`, skipping answers to other requests.
pub(crate) async fn read_head(
    connection: &mut Connection,
    names: &HeaderNames,
    method: &Method,
    id: Option<&http::HeaderValue>,
) -> Result<(ResponseHead, HeadVerdict), HttpError> {
    let times = HeadTimeouts { idle: FIRST_BYTE_TIMEOUT, head: HEAD_TIMEOUT };
    let mut skipped = 0;
    loop {
        let head = connection.read_final_response(times).await?;
        let verdict = classify(names, &head, id);
        if verdict != HeadVerdict::Foreign || skipped == MAX_SKIPPED_ANSWERS {
            return Ok((head, verdict));
        }
        skipped += 1;
        let framing = response_framing(method, head.status, &head.headers)?;
        if framing == Framing::UntilClose {
            return Ok((head, verdict));
        }
        let mut body = BodyState::new(framing);
        connection.skip_body(&mut body, BUFFER_LIMIT).await?;
    }
}

/// Idle time after which the server closes the connection, if it states one.
pub(crate) fn stated_idle(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Micros::from_secs)
}

/// Whether the server closes the connection after this answer.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    has_connection_option(headers, "close")
}

/// Reads the whole body, or its beginning if it exceeds the limit or the room for answers.
pub(crate) async fn read_start(
    call: &Call,
    connection: &mut Connection,
    body: &mut BodyState,
) -> Result<Body, HttpError> {
    let mut room = BodyRoom::empty(&call.instance, BodyOf::Answer);
    let Some(first) = connection.read_body(body).await? else { return Ok(Body::none()) };
    if body.is_complete() {
        return Ok(Body::new(first, room));
    }
    // Allocates once if the length is known: a growing buffer is copied several times and ends up
    // to twice as large.
    let known = first.len().saturating_add(body.known_remaining()).min(BUFFER_LIMIT);
    let has_room = room.grow_to(known);
    let mut start = BytesMut::with_capacity(if has_room { known } else { first.len() });
    start.extend_from_slice(&first);
    drop(first);
    while may_read_on(call, &mut room, start.len()) {
        match connection.read_body(body).await? {
            Some(piece) => start.extend_from_slice(&piece),
            None => break,
        }
    }
    if !body.is_complete() && start.len() >= BUFFER_LIMIT_WITH_REQUESTS_BEHIND {
        call.service.has_long_answers.set(true);
    }
    Ok(Body::new(start.freeze(), room))
}

/// Whether more is read of an answer of which `len` bytes were read.
fn may_read_on(call: &Call, room: &mut BodyRoom, len: usize) -> bool {
    let limit = match call.has_requests_behind.get() {
        true => BUFFER_LIMIT_WITH_REQUESTS_BEHIND,
        false => BUFFER_LIMIT,
    };
    len < MIN_BUFFERED || (len < limit && room.grow_to((len + MIN_BUFFERED).min(limit)))
}

/// Removes the headers that are not forwarded to the caller.
pub(crate) fn caller_headers(names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(&names.load);
    headers.remove(RESULT_HEADER);
    headers
}
