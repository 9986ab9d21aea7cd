//! Answers of the instance itself, and the log line about each request.

use crate::call::Call;
use crate::caller::Caller;
use crate::exchange::Failure;
use crate::instance::Instance;
use bytes::Bytes;
use galenapath_http::{Framing, HttpError, put_response};
use galenapath_policy::LogLineKind;
use galenapath_protocol::{Micros, Verdict};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode};

/// An answer that no backend server made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnAnswer {
    pub(crate) status: StatusCode,
    /// Short name of the reason, for callers and logs.
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Micros>,
}

impl OwnAnswer {
    /// An answer to a request that has not run.
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Lets the caller come back after `span`.
    pub(crate) const fn after(mut self, span: Micros) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Sends the answer.
    pub(crate) async fn send(
        &self,
        instance: &Instance,
        caller: &mut Caller,
        id: Option<&HeaderValue>,
    ) -> Result<(), HttpError> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(id) = id {
            headers.insert(instance.names.request_id.clone(), id.clone());
        }
        if let Some(value) = self.retry_after.and_then(seconds) {
            headers.insert(RETRY_AFTER, value);
        }
        caller.set_connection(&mut headers);
        let body = format!("{{\"error\":\"{}\"}}", self.reason);
        send_whole(caller, self.status, &headers, &Bytes::from(body)).await
    }
}

impl From<Failure> for OwnAnswer {
    fn from(failure: Failure) -> Self {
        let Failure { status, reason, retry_after, .. } = failure;
        Self { status, reason, retry_after }
    }
}

fn seconds(span: Micros) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", span.0 as f64 / 1e6)).ok()
}

/// Sends an answer whose body is known.
pub(crate) async fn send_whole(
    caller: &mut Caller,
    status: StatusCode,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<(), HttpError> {
    let has_body = caller.method != Method::HEAD
        && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framing = match body.len() {
        0 => Framing::None,
        n => Framing::Length(n as u64),
    };
    put_response(caller.connection.output(), status, headers, framing, has_body);
    if !has_body {
        return caller.connection.flush().await;
    }
    caller.connection.flush_with(body.clone()).await
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End {
    pub(crate) status: StatusCode,
    pub(crate) outcome: &'static str,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Micros>,
}

/// Counts the end of a request and writes its log line.
pub(crate) fn note_end(call: &Call, end: &End) {
    let instance = &call.instance;
    let req = &call.req;
    let now = instance.now();
    let took = now - req.arrived;
    let kind = req.route.kind.as_str();
    let metrics = &instance.metrics;
    metrics.answers.with_label_values(&[kind, end.outcome]).inc();
    let labels = [kind, call.service.name.as_str()];
    metrics.latency.with_label_values(&labels).observe(took.as_millis_f64() / 1_000.0);
    let waited = call.waited.get();
    metrics.wait.with_label_values(&labels).observe(waited.as_millis_f64() / 1_000.0);
    let is_good = end.status.is_success() && now <= req.target_at;
    if !instance.may_log(if is_good { LogLineKind::Success } else { LogLineKind::Failure }) {
        return;
    }
    let config = instance.state.borrow().table().version();
    log::info!(
        request = req.id_text(),
        route = req.route.name.as_str(),
        service = call.service.name.as_str(),
        status = end.status.as_u16(),
        outcome = end.outcome,
        verdict:% = end.verdict,
        took_ms = took.0 / 1_000,
        waited_ms = waited.0 / 1_000,
        target_ms = (req.target_at - req.arrived).0 / 1_000,
        time_ms = (req.deadline - req.arrived).0 / 1_000,
        retry_after_ms = end.retry_after.map_or(0, |span| span.0 / 1_000),
        sends = call.sends(),
        config,
        steps = call.steps();
        "request ended"
    );
}

/// Writes the log line of a request that was answered before it had a service.
pub(crate) fn note_refused(
    instance: &Instance,
    id: Option<&HeaderValue>,
    target: &str,
    answer: &OwnAnswer,
) {
    instance.metrics.answers.with_label_values(&["none", answer.reason]).inc();
    if !instance.may_log(LogLineKind::Failure) {
        return;
    }
    let request = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    let (status, reason) = (answer.status.as_u16(), answer.reason);
    let config = instance.state.borrow().table().version();
    log::info!(request, target, status, reason, config; "request not taken");
}
