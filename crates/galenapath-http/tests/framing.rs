//! Framing of bodies, and rejection of heads with ambiguous framing.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use galenapath_http::{Framing, HttpError, request_framing, response_framing};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version};

fn headers(fields: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name.parse().unwrap();
        map.append(name, HeaderValue::from_str(value).unwrap());
    }
    map
}

fn request(fields: &[(&str, &str)]) -> Result<Framing, HttpError> {
    request_framing(Version::HTTP_11, &headers(fields))
}

fn is_rejected(fields: &[(&str, &str)]) -> bool {
    let response = response_framing(&Method::GET, StatusCode::OK, &headers(fields));
    matches!(request(fields), Err(HttpError::BadFraming(_)))
        && matches!(response, Err(HttpError::BadFraming(_)))
}

#[test]
fn request_framing_from_headers() {
    assert_eq!(request(&[]).unwrap(), Framing::None);
    assert_eq!(request(&[("content-length", "0")]).unwrap(), Framing::None);
    assert_eq!(request(&[("content-length", "17")]).unwrap(), Framing::Length(17));
    assert_eq!(request(&[("transfer-encoding", "Chunked")]).unwrap(), Framing::Chunked);
}

#[test]
fn framing_both_lengths_rejected() {
    assert!(is_rejected(&[("content-length", "3"), ("transfer-encoding", "chunked")]));
}

#[test]
fn framing_repeated_length_rejected() {
    assert!(is_rejected(&[("content-length", "3"), ("content-length", "4")]));
    assert!(is_rejected(&[("content-length", "3"), ("content-length", "3")]));
    assert!(is_rejected(&[("content-length", "3, 3")]));
}

#[test]
fn framing_bad_length_rejected() {
    for value in ["", "+3", "-3", "0x3", "3 3", "three", "1.0", "18446744073709551616"] {
        assert!(is_rejected(&[("content-length", value)]), "{value:?}");
    }
}

#[test]
fn framing_other_encoding_rejected() {
    for value in ["gzip", "gzip, chunked", "chunked, chunked", "identity", "", "xchunked"] {
        assert!(is_rejected(&[("transfer-encoding", value)]), "{value:?}");
    }
    assert!(is_rejected(&[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")]));
}

#[test]
fn request_framing_old_version_chunked_rejected() {
    let headers = headers(&[("transfer-encoding", "chunked")]);
    let framing = request_framing(Version::HTTP_10, &headers);
    assert!(matches!(framing, Err(HttpError::BadFraming(_))));
}

#[test]
fn response_framing_without_length_until_close() {
    let framing = response_framing(&Method::GET, StatusCode::OK, &headers(&[]));
    assert_eq!(framing.unwrap(), Framing::UntilClose);
}

#[test]
fn response_framing_bodiless_none() {
    let length = headers(&[("content-length", "9")]);
    let cases = [
        (Method::HEAD, StatusCode::OK),
        (Method::GET, StatusCode::NO_CONTENT),
        (Method::GET, StatusCode::NOT_MODIFIED),
        (Method::GET, StatusCode::EARLY_HINTS),
    ];
    for (method, status) in cases {
        let framing = response_framing(&method, status, &length);
        assert_eq!(framing.unwrap(), Framing::None, "{method} {status}");
    }
}
