//! Answers that the instance generates itself.

use super::caller::Caller;
use super::headers::set;
use super::request::RequestId;
use bytes::BytesMut;
use galenapath_http::{Framing, HttpError, put_response};
use galenapath_protocol::{ATTEMPT_HEADER, Micros, REQUEST_ID_HEADER, VERDICT_HEADER, Verdict};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode};

/// Header with the time after which a caller may retry, in milliseconds; `Retry-After` has whole
/// seconds only.
const RETRY_AFTER_MS: &str = "galenapath-retry-after-ms";

/// Content type of the text that explains an answer to a person.
const PLAIN_TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// What the headers of an own answer state about its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestInfo {
    pub(super) id: RequestId,
    /// Attempts made over the whole chain of calls.
    pub(super) attempts: u32,
}

/// An answer that the instance generates itself instead of passing on one of a backend server.
#[derive(Clone, Debug)]
pub(super) struct OwnAnswer {
    pub(super) status: StatusCode,
    pub(super) verdict: Verdict,
    /// Time after which the caller may retry.
    pub(super) retry_after: Option<Micros>,
    /// Reason, as a label for metrics and `galenactl explain`.
    pub(super) reason: &'static str,
    /// Body: what happened and what to do, for a person.
    pub(super) text: String,
}

impl OwnAnswer {
    /// Creates an answer to a request that was not run.
    pub(super) fn not_run(status: StatusCode, reason: &'static str, text: &str) -> Self {
        Self { status, verdict: Verdict::NotRun, retry_after: None, reason, text: text.to_owned() }
    }

    /// Creates an answer to a request that may have run.
    pub(super) fn may_have_run(status: StatusCode, reason: &'static str, text: &str) -> Self {
        Self { verdict: Verdict::MayHaveRun, ..Self::not_run(status, reason, text) }
    }

    /// Sets the time after which the caller may retry.
    pub(super) fn with_retry_after(mut self, after: Micros) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sends the answer.
    pub(super) async fn send(
        &self,
        caller: &mut Caller,
        request: Option<RequestInfo>,
    ) -> Result<(), HttpError> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, PLAIN_TEXT);
        set(&mut headers, VERDICT_HEADER, self.verdict.as_str());
        if let Some(request) = request {
            set(&mut headers, REQUEST_ID_HEADER, &request.id.to_string());
            set(&mut headers, ATTEMPT_HEADER, &request.attempts.to_string());
        }
        if let Some(after) = self.retry_after {
            let seconds = after.0.div_ceil(1_000_000);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            set(&mut headers, RETRY_AFTER_MS, &after.0.div_ceil(1_000).to_string());
        }
        let body = format!("{}\n", self.text);
        send_whole(caller, self.status, headers, body.as_bytes()).await
    }
}

/// Sends an answer whose whole body is in memory.
pub(super) async fn send_whole(
    caller: &mut Caller,
    status: StatusCode,
    mut headers: HeaderMap,
    body: &[u8],
) -> Result<(), HttpError> {
    caller.set_connection_header(&mut headers);
    let framing = if body.is_empty() { Framing::None } else { Framing::Length(body.len() as u64) };
    let is_head = caller.method == Method::HEAD;
    let out: &mut BytesMut = caller.connection.output();
    put_response(out, status, &headers, framing, !has_no_body(status));
    if !is_head && !has_no_body(status) {
        out.extend_from_slice(body);
    }
    caller.connection.flush().await
}

/// Returns whether an answer with this status has neither a body nor a length.
pub(super) fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}
