//! Waiting for the next request on a caller's connection.

use super::open::Phase;
use super::plane::DataPlane;
use futures::future::{Either, select};
use galenapath_http::{Connection, HeadTimeouts, HttpError, RequestHead};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Time for which a connection that was accepted while the listener closed may stay silent. Its
/// caller has connected to send a request.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Reads the next request; `is_first` on a connection without a request so far.
///
/// An idle connection ends with `Closed` once the instance closes its connections. A request that
/// has begun to arrive by then is read.
///
/// # Errors
///
/// Like [`Connection::read_request`].
pub(super) async fn next_request(
    plane: &Rc<DataPlane>,
    connection: &mut Connection,
    is_first: bool,
) -> Result<RequestHead, HttpError> {
    let limits = &plane.shared.settings.limits;
    let times = HeadTimeouts { idle: limits.idle_timeout, head: limits.header_timeout };
    {
        let _accepting = plane.stopping.accept();
        let read = pin!(connection.read_request(times));
        if let Either::Left((read, _)) = select(read, plane.stopping.closing.wait()).await {
            return read;
        }
    }
    let _open = plane.open.begin(plane.now(), Phase::Reading);
    // The socket is asked, since the runtime may not have seen yet what has arrived.
    let idle = match (connection.is_stale(), is_first) {
        (true, _) => times.idle,
        (false, true) => FIRST_REQUEST_WAIT,
        (false, false) => return Err(HttpError::Closed),
    };
    let read = {
        let read = pin!(connection.read_request(HeadTimeouts { idle, ..times }));
        match select(read, plane.stopping.last_answers.wait()).await {
            Either::Left((read, _)) => read,
            Either::Right(_) => Err(HttpError::Closed),
        }
    };
    match read {
        Err(HttpError::HeadTimeout) if !connection.has_unread() => Err(HttpError::Closed),
        read => read,
    }
}
