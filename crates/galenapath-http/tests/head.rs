//! Reading heads: limits, forbidden bytes and arbitrary input.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use galenapath_http::{HttpError, MAX_HEADERS, RequestHead, check_head};
use http::Method;
use proptest::prelude::*;
use support::{HEAD_LIMIT, TIMEOUTS, read_whole, receive, split};

fn read(bytes: &[u8]) -> Result<RequestHead, HttpError> {
    receive(vec![bytes.to_vec()], async |mut connection| connection.read_request(TIMEOUTS).await)
}

fn is_bad(head: &[u8]) -> bool {
    matches!(read(head), Err(HttpError::BadHead(_)))
}

#[test]
fn read_request_plain_parsed() {
    let head = read(b"GET /a?b=c HTTP/1.1\r\nHost: lookup\r\n\r\n").unwrap();
    assert_eq!(head.method, Method::GET);
    assert_eq!(head.uri, "/a?b=c");
    assert_eq!(head.headers["host"], "lookup");
}

#[test]
fn read_request_bare_line_feed_rejected() {
    assert!(is_bad(b"GET / HTTP/1.1\nHost: a\n\n"));
    assert!(is_bad(b"GET / HTTP/1.1\r\nHost: a\n\r\n"));
    assert!(is_bad(b"GET / HTTP/1.1\r\nHost: a\r\nX: b\nY: c\r\n\r\n"));
}

#[test]
fn read_request_bare_carriage_return_rejected() {
    assert!(is_bad(b"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n"));
}

#[test]
fn read_request_folded_line_rejected() {
    assert!(is_bad(b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n"));
    assert!(is_bad(b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n\tc\r\n\r\n"));
}

#[test]
fn read_request_nul_rejected() {
    assert!(is_bad(b"GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n"));
    assert!(is_bad(b"GET /\0 HTTP/1.1\r\nHost: a\r\n\r\n"));
}

#[test]
fn read_request_space_before_colon_rejected() {
    assert!(is_bad(b"GET / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd"));
}

#[test]
fn read_request_other_protocol_rejected() {
    assert!(is_bad(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n"));
    assert!(is_bad(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"));
    assert!(is_bad(b"GET /\r\n\r\n"));
    assert!(is_bad(b"\r\n\r\n"));
}

fn with_fields(count: usize) -> Vec<u8> {
    let fields: String = (0..count).map(|n| format!("x{n}: y\r\n")).collect();
    format!("GET / HTTP/1.1\r\n{fields}\r\n").into_bytes()
}

#[test]
fn read_request_fields_limited() {
    assert!(read(&with_fields(MAX_HEADERS)).is_ok());
    assert!(is_bad(&with_fields(MAX_HEADERS + 1)));
}

#[test]
fn read_request_name_limited() {
    let named = |len: usize| format!("GET / HTTP/1.1\r\n{}: y\r\n\r\n", "n".repeat(len));
    assert!(read(named(256).as_bytes()).is_ok());
    assert!(is_bad(named(257).as_bytes()));
}

#[test]
fn read_request_head_limited() {
    let sized = |len: usize| {
        let frame = "GET / HTTP/1.1\r\nx: \r\n\r\n".len();
        format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(len - frame))
    };
    assert!(read(sized(HEAD_LIMIT).as_bytes()).is_ok());
    let result = read(sized(HEAD_LIMIT + 1).as_bytes());
    assert!(matches!(result, Err(HttpError::HeadTooLarge { limit: HEAD_LIMIT })));
    let endless = read(&vec![b'a'; 64 * 1024]);
    assert!(matches!(endless, Err(HttpError::HeadTooLarge { .. })));
}

#[test]
fn read_request_truncated_is_an_error() {
    assert!(matches!(read(b""), Err(HttpError::Closed)));
    assert!(matches!(read(b"GET / HTTP/1.1\r\nHost"), Err(HttpError::Truncated)));
}

/// Input composed of fragments of heads, which gets further into the parser than random bytes.
fn almost_head() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        Just(b"GET / HTTP/1.1\r\n".to_vec()),
        Just(b"POST http://a:1/b?c HTTP/1.0\r\n".to_vec()),
        Just(b"content-length: 5\r\n".to_vec()),
        Just(b"transfer-encoding: chunked\r\n".to_vec()),
        Just(b"connection: close, x\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n".to_vec()),
        Just(b" \t".to_vec()),
        Just(b"5\r\nabcde\r\n0\r\n\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..40),
    ];
    prop::collection::vec(part, 0..12).prop_map(|parts| parts.concat())
}

proptest! {
    #[test]
    fn check_head_any_bytes_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = check_head(&bytes);
    }

    #[test]
    fn read_request_any_bytes_no_panic(bytes in almost_head()) {
        receive(vec![bytes], async |mut connection| {
            while let Ok(head) = connection.read_request(TIMEOUTS).await {
                let Ok(framing) = galenapath_http::request_framing(head.version, &head.headers)
                else {
                    return;
                };
                if read_whole(&mut connection, framing).await.is_err() {
                    return;
                }
            }
        });
    }

    #[test]
    fn read_response_any_bytes_no_panic(bytes in almost_head()) {
        let mut answer = b"HTTP/1.1 ".to_vec();
        answer.extend_from_slice(&bytes);
        receive(vec![answer], async |mut connection| {
            let Ok(head) = connection.read_response(TIMEOUTS).await else { return };
            let framing =
                galenapath_http::response_framing(&Method::GET, head.status, &head.headers);
            if let Ok(framing) = framing {
                let _ = read_whole(&mut connection, framing).await;
            }
        });
    }

    #[test]
    fn read_request_split_same(lengths in prop::collection::vec(1_usize..30, 1..8)) {
        let head = b"POST /a HTTP/1.1\r\nhost: lookup\r\ncontent-length: 2\r\n\r\nhi";
        receive(split(head, &lengths), async |mut connection| {
            let head = connection.read_request(TIMEOUTS).await.unwrap();
            assert_eq!(head.uri, "/a");
            assert_eq!(head.headers["content-length"], "2");
        });
    }
}
