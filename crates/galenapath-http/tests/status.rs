//! Status codes of answers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use galenapath_http::{HttpError, ResponseHead};
use proptest::prelude::*;
use support::{TIMEOUTS, receive};

/// Reads the final answer out of these bytes.
fn read(bytes: &str) -> Result<ResponseHead, HttpError> {
    receive(vec![bytes.as_bytes().to_vec()], async |mut connection| {
        connection.read_final_response(TIMEOUTS).await
    })
}

fn answer(status: &str) -> String {
    format!("HTTP/1.1 {status} Text\r\ncontent-length: 0\r\n\r\n")
}

/// Guards against bytes of a server in trouble that reach a caller as the answer.
#[test]
fn read_final_response_invalid_status_refused() {
    let invalid = [
        "000", "001", "099", "600", "601", "999", "1000", "20", "2", "2000", "-20", "+20", "2 0",
        "", "0x1", "20a", "٢٠٠", " 200",
    ];
    for status in invalid {
        let result = read(&answer(status));
        assert!(matches!(result, Err(HttpError::BadHead(_))), "{status:?}: {result:?}");
    }
}

#[test]
fn read_final_response_no_status_refused() {
    for line in ["HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  ", "HTTP/1.1\t200 OK", "HTTP/1.1 \t200 OK"] {
        let result = read(&format!("{line}\r\ncontent-length: 0\r\n\r\n"));
        assert!(matches!(result, Err(HttpError::BadHead(_))), "{line:?}: {result:?}");
    }
}

#[test]
fn read_final_response_status_without_reason_accepted() {
    for line in ["HTTP/1.1 200", "HTTP/1.1 200 "] {
        assert_eq!(read(&format!("{line}\r\ncontent-length: 0\r\n\r\n")).unwrap().status, 200);
    }
}

#[test]
fn read_final_response_after_interim_answers() {
    let early = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    assert_eq!(read(&(early.to_owned() + &answer("404"))).unwrap().status, 404);
}

/// Nobody asks a server to change the protocol.
#[test]
fn read_final_response_switch_of_protocol_refused() {
    let result = read(&("HTTP/1.1 101 Switching\r\n\r\n".to_owned() + &answer("200")));
    assert!(matches!(result, Err(HttpError::BadHead(_))), "{result:?}");
}

#[test]
fn read_final_response_interim_answers_without_end_refused() {
    let result = read(&"HTTP/1.1 100 Continue\r\n\r\n".repeat(100));
    assert!(matches!(result, Err(HttpError::BadHead(_))), "{result:?}");
}

proptest! {
    #[test]
    fn read_final_response_only_valid_statuses(status in 0_u32..2_000) {
        let result = read(&answer(&format!("{status:03}")));
        prop_assert_eq!(result.is_ok(), (200..600).contains(&status), "{:?}", result);
    }
}
