//! A caller's request.

use crate::dialect::HeaderNames;
use bytes::Bytes;
use galenapath_filings::Fingerprint;
use galenapath_http::{Framing, RequestHead, strip_hop_by_hop};
use galenapath_policy::CallerAttempt;
use galenapath_protocol::Micros;
use galenapath_routes::Route;
use http::Method;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use std::sync::Arc;

/// A request, read whole.
#[derive(Debug)]
pub(crate) struct Request {
    /// Number within this run of the instance.
    pub(crate) ticket: u64,
    /// Identifier that the caller gave it.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path: String,
    /// Headers for the backend server, but for those that each send sets anew.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    /// What makes two requests the same work.
    pub(crate) fingerprint: Fingerprint,
    /// Whether its caller has come back with it.
    pub(crate) chance: CallerAttempt,
    /// When the caller's first attempt arrived, as far as that is known.
    pub(crate) first_at: Micros,
    /// When its head was read.
    pub(crate) arrived: Micros,
    /// When an answer is no longer worth most, counted from the caller's first attempt.
    pub(crate) target_at: Micros,
    /// When its final answer is due: the caller's time or the route's has passed then.
    pub(crate) deadline: Micros,
}

impl Request {
    /// How the body is framed on the way to a backend server.
    pub(crate) fn framing(&self) -> Framing {
        match self.body.len() {
            0 => Framing::None,
            n => Framing::Length(n as u64),
        }
    }

    /// The identifier for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Path and query of a head.
pub(crate) fn path(head: &RequestHead) -> String {
    head.uri.path_and_query().map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned())
}

/// Time for which the caller says it waits.
pub(crate) fn time_left(names: &HeaderNames, headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(&names.time_left_ms)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    (ms >= 0.0 && ms.is_finite()).then_some(Micros((ms * 1_000.0) as u64))
}

/// Leaves the headers that pass to a backend server.
pub(crate) fn forwarded(names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(&names.expected_server);
    headers
}

/// Sets a header to a text without control characters.
pub(crate) fn set(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(e) => log::warn!(header:% = name, error:% = e; "a header cannot be set"),
    }
}
