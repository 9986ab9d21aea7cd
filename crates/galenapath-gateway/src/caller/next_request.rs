//! Reads the next request on a connection under the limits that are in force when it arrives.
//!
//! Load pattern: callers keep connections for many requests, and a new configuration comes into
//! force while these are idle. A connection that kept the limits from before would reject what the
//! operator allows by now.

use crate::caller::{Caller, CallerKind};
use crate::forwarding;
use crate::instance::{Instance, Stage};
use futures::future::{Either, select};
use galenapath_http::{Connection, HeadTimeouts, HttpError, RequestHead};
use galenapath_routes::CallerLimits;
use std::pin::pin;

/// The limits in force on what callers send.
pub(crate) fn limits(instance: &Instance) -> CallerLimits {
    *instance.state.borrow().table().limits()
}

/// Reads the head of the next request.
pub(crate) async fn read(
    instance: &Instance,
    caller: &mut Caller,
) -> Result<RequestHead, HttpError> {
    wait_for_first_byte(instance, &mut caller.connection).await?;
    let limits = limits(instance);
    let added = match caller.kind {
        CallerKind::Caller => 0,
        CallerKind::Peer => forwarding::HEADER_LEN,
    };
    caller.connection.set_head_limit(limits.header_bytes + added);
    let times = HeadTimeouts { idle: limits.idle_timeout, head: limits.header_timeout };
    caller.connection.read_request(times).await
}

/// Waits for the first byte of a request. When the instance closes, only one is read that has arrived.
async fn wait_for_first_byte(
    instance: &Instance,
    connection: &mut Connection,
) -> Result<(), HttpError> {
    if instance.stage.get() != Stage::Closing {
        let waiting = pin!(wait_while_idle(instance, connection));
        if let Either::Left((result, _)) = select(waiting, instance.stop.closing()).await {
            return result;
        }
    }
    if connection.has_unread() || connection.has_arrived() {
        return connection.wait_for_input(limits(instance).idle_timeout).await;
    }
    Err(HttpError::Closed)
}

async fn wait_while_idle(
    instance: &Instance,
    connection: &mut Connection,
) -> Result<(), HttpError> {
    let since = instance.now();
    loop {
        let left = since + limits(instance).idle_timeout.into() - instance.now();
        let result = connection.wait_for_input(left.into()).await;
        let is_extended = instance.now() < since + limits(instance).idle_timeout.into();
        if !is_extended || !matches!(result, Err(HttpError::HeadTimeout)) {
            return result;
        }
    }
}
