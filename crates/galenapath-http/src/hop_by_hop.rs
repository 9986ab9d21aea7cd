//! Hop-by-hop headers, which apply to one connection and are not forwarded (RFC 9110, section
//! 7.6.1).

use http::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, UPGRADE,
};

const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, UPGRADE, EXPECT];

/// Hop-by-hop headers that older clients and proxies send.
const LEGACY_HOP_BY_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, including those listed in the `Connection` header.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in LEGACY_HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether the `Connection` header lists `option`, compared without regard to case.
pub fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(option))
}
