//! The end of connections from callers.
//!
//! Load pattern: callers keep idle connections open and send a request on one at any moment, also
//! when it is about to close. A request that has been read is served. One that has not stays unread:
//! its caller can tell, and sends it again elsewhere.

use crate::caller::departure::record_close;
use crate::caller::{Caller, CallerKind};
use crate::instance::Instance;
use crate::open::OpenRequest;
use futures::future::{Either, select};
use galenapath_http::{CloseEnd, HttpError};
use std::future::pending;
use std::pin::pin;
use std::time::Duration;

/// Time for the delivery of the last answer on a connection. Twice what the largest answer that is
/// sent in one piece takes on a link of 1 Mbit/s; an idle connection is kept for longer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a connection has to be closed.
pub(crate) enum Ending {
    /// It is idle.
    Idle,
    /// The last request on it was answered.
    Answered(OpenRequest),
    /// A request on it got no answer, or not all of it.
    Broken,
}

impl Ending {
    /// The end after a request that was answered if there is one.
    pub(crate) fn after(answered: Option<OpenRequest>) -> Self {
        answered.map_or(Self::Broken, Self::Answered)
    }
}

impl Caller {
    /// Reads ahead once while a request is in progress.
    ///
    /// A caller that sends no more to an instance that stops waits for its last answers, because the
    /// instance is no longer among its addresses. At other times it has left, and so has another
    /// instance.
    ///
    /// # Errors
    ///
    /// If the caller has left.
    pub(crate) async fn read_ahead(&mut self, instance: &Instance) -> Result<(), HttpError> {
        if !self.is_input_ended {
            match self.connection.read_ahead().await {
                Err(HttpError::Closed) if self.may_wait(instance) => self.is_input_ended = true,
                read => return read,
            }
        }
        pending().await
    }

    fn may_wait(&self, instance: &Instance) -> bool {
        instance.is_stopping() && self.kind == CallerKind::Caller
    }

    /// Resolves when the caller has left. Requests that arrive meanwhile are kept.
    pub(crate) async fn left(&mut self, instance: &Instance) {
        while self.read_ahead(instance).await.is_ok() {}
    }
}

/// Closes the connection.
pub(crate) async fn close(instance: &Instance, caller: &mut Caller, ending: Ending) {
    let answered = match ending {
        // What arrives from now on has to stay unread.
        Ending::Idle => return,
        Ending::Answered(open) => Some(open),
        Ending::Broken => None,
    };
    if let Some(open) = &answered {
        open.deliver();
    }
    let end = deliver(instance, caller).await;
    if let Some(open) = &answered {
        record_close(instance, open, end);
    }
}

/// Waits until the caller has closed the connection as well, which shows that it has all that was
/// sent. At the end of the process the kernel goes on with the delivery, unless input is unread.
async fn deliver(instance: &Instance, caller: &mut Caller) -> CloseEnd {
    let connection = &mut caller.connection;
    // Many callers look for the answer only after they have sent the whole body.
    if caller.is_body_unread {
        return connection.close(DELIVERY_TIMEOUT).await;
    }
    let end = {
        let finished = pin!(connection.finish(DELIVERY_TIMEOUT));
        match select(finished, instance.stop.ending()).await {
            Either::Left((end, _)) => return end,
            Either::Right(_) => CloseEnd::TimedOut,
        }
    };
    connection.discard_arrived();
    end
}
