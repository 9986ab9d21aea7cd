//! Headers that are removed, added or set between callers and backend servers.

use super::request::RequestId;
use galenapath_http::strip_hop_by_hop;
use galenapath_protocol::{
    ATTEMPT_HEADER, BACKEND_HEADER, DEADLINE_HEADER, HOPS_HEADER, Micros, REPORT_HEADER,
    REQUEST_ID_HEADER, VERDICT_HEADER,
};
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// Headers that only galenapath itself may set. They are removed from what a caller or a backend
/// server sends.
const INTERNAL: [&str; 7] = [
    ATTEMPT_HEADER,
    VERDICT_HEADER,
    REQUEST_ID_HEADER,
    BACKEND_HEADER,
    REPORT_HEADER,
    DEADLINE_HEADER,
    HOPS_HEADER,
];

/// Removes headers that must not be passed on.
pub(super) fn strip(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in INTERNAL {
        headers.remove(name);
    }
}

/// Adds the headers that describe a request to a backend server.
pub(super) fn add_request(headers: &mut HeaderMap, id: RequestId, time_left: Micros) {
    set(headers, REQUEST_ID_HEADER, &id.to_string());
    set_deadline(headers, time_left);
}

/// Sets the remaining time until the deadline.
pub(super) fn set_deadline(headers: &mut HeaderMap, time_left: Micros) {
    set(headers, DEADLINE_HEADER, &(time_left.0 / 1_000).to_string());
}

/// Sets a header. A value that is not valid in a header is ignored.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
