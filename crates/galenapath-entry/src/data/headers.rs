//! Which headers pass from one side to the other.

use super::request::RequestId;
use galenapath_http::strip_hop_by_hop;
use galenapath_protocol::{
    ATTEMPT_HEADER, BACKEND_HEADER, DEADLINE_HEADER, HOPS_HEADER, Micros, REPORT_HEADER,
    REQUEST_ID_HEADER, VERDICT_HEADER,
};
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// Headers that only galenapath itself may set; what a caller or a backend server sends under
/// these names is dropped.
const INTERNAL: [&str; 7] = [
    ATTEMPT_HEADER,
    VERDICT_HEADER,
    REQUEST_ID_HEADER,
    BACKEND_HEADER,
    REPORT_HEADER,
    DEADLINE_HEADER,
    HOPS_HEADER,
];

/// Removes headers that must not pass to the other side.
pub(super) fn strip(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in INTERNAL {
        headers.remove(name);
    }
}

/// Adds what a backend server gets to know about a request.
pub(super) fn add_request(headers: &mut HeaderMap, id: RequestId, left: Micros) {
    set(headers, REQUEST_ID_HEADER, &id.to_string());
    set_deadline(headers, left);
}

/// Sets the time left.
pub(super) fn set_deadline(headers: &mut HeaderMap, left: Micros) {
    set(headers, DEADLINE_HEADER, &(left.0 / 1_000).to_string());
}

/// Sets a header to a text that is known to be valid in a header.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
