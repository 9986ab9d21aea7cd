//! Replies to calls.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use monoio_http::h1::payload::{FixedPayload, Payload, PayloadError};
use serde::Serialize;

/// How a call ends.
pub(super) enum Reply {
    /// With an answer.
    Answer(Answer),
    /// The connection closes without an answer.
    Close,
}

/// Contents of an HTTP answer.
pub(super) struct Answer {
    pub status: StatusCode,
    pub index: Option<u64>,
    pub body: Bytes,
}

impl Reply {
    pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::Answer(Answer { status, index: None, body: text.into() })
    }

    pub(super) fn boolean(value: bool) -> Self {
        Self::text(StatusCode::OK, if value { "true\n" } else { "false\n" })
    }

    pub(super) fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::text(StatusCode::OK, body),
            Err(e) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    pub(super) fn with_index(self, index: u64) -> Self {
        match self {
            Self::Answer(answer) => Self::Answer(Answer { index: Some(index), ..answer }),
            Self::Close => Self::Close,
        }
    }
}

impl From<Answer> for Response<Payload<Bytes, PayloadError>> {
    fn from(answer: Answer) -> Self {
        let body = match answer.body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(answer.body)),
        };
        let mut response = Self::new(body);
        *response.status_mut() = answer.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        if let Some(index) = answer.index {
            headers.insert("x-consul-index", index.into());
        }
        response
    }
}
