//! Answers for requests that no backend server answered.

use super::answer::OwnAnswer;
use super::attempt::Fault;
use galenapath_config::ClassKind;
use galenapath_filings::SuspectVerdict;
use galenapath_http::HttpError;
use galenapath_policy::{RejectReason, Rejection, RequestKind};
use galenapath_protocol::{Micros, Verdict};
use http::StatusCode;

/// What callers are told to wait when no backend server can take the request and nothing better
/// is known.
const NO_BACKEND_RETRY: Micros = Micros::from_millis(500);

/// The kind of a class, as the rules of retries name it.
pub(super) const fn kind_of(kind: ClassKind) -> RequestKind {
    match kind {
        ClassKind::Lookup => RequestKind::Lookup,
        ClassKind::Filing => RequestKind::Filing,
        ClassKind::Transfer => RequestKind::Transfer,
    }
}

/// The answer to a request that was not let in.
pub(super) fn turn_away(rejection: &Rejection) -> OwnAnswer {
    let (status, reason, text) = match rejection.reason {
        RejectReason::QueueFull => {
            (StatusCode::SERVICE_UNAVAILABLE, "queue_full", "the service is overloaded")
        }
        RejectReason::WontMeetTarget => (
            StatusCode::SERVICE_UNAVAILABLE,
            "wont_meet_target",
            "the service is overloaded; the request would have been late",
        ),
        RejectReason::DeadlinePassed => {
            (StatusCode::GATEWAY_TIMEOUT, "deadline_passed", "the deadline passed in the queue")
        }
        RejectReason::OverShare => (
            StatusCode::TOO_MANY_REQUESTS,
            "over_share",
            "the workspace uses more than its share of an overloaded service",
        ),
        RejectReason::Draining => {
            (StatusCode::SERVICE_UNAVAILABLE, "draining", "the instance is stopping; use another")
        }
    };
    OwnAnswer::not_run(status, reason, text).retry_after(rejection.retry_after)
}

/// The answer when no backend server may be given the request; `ran` is the worst verdict of the
/// attempts before.
pub(super) fn no_backend(ran: Verdict) -> OwnAnswer {
    let answer = OwnAnswer::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_backend",
        "no backend server of the service can take the request now",
    );
    OwnAnswer { verdict: ran, ..answer }.retry_after(NO_BACKEND_RETRY)
}

/// The answer to a request that is suspected of crashing the backend servers that run it.
pub(super) fn suspect(verdict: SuspectVerdict) -> OwnAnswer {
    let retry_after = match verdict {
        SuspectVerdict::Reject { retry_after } => retry_after,
        SuspectVerdict::Clear | SuspectVerdict::RunIsolated => NO_BACKEND_RETRY,
    };
    OwnAnswer::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "suspect",
        "backend servers crashed while they ran this request; it is held back for now",
    )
    .retry_after(retry_after)
}

/// The answer when the last attempt gave none; `ran` is the worst verdict of those before it.
pub(super) fn failed(fault: &Fault, ran: Verdict) -> OwnAnswer {
    let (status, reason) = match fault {
        Fault::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "timed_out"),
        Fault::Shed => (StatusCode::SERVICE_UNAVAILABLE, "backend_shed"),
        Fault::Connect(_) | Fault::Withdrawn => {
            (StatusCode::SERVICE_UNAVAILABLE, "backend_unreachable")
        }
        Fault::Http(_) => (StatusCode::BAD_GATEWAY, "backend_failed"),
        Fault::Caller(HttpError::Io(_)) => (StatusCode::REQUEST_TIMEOUT, "body_timeout"),
        Fault::Caller(_) => (StatusCode::BAD_REQUEST, "bad_request"),
    };
    let text = fault.to_string();
    let answer = match worst(ran, fault.verdict()) {
        Verdict::NotRun => OwnAnswer::not_run(status, reason, &text),
        Verdict::Answered | Verdict::MayHaveRun => OwnAnswer::may_have_run(status, reason, &text),
    };
    answer.retry_after(NO_BACKEND_RETRY)
}

/// The verdict on a request after two attempts that gave no answer.
pub(super) const fn worst(a: Verdict, b: Verdict) -> Verdict {
    match (a, b) {
        (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}
