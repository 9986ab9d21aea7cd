//! The end of a request without a backend server's answer.

use crate::attempt_error::AttemptError;
use crate::call::Call;
use crate::crash;
use crate::waiting::NoServer;
use galenapath_protocol::{Micros, Verdict};
use http::StatusCode;

/// `Retry-After` if no server can be reached; about the time until a crashed server is excluded.
const NO_SERVER_RETRY_AFTER: Micros = Micros::from_millis(250);

/// `Retry-After` if a server rejected a request although it appeared to have room and the retry
/// budget is spent. Short, because other servers may accept the request at once.
const REJECTED_RETRY_AFTER: Micros = Micros::from_millis(25);

/// The end of a request without a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestFailure {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) verdict: Verdict,
    /// When the caller may retry; only set if the request has not run.
    pub(crate) retry_after: Option<Micros>,
}

/// The failure for `reason`: status 503 if the request has not run, `may_have_run` otherwise.
pub(crate) fn failure(
    call: &Call,
    reason: &'static str,
    may_have_run: StatusCode,
) -> RequestFailure {
    match call.verdict() {
        Verdict::NotRun => RequestFailure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after(call)),
        },
        verdict => RequestFailure { status: may_have_run, reason, verdict, retry_after: None },
    }
}

/// Time until the caller may come back: other instances serve it at once if this one stops.
fn retry_after(call: &Call) -> Micros {
    if call.instance.is_stopping() { Micros::ZERO } else { NO_SERVER_RETRY_AFTER }
}

/// The failure of a request that must not be retried after `error`.
pub(crate) fn failure_after(call: &Call, error: Option<AttemptError>) -> RequestFailure {
    let reason = error.map_or("server_error", AttemptError::as_str);
    let mut failure = failure(call, reason, StatusCode::BAD_GATEWAY);
    failure.retry_after = failure.retry_after.map(|usual| match error {
        Some(AttemptError::Rejected) => REJECTED_RETRY_AFTER,
        Some(AttemptError::CrashesServers) => crash::rejected_for(call).unwrap_or(usual),
        Some(AttemptError::PeerRejected) => call.peer_retry_after.get().unwrap_or(usual),
        _ => usual,
    });
    failure
}

/// The failure of a request for which there is no server.
pub(crate) fn failure_without_server(call: &Call, no_server: NoServer) -> RequestFailure {
    add_shortage_step(call);
    match no_server {
        NoServer::Rejected(rejection) => {
            let predicted_ms = rejection.predicted_wait.0 / 1_000;
            call.add_step(&format!("refused:predicted{predicted_ms}ms "));
            let mut failure = failure(call, "no_room", StatusCode::BAD_GATEWAY);
            failure.retry_after = failure.retry_after.map(|_| rejection.retry_after);
            failure
        }
        NoServer::Unavailable => {
            let mut failure = failure(call, "no_server", StatusCode::BAD_GATEWAY);
            failure.retry_after =
                failure.retry_after.map(|usual| time_until_accepting(call).unwrap_or(usual));
            failure
        }
    }
}

/// Time until a server accepts requests again; `None` if that is unknown or a server accepts now.
fn time_until_accepting(call: &Call) -> Option<Micros> {
    let placement = call.service.placement.borrow();
    let wait = placement.time_until_accepting(call.instance.now(), &[])?;
    (wait > Micros::ZERO).then_some(wait)
}

/// Adds the reason why most servers get no requests to the steps in the log line.
fn add_shortage_step(call: &Call) {
    let shortage = call.service.placement.borrow().shortage(call.instance.now());
    if let Some(shortage) = shortage {
        call.add_step(&format!("{} ", shortage.as_str()));
    }
}
