//! Which headers pass from one side to the other.

use super::request::RequestId;
use galenapath_protocol::{
    ATTEMPT_HEADER, BACKEND_HEADER, DEADLINE_HEADER, HOPS_HEADER, Micros, REPORT_HEADER,
    REQUEST_ID_HEADER, VERDICT_HEADER,
};
use http::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, UPGRADE,
};

/// Headers about one connection, which never pass (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, UPGRADE, EXPECT];

/// Older names of hop-by-hop headers.
const OLD_HOP_BY_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];

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
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in OLD_HOP_BY_HOP.iter().chain(&INTERNAL) {
        headers.remove(*name);
    }
}

/// Whether the `Connection` header has `token`.
pub(super) fn connection_has(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|found| found.trim().eq_ignore_ascii_case(token))
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
