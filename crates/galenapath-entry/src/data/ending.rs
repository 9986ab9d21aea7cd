//! The end of a request: metrics, log and explanation.

use super::answer::{About, OwnAnswer};
use super::caller::Caller;
use super::explain::Trace;
use super::plane::DataPlane;
use super::request::RequestMeta;
use galenapath_http::HttpError;
use galenapath_policy::Outcome;
use galenapath_protocol::Verdict;
use http::StatusCode;

/// Sends an own answer and remembers why.
pub(super) async fn refuse(
    plane: &DataPlane,
    caller: &mut Caller,
    meta: &RequestMeta,
    trace: Trace,
    answer: &OwnAnswer,
) -> Result<(), HttpError> {
    let metrics = &plane.shared.metrics;
    metrics.rejections.with_label_values(&[&meta.class.name, answer.reason]).inc();
    let about = About { id: meta.id, attempts: trace.attempts };
    remember(plane, meta, trace, answer.status.as_u16(), answer.verdict, answer.reason);
    answer.send(caller, Some(about)).await
}

pub(super) fn remember(
    plane: &DataPlane,
    meta: &RequestMeta,
    trace: Trace,
    status: u16,
    verdict: Verdict,
    reason: &str,
) {
    plane.shared.metrics.answered(&meta.class.name, verdict);
    log::debug!(
        request:% = meta.id, class = meta.class.name.as_str(), workspace = meta.workspace.as_str(),
        status, verdict = verdict.as_str(), reason;
        "request ended"
    );
    let explanation = trace.explain(meta, plane.now(), status, verdict, reason);
    plane.history.borrow_mut().push(meta.number, explanation);
}

pub(super) fn observe_latency(plane: &DataPlane, meta: &RequestMeta) {
    let took = (plane.now() - meta.arrived).as_millis_f64() / 1_000.0;
    plane.shared.metrics.latency.with_label_values(&[&meta.class.name]).observe(took);
}

/// What an answered request says about the backend server.
pub(super) fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() { Outcome::FastFailure } else { Outcome::Answered }
}
