//! Headers that concern one connection and never pass from one side to the other (RFC 9110,
//! section 7.6.1).

use http::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, UPGRADE,
};

const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, UPGRADE, EXPECT];

/// Older names of hop-by-hop headers.
const OLD_HOP_BY_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, also those that the `Connection` header names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
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
    for name in OLD_HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether the `Connection` header has `token`.
pub fn has_connection_option(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|found| found.trim().eq_ignore_ascii_case(token))
}
