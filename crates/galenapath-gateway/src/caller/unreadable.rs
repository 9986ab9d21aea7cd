//! Answers to requests that cannot be read.

use crate::answer::{LocalAnswer, record_rejected};
use crate::caller::Caller;
use crate::instance::Instance;
use galenapath_http::HttpError;
use http::StatusCode;
use std::io::ErrorKind;

/// Answers a request that could not be read, unless the caller has closed the connection or sent
/// nothing. Returns whether it was answered. The connection must close afterwards, because the start
/// of the next request is unknown.
pub(crate) async fn reject_head(instance: &Instance, caller: &mut Caller, e: &HttpError) -> bool {
    let answer = match e {
        HttpError::Io(e) if e.kind() == ErrorKind::TimedOut => {
            LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_timeout")
        }
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => return false,
        HttpError::HeadTooLarge { .. } => {
            LocalAnswer::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        }
        // No request was begun on the idle connection, so no answer is expected.
        HttpError::HeadTimeout if !caller.connection.has_unread() => return false,
        HttpError::HeadTimeout => LocalAnswer::new(StatusCode::REQUEST_TIMEOUT, "head_timeout"),
        HttpError::BadHead(_) | HttpError::BadFraming(_) | HttpError::BodyTooLarge { .. } => {
            LocalAnswer::new(StatusCode::BAD_REQUEST, "bad_request")
        }
    };
    caller.keep_alive = false;
    caller.is_body_unread = true;
    caller.set_not_run();
    record_rejected(instance, None, "-", &answer);
    let sent = answer.send(instance, caller, None).await;
    if let Err(e) = &sent {
        log::debug!(error:% = e; "caller disconnected before its answer was sent");
    }
    sent.is_ok()
}
