//! Answers of the platform without success.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_platform::{Answer, Call, Cause, HttpClient, PlatformError};
use galenapath_protocol::Verdict;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
const SUCCESS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n";

/// Makes two writes to a platform that answers the first one with `first` and the others with
/// success and the number of the connection as the body.
fn write_twice(first: &'static str) -> [Result<Answer, PlatformError>; 2] {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = HttpClient::new(listener.local_addr().unwrap(), TIMEOUT);
        monoio::spawn(async move {
            for connection in 0.. {
                let (mut io, _) = listener.accept().await.unwrap();
                monoio::spawn(async move {
                    let mut calls = 0;
                    while io.read(vec![0; 4_096]).await.0.is_ok_and(|n| n > 0) {
                        let success = format!("{SUCCESS}c{connection:02}");
                        let is_first = connection == 0 && calls == 0;
                        let text = if is_first { first.to_owned() } else { success };
                        io.write_all(text.into_bytes()).await.0.unwrap();
                        calls += 1;
                    }
                });
            }
        });
        let call = || Call::put("/key".into(), "value".into());
        [client.exchange(&call()).await, client.exchange(&call()).await]
    })
}

fn status_of(error: &PlatformError) -> Option<u16> {
    match error.cause {
        Cause::ErrorStatus { status, .. } => Some(status),
        _ => None,
    }
}

/// Guards against a write that counts as done although the platform has not said so.
#[test]
fn exchange_without_success_is_an_error() {
    for (text, status) in [
        ("HTTP/1.1 304 Not Modified\r\ncontent-length: 0\r\n\r\n", 304),
        ("HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n", 302),
    ] {
        let [first, second] = write_twice(text);
        let error = first.err().unwrap();
        assert_eq!((status_of(&error), error.verdict), (Some(status), Verdict::MayHaveRun));
        assert_eq!(second.unwrap().status, 200);
    }
}

/// Guards against the final answer to one call being taken for the answer to the next.
#[test]
fn exchange_interim_answer_is_an_error_and_ends_the_connection() {
    let [first, second] =
        write_twice("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold");
    assert_eq!(first.err().unwrap().verdict, Verdict::MayHaveRun);
    assert_eq!(&second.unwrap().body[..], b"c01");
}

#[test]
fn exchange_status_000_is_an_error() {
    let [first, second] = write_twice("HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(first.err().unwrap().verdict, Verdict::MayHaveRun);
    assert_eq!(second.unwrap().status, 200);
}
