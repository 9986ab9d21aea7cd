//! Host, keep-alive and `Expect` of a request's head.

use crate::{RequestHead, has_connection_option};
use http::Version;
use http::header::{EXPECT, HOST};
use thiserror::Error;

/// Why a request is rejected although its head is well-formed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// An unsupported version of HTTP.
    #[error("only HTTP/1.1 and HTTP/1.0 are spoken here")]
    Version,
    /// No host or more than one host.
    #[error("exactly one Host header is needed")]
    Host,
    /// A target that is neither a path nor an absolute URI.
    #[error("the target must be a path or an absolute address")]
    Target,
}

impl BadRequest {
    /// Identifier for logs and responses.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Version => "http_version",
            Self::Host => "bad_host",
            Self::Target => "bad_target",
        }
    }
}

/// Returns the host of a request without its port; empty for HTTP/1.0 without a host.
///
/// # Errors
///
/// If the version, the target or the number of hosts is not acceptable. With several hosts, two
/// implementations could disagree on which one applies.
pub fn request_host(head: &RequestHead) -> Result<&str, BadRequest> {
    if !matches!(head.version, Version::HTTP_11 | Version::HTTP_10) {
        return Err(BadRequest::Version);
    }
    if !head.uri.path().starts_with('/') {
        return Err(BadRequest::Target);
    }
    let mut values = head.headers.get_all(HOST).iter();
    let host = match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().map_err(|_| BadRequest::Host)?,
        (None, None) if head.version == Version::HTTP_10 => "",
        _ => return Err(BadRequest::Host),
    };
    let host = head.uri.host().unwrap_or(host);
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => Ok(name),
        _ => Ok(host),
    }
}

/// Whether the caller keeps the connection open after this request.
pub fn is_keep_alive(head: &RequestHead) -> bool {
    match head.version {
        Version::HTTP_11 => !has_connection_option(&head.headers, "close"),
        _ => has_connection_option(&head.headers, "keep-alive"),
    }
}

/// Whether the caller waits for `100 Continue` before it sends the body.
pub fn expects_continue(head: &RequestHead) -> bool {
    let value = head.headers.get(EXPECT).and_then(|value| value.to_str().ok());
    head.version == Version::HTTP_11
        && value.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}
