//! Reads the bodies of callers' requests, and bounds the memory that bodies take together.
//!
//! Load pattern: large uploads from many slow callers at once, and many large answers, or answers
//! without end, at once. Each would take its size for as long as its caller sends or reads, and
//! instances have 112 MB. A request that does not fit is rejected before its body is read; of an
//! answer that does not fit, less is held. Requests and answers have a part of the memory each, so
//! that faulty servers leave room for uploads.

use crate::answer::LocalAnswer;
use crate::caller::Caller;
use crate::instance::Instance;
use crate::stop::stopping_answer;
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use galenapath_http::{BodyState, Framing, HttpError, RequestHead, expects_continue};
use galenapath_protocol::Micros;
use galenapath_routes::CallerLimits;
use http::StatusCode;
use std::cell::Cell;
use std::ops::Deref;
use std::pin::pin;
use std::rc::Rc;

/// `Retry-After` if the bodies in memory leave no room for another one.
const NO_ROOM_RETRY_AFTER: Micros = Micros::from_millis(250);

/// Part of the instance's memory for the bodies of requests, and for those of answers.
const MEMORY_PART: f64 = 0.125;

/// Bytes of bodies in memory.
#[derive(Default)]
pub(crate) struct BodyBytes {
    requests: Cell<usize>,
    answers: Cell<usize>,
}

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyOf {
    Request,
    Answer,
}

/// Bytes of bodies in memory; dropping it returns them.
pub(crate) struct BodyRoom {
    instance: Rc<Instance>,
    of: BodyOf,
    len: usize,
}

impl BodyRoom {
    /// Room for nothing yet.
    pub(crate) fn empty(instance: &Rc<Instance>, of: BodyOf) -> Self {
        Self { instance: Rc::clone(instance), of, len: 0 }
    }

    fn in_use(&self) -> &Cell<usize> {
        match self.of {
            BodyOf::Request => &self.instance.body_bytes.requests,
            BodyOf::Answer => &self.instance.body_bytes.answers,
        }
    }

    /// Enlarges it to `len` bytes; false if there is no room.
    pub(crate) fn grow_to(&mut self, len: usize) -> bool {
        let more = len.saturating_sub(self.len);
        if more == 0 {
            return true;
        }
        let in_use = self.in_use().get() + more;
        let limit = self.instance.settings().memory_mb * 1024.0 * 1024.0 * MEMORY_PART;
        // One body is always accepted, or none could be on a very small instance.
        if in_use as f64 > limit && in_use > more {
            return false;
        }
        self.in_use().set(in_use);
        self.len += more;
        true
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let in_use = self.in_use();
        in_use.set(in_use.get().saturating_sub(self.len));
    }
}

/// A whole body, or the beginning of one, and its room in memory.
pub(crate) struct Body {
    pub(crate) bytes: Bytes,
    _room: Option<BodyRoom>,
}

impl Body {
    /// The body of a message that has none.
    pub(crate) const fn none() -> Self {
        Self { bytes: Bytes::new(), _room: None }
    }

    /// A body that takes `room`.
    pub(crate) const fn new(bytes: Bytes, room: BodyRoom) -> Self {
        Self { bytes, _room: Some(room) }
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body. The inner error is the answer to a body that is too large or too late, or
/// for which there is no room.
pub(crate) async fn read(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    head: &RequestHead,
    framing: Framing,
    limits: &CallerLimits,
    deadline: Micros,
) -> Result<Result<Body, LocalAnswer>, HttpError> {
    if framing == Framing::None {
        return Ok(Ok(Body::none()));
    }
    let reading = pin!(read_whole(instance, caller, head, framing, limits, deadline));
    match select(reading, instance.stop.answers_due()).await {
        Either::Left((read, _)) => read,
        Either::Right(_) => Ok(Err(stopping_answer())),
    }
}

async fn read_whole(
    instance: &Rc<Instance>,
    caller: &mut Caller,
    head: &RequestHead,
    framing: Framing,
    limits: &CallerLimits,
    deadline: Micros,
) -> Result<Result<Body, LocalAnswer>, HttpError> {
    let too_large = LocalAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    let no_room = LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no_room_for_body")
        .with_retry_after(NO_ROOM_RETRY_AFTER);
    let known_len = match framing {
        Framing::Length(n) if n > limits.body_bytes => return Ok(Err(too_large)),
        Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
        Framing::None | Framing::Chunked | Framing::UntilClose => 0,
    };
    let mut room = BodyRoom::empty(instance, BodyOf::Request);
    if !room.grow_to(known_len) {
        return Ok(Err(no_room));
    }
    if expects_continue(head) {
        caller.connection.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        caller.connection.flush().await?;
    }
    let mut state = BodyState::new(framing);
    let mut body = BytesMut::new();
    loop {
        let left = deadline - instance.now();
        let piece = caller.connection.read_body(&mut state);
        match monoio::time::timeout(left.into(), piece).await {
            Ok(piece) => match piece? {
                Some(piece) => body.extend_from_slice(&piece),
                None => return Ok(Ok(Body::new(body.freeze(), room))),
            },
            Err(_) => {
                return Ok(Err(LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_timeout")));
            }
        }
        if body.len() as u64 > limits.body_bytes {
            return Ok(Err(too_large));
        }
        if !room.grow_to(body.len()) {
            return Ok(Err(no_room));
        }
    }
}
