//! Answers for requests that no backend server answered.

use super::answer::OwnAnswer;
use super::attempt::AttemptError;
use galenapath_config::ClassKind;
use galenapath_filings::SuspectVerdict;
use galenapath_http::HttpError;
use galenapath_policy::{RejectReason, Rejection, RequestKind};
use galenapath_protocol::{Micros, Verdict};
use http::StatusCode;

/// Time after which callers may retry when no backend server can take the request and no better
/// estimate is available.
const NO_BACKEND_RETRY_AFTER: Micros = Micros::from_millis(500);

/// Returns the kind of request, as the retry rules use it, for a kind of class.
pub(super) const fn kind_of(kind: ClassKind) -> RequestKind {
    match kind {
        ClassKind::Lookup => RequestKind::Lookup,
        ClassKind::Filing => RequestKind::Filing,
        ClassKind::Transfer => RequestKind::Transfer,
    }
}

/// Returns the answer to a request that admission rejected.
pub(super) fn admission_rejected(rejection: &Rejection) -> OwnAnswer {
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
    OwnAnswer::not_run(status, reason, text).with_retry_after(rejection.retry_after)
}

/// Returns the answer when no backend server can be chosen; `ran` is the combined verdict of the
/// attempts so far.
pub(super) fn no_backend(ran: Verdict) -> OwnAnswer {
    let answer = OwnAnswer::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_backend",
        "no backend server of the service can take the request now",
    );
    OwnAnswer { verdict: ran, ..answer }.with_retry_after(NO_BACKEND_RETRY_AFTER)
}

/// Returns the answer to a request that is rejected as a crash suspect.
pub(super) fn suspect(verdict: SuspectVerdict) -> OwnAnswer {
    let retry_after = match verdict {
        SuspectVerdict::Reject { retry_after } => retry_after,
        SuspectVerdict::Clear | SuspectVerdict::RunIsolated => NO_BACKEND_RETRY_AFTER,
    };
    OwnAnswer::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "suspect",
        "backend servers crashed while they ran this request; it is held back for now",
    )
    .with_retry_after(retry_after)
}

/// Returns the answer when the last attempt failed with `error`; `ran` is the combined verdict of
/// the attempts before it.
pub(super) fn failed(error: &AttemptError, ran: Verdict) -> OwnAnswer {
    let (status, reason) = match error {
        AttemptError::Stopping if ran == Verdict::NotRun => return stopping(),
        AttemptError::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "timed_out"),
        AttemptError::Shed => (StatusCode::SERVICE_UNAVAILABLE, "backend_shed"),
        AttemptError::Connect(_) | AttemptError::Withdrawn | AttemptError::Stopping => {
            (StatusCode::SERVICE_UNAVAILABLE, "backend_unreachable")
        }
        AttemptError::Http(_) => (StatusCode::BAD_GATEWAY, "backend_failed"),
        AttemptError::Caller(HttpError::Io(_)) => (StatusCode::REQUEST_TIMEOUT, "body_timeout"),
        AttemptError::Caller(_) => (StatusCode::BAD_REQUEST, "bad_request"),
    };
    let text = error.to_string();
    let answer = match worse(ran, error.verdict()) {
        Verdict::NotRun => OwnAnswer::not_run(status, reason, &text),
        Verdict::Answered | Verdict::MayHaveRun => OwnAnswer::may_have_run(status, reason, &text),
    };
    answer.with_retry_after(NO_BACKEND_RETRY_AFTER)
}

/// Returns the answer to a request that cannot end before the process does, and was not run.
pub(super) fn stopping() -> OwnAnswer {
    let text = "the instance is stopping; use another";
    OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", text)
        .with_retry_after(Micros::ZERO)
}

/// Returns the answer to a filing that cannot end before the process does, and was not run. Only
/// this instance runs keys with its prefix.
pub(super) fn filing_while_stopping() -> OwnAnswer {
    let text = "the instance is stopping; use another, with a new key that has its prefix";
    OwnAnswer { text: text.to_owned(), ..stopping() }
}

/// Returns the answer to a request that is still in progress when the process is about to end.
pub(super) fn cut_by_stop(may_have_run: bool) -> OwnAnswer {
    const REASON: &str = "cut_by_stop";
    if !may_have_run {
        return OwnAnswer { reason: REASON, ..stopping() };
    }
    let text = "the instance is stopping, and the request has not ended in time";
    OwnAnswer::may_have_run(StatusCode::BAD_GATEWAY, REASON, text).with_retry_after(Micros::ZERO)
}

/// Returns the combined verdict of two attempts that produced no answer: not run only if neither
/// may have run.
pub(super) const fn worse(a: Verdict, b: Verdict) -> Verdict {
    match (a, b) {
        (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}
