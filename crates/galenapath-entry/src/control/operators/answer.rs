//! HTTP answers to operators.

use galenapath_config::wire::{ErrorCodeWire, ErrorWire, MarkWire, VerdictWire};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use serde::Serialize;

/// An HTTP answer with a complete body.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) content_type: &'static str,
    pub(super) body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds.
    pub(super) retry_after_s: Option<u64>,
}

impl Answer {
    pub(super) fn text(status: StatusCode, body: &str) -> Self {
        let body = body.as_bytes().to_vec();
        Self { status, content_type: "text/plain", body, retry_after_s: None }
    }

    pub(super) fn json<T: Serialize>(status: StatusCode, document: &T) -> Self {
        match serde_json::to_vec(document) {
            Ok(body) => {
                Self { status, content_type: "application/json", body, retry_after_s: None }
            }
            Err(e) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }

    /// Creates an error answer to a request that changed nothing.
    pub(super) fn error(status: StatusCode, code: ErrorCodeWire, message: String) -> Self {
        Self::failure(status, code, message, VerdictWire::NotRun, None)
    }

    /// Creates an error answer with a verdict on whether the request may have changed something.
    pub(super) fn failure(
        status: StatusCode,
        code: ErrorCodeWire,
        message: String,
        verdict: VerdictWire,
        newer: Option<MarkWire>,
    ) -> Self {
        Self::json(status, &ErrorWire { code, message, verdict, newer })
    }

    pub(super) fn with_retry_after(self, seconds: u64) -> Self {
        Self { retry_after_s: Some(seconds), ..self }
    }

    pub(super) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, seconds.into());
        }
        headers
    }
}
