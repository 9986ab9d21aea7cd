//! Checks whether a request may be sent, and records that one was answered.

use crate::call::Call;
use crate::instance::Instance;
use galenapath_filings::{Fingerprint, SuspectVerdict};
use galenapath_protocol::Micros;
use http::StatusCode;

/// A running crash suspect. Dropping it lets the next request with the same fingerprint run.
pub(crate) struct SuspectRun<'a> {
    instance: &'a Instance,
    request: Fingerprint,
}

impl Drop for SuspectRun<'_> {
    fn drop(&mut self) {
        self.instance.suspects.borrow_mut().end_isolated_run(self.request);
    }
}

/// Checks whether a request may run. Crash suspects with the same fingerprint run one at a time.
///
/// # Errors
///
/// Time after which the caller may retry, if the request is known to crash servers or another
/// suspect with its fingerprint is running.
pub(crate) fn check_suspect(call: &Call) -> Result<Option<SuspectRun<'_>>, Micros> {
    let instance = &call.instance;
    let request = call.req.fingerprint;
    let mut suspects = instance.suspects.borrow_mut();
    match suspects.check(instance.now(), request) {
        SuspectVerdict::Clear => Ok(None),
        SuspectVerdict::RunIsolated => {
            suspects.begin_isolated_run(request);
            Ok(Some(SuspectRun { instance, request }))
        }
        SuspectVerdict::Reject { retry_after } => Err(retry_after),
    }
}

/// Whether the request is known to crash servers. Checked before each send: a request that waits,
/// is retried or gets a hedge may have become known since it was admitted.
pub(crate) fn is_known_to_crash_servers(call: &Call) -> bool {
    call.instance.suspects.borrow().is_rejected(call.instance.now(), call.req.fingerprint)
}

/// Time after which the caller may send a request that is known to crash servers again.
pub(crate) fn rejected_for(call: &Call) -> Option<Micros> {
    match call.instance.suspects.borrow().check(call.instance.now(), call.req.fingerprint) {
        SuspectVerdict::Reject { retry_after } => Some(retry_after),
        SuspectVerdict::Clear | SuspectVerdict::RunIsolated => None,
    }
}

/// Records that a server has answered the request completely, so that the request did not crash it.
/// An error proves nothing: a server may fail requests without running them.
pub(crate) fn record_answer(call: &Call, status: StatusCode) {
    if !status.is_server_error() {
        let (now, request) = (call.instance.now(), call.req.fingerprint);
        call.instance.suspects.borrow_mut().record_answer(now, request);
        call.instance.recent_answers.borrow_mut().record(now, request);
    }
}
