//! Reading the bodies of requests.

use super::caller::Caller;
use bytes::{Bytes, BytesMut};
use galenapath_http::{BodyState, Connection, Framing, HttpError};
use std::time::Duration;

/// The result of reading a request's body up to a limit.
pub(super) enum BodyRead {
    Whole(Bytes),
    /// The body exceeds the limit: the part that was read, and the state for reading the rest.
    TooLarge {
        start: Bytes,
        state: BodyState,
    },
}

pub(super) async fn read_body(
    caller: &mut Caller,
    framing: Framing,
    limit: u64,
    idle_timeout: Duration,
) -> Result<BodyRead, HttpError> {
    let mut state = BodyState::new(framing);
    if matches!(framing, Framing::Length(n) if n > limit) {
        return Ok(BodyRead::TooLarge { start: Bytes::new(), state });
    }
    caller.send_continue().await?;
    let mut body = BytesMut::new();
    while let Some(piece) = read_piece(&mut caller.connection, &mut state, idle_timeout).await? {
        body.extend_from_slice(&piece);
        if body.len() as u64 > limit {
            return Ok(BodyRead::TooLarge { start: body.freeze(), state });
        }
    }
    Ok(BodyRead::Whole(body.freeze()))
}

/// Reads the next piece of a body; fails if none arrives within `idle_timeout`.
pub(super) async fn read_piece(
    connection: &mut Connection,
    state: &mut BodyState,
    idle_timeout: Duration,
) -> Result<Option<Bytes>, HttpError> {
    monoio::time::timeout(idle_timeout, connection.read_body(state))
        .await
        .unwrap_or_else(|_| Err(HttpError::Io(std::io::ErrorKind::TimedOut.into())))
}
