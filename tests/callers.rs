//! Requests of callers, valid and not, and how a running instance answers them.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::io::{ErrorKind, Read, Write};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{Answer, Client, FakeServer, Instance, Setup, answer_ok, get, wait_until};

/// A server that answers with the request's path.
fn echo() -> FakeServer {
    FakeServer::start(|io, req| answer_ok(io, req.path().as_bytes()))
}

fn send_raw(instance: &Instance, bytes: &str) -> Answer {
    let mut client = Client::connect(instance.callers);
    // The instance may close before it has read everything.
    let _ = client.io.write_all(bytes.as_bytes());
    let answer = client.answer();
    assert!(client.is_closed());
    answer
}

fn assert_alive(instance: &Instance) {
    assert_eq!(get(instance.callers, "/alive", "").text(), "/alive");
}

#[test]
fn callers_bad_framing_refused() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    let cases = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: 99999999999999999999\r\n\r\nabc",
        "Transfer-Encoding: gzip\r\n\r\nabc",
        "X: a\n\r\n",
        "X: a\r\n b\r\n\r\n",
        "X: a\0b\r\n\r\n",
        "X : a\r\n\r\n",
    ];
    for case in cases {
        let answer = send_raw(&instance, &format!("POST / HTTP/1.1\r\nHost: s\r\n{case}"));
        assert_eq!((answer.status, answer.verdict()), (400, "not-run"), "{case:?}");
    }
    assert_alive(&instance);
}

#[test]
fn callers_unclear_host_refused() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    for head in ["", "Host: s\r\nHost: s\r\n", "Host: s\r\nHost: other\r\n"] {
        let bytes = format!("GET / HTTP/1.1\r\n{head}Connection: close\r\n\r\n");
        let answer = send_raw(&instance, &bytes);
        assert_eq!((answer.status, answer.verdict()), (400, "not-run"), "{head:?}");
    }
    assert_alive(&instance);
}

#[test]
fn callers_unframed_heads_closed_soon() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    for head in [
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET / HTTP/9.9\r\nHost: s\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: s\r\nContent-Length : 3\r\n\r\nabc",
    ] {
        let mut client = Client::connect(instance.callers);
        client.send(head);
        let began = Instant::now();
        assert_eq!(client.answer().status, 400, "{head:?}");
        assert!(client.is_closed(), "{head:?}");
        assert!(began.elapsed() < Duration::from_millis(2_500), "{head:?}: {:?}", began.elapsed());
    }
    assert_alive(&instance);
}

#[test]
fn callers_bad_chunks_refused() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    let head = "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    let large = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
    let small = send_raw(&instance, &format!("{head}zz\r\nabc\r\n0\r\n\r\n"));
    assert_eq!((small.status, small.verdict()), (400, "not-run"));
    let streamed = send_raw(&instance, &format!("{head}{large}zz\r\n"));
    assert_eq!((streamed.status, streamed.verdict()), (400, "may-have-run"));
    assert_alive(&instance);
}

#[test]
fn callers_large_head_refused() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    for len in [17_000, 1_000_000] {
        let head = format!("GET / HTTP/1.1\r\nHost: s\r\nX: {}\r\n\r\n", "x".repeat(len));
        let answer = send_raw(&instance, &head);
        assert_eq!((answer.status, answer.verdict()), (431, "not-run"), "{len}");
    }
    assert_alive(&instance);
}

#[test]
fn callers_large_filing_refused() {
    let setup = Setup {
        limits: "filing_bytes = 1000".into(),
        classes: vec![("filing", "filing", "/")],
        servers: vec![echo().address],
    };
    let instance = Instance::start(&setup);
    for len in [1_001, 3_000_000] {
        let body = "x".repeat(len);
        let head = format!("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: {len}\r\n\r\n");
        let answer = send_raw(&instance, &(head + &body));
        assert_eq!((answer.status, answer.verdict()), (413, "not-run"), "{len}");
    }
}

#[test]
fn callers_slow_head_timed_out() {
    let setup = Setup { limits: "header_timeout = \"200ms\"".into(), ..Setup::lookup(&echo()) };
    let instance = Instance::start(&setup);
    let mut client = Client::connect(instance.callers);
    client.send("GET / HTTP/1.1\r\nHost:");
    let start = Instant::now();
    let answer = client.answer();
    assert_eq!((answer.status, answer.verdict()), (408, "not-run"));
    assert!(start.elapsed() >= Duration::from_millis(150));
    assert!(client.is_closed());
}

#[test]
fn callers_slow_body_timed_out() {
    let setup = Setup { limits: "idle_timeout = \"300ms\"".into(), ..Setup::lookup(&echo()) };
    let instance = Instance::start(&setup);
    let answer = send_raw(&instance, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\nabc");
    assert_eq!((answer.status, answer.verdict()), (408, "not-run"));
}

#[test]
fn callers_unknown_service_refused() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    let answer = send_raw(&instance, "GET / HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n");
    assert_eq!((answer.status, answer.verdict()), (404, "not-run"));
    assert!(answer.text().contains("other"));
    let answer = send_raw(&instance, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert_eq!((answer.status, answer.verdict()), (400, "not-run"));
}

#[test]
fn callers_pipelined_in_order() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    let mut client = Client::connect(instance.callers);
    for n in 0..20 {
        client.get(&format!("/{n}"), "");
    }
    for n in 0..20 {
        assert_eq!(client.answer().text(), format!("/{n}"));
    }
}

#[test]
fn callers_head_without_body() {
    let instance = Instance::start(&Setup::lookup(&FakeServer::start(|io, req| {
        let _ = io.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n");
        assert!(req.line.starts_with("HEAD"));
        ControlFlow::Continue(())
    })));
    let mut client = Client::connect(instance.callers);
    client.send("HEAD /a HTTP/1.1\r\nHost: s\r\n\r\n");
    client.send("HEAD /b HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
    let first = client.answer_to("HEAD");
    assert_eq!((first.status, first.header("content-length")), (200, Some("5")));
    let second = client.answer_to("HEAD");
    assert_eq!((second.status, second.header("connection")), (200, Some("close")));
    assert!(client.is_closed());
}

#[test]
fn callers_old_version_kept_alive_when_asked() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    let answer = send_raw(&instance, "GET /a HTTP/1.0\r\nHost: s\r\n\r\n");
    assert_eq!((answer.text().as_str(), answer.header("connection")), ("/a", Some("close")));
    let mut client = Client::connect(instance.callers);
    for _ in 0..2 {
        client.send("GET /b HTTP/1.0\r\nHost: s\r\nConnection: keep-alive\r\n\r\n");
        let answer = client.answer();
        let connection = answer.header("connection");
        assert_eq!((answer.text().as_str(), connection), ("/b", Some("keep-alive")));
    }
}

#[test]
fn callers_old_version_never_chunked() {
    let instance = Instance::start(&Setup::lookup(&FakeServer::start(|io, _| {
        let _ = io.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let chunk = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
        let _ = io.write_all(chunk.as_bytes());
        let _ = io.write_all(b"0\r\n\r\n");
        ControlFlow::Continue(())
    })));
    let answer = send_raw(&instance, "GET / HTTP/1.0\r\nHost: s\r\n\r\n");
    assert_eq!((answer.status, answer.verdict()), (505, "may-have-run"));
    assert_eq!(get(instance.callers, "/", "").body.len(), 100_000);
}

#[test]
fn callers_expect_continue_answered() {
    let server = FakeServer::start(|io, req| answer_ok(io, req.body.len().to_string().as_bytes()));
    let instance = Instance::start(&Setup::lookup(&server));
    for len in [10, 300_000] {
        let mut client = Client::connect(instance.callers);
        client.send(&format!(
            "POST / HTTP/1.1\r\nHost: s\r\nExpect: 100-continue\r\nContent-Length: {len}\r\n\r\n"
        ));
        assert_eq!(client.answer().status, 100);
        client.send(&"x".repeat(len));
        assert_eq!(client.answer().text(), len.to_string());
    }
}

#[test]
fn callers_forged_headers_stripped() {
    let seen = Arc::new(Mutex::new(String::new()));
    let server = {
        let seen = Arc::clone(&seen);
        FakeServer::start(move |io, req| {
            seen.lock().unwrap().clone_from(&req.headers);
            answer_ok(io, b"")
        })
    };
    let instance = Instance::start(&Setup::lookup(&server));
    let forged = "Galenapath-Verdict: forged\r\nGalenapath-Hops: 77\r\nGalenapath-Report: forged\r\n\
                  Galenapath-Backend: forged\r\nGalenapath-Request-Id: forged\r\n\
                  Galenapath-Deadline-Ms: 5000\r\nConnection: X-Mine\r\nX-Mine: forged\r\n";
    assert_eq!(get(instance.callers, "/", forged).status, 200);
    let seen = seen.lock().unwrap().clone();
    assert!(!seen.contains("forged") && !seen.contains("galenapath-hops"), "{seen}");
    assert_eq!(seen.matches("galenapath-deadline-ms").count(), 1, "{seen}");
}

#[test]
fn callers_disconnected_slot_freed() {
    let closed = Arc::new(AtomicUsize::new(0));
    let started = Arc::new(AtomicUsize::new(0));
    let server = {
        let (closed, started) = (Arc::clone(&closed), Arc::clone(&started));
        FakeServer::start(move |io, req| {
            if req.path() == "/large" {
                let _ = io.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n");
                let _ = io.write_all(&[b'x'; 100_000]);
            }
            started.fetch_add(1, Ordering::SeqCst);
            // Sends no answer and blocks until the instance closes the connection.
            let _ = std::io::Read::read(io, &mut [0]);
            closed.fetch_add(1, Ordering::SeqCst);
            ControlFlow::Break(())
        })
    };
    let instance = Instance::start(&Setup::lookup(&server));
    let body = "x".repeat(100_000);
    let requests = [
        "GET /small HTTP/1.1\r\nHost: s\r\n\r\n".to_owned(),
        "GET /large HTTP/1.1\r\nHost: s\r\n\r\n".to_owned(),
        format!("POST /up HTTP/1.1\r\nHost: s\r\nContent-Length: 100000\r\n\r\n{body}"),
    ];
    for (n, req) in requests.iter().enumerate() {
        let mut client = Client::connect(instance.callers);
        client.send(req);
        wait_until("the request to reach the server", || started.load(Ordering::SeqCst) > n);
        let disconnected_at = Instant::now();
        drop(client);
        wait_until("the connection to the server to close", || closed.load(Ordering::SeqCst) > n);
        assert!(
            disconnected_at.elapsed() < Duration::from_secs(2),
            "{:.20}: {:?}",
            req,
            disconnected_at.elapsed()
        );
    }
}

/// Pieces of requests, so that some random sequences of bytes resemble valid requests.
fn request_fragment() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        Just(b"GET /a HTTP/1.1\r\nHost: s\r\n".to_vec()),
        Just(b"POST http://s:99999/b HTTP/1.1\r\n".to_vec()),
        Just(b"HEAD * HTTP/1.0\r\nHost: s:\r\n".to_vec()),
        Just(b"CONNECT s:1 HTTP/1.1\r\nHost: s\r\n".to_vec()),
        Just(b"GET /v1/entries?service=s&service HTTP/1.1\r\n".to_vec()),
        Just(b"Galenapath-Deadline-Ms: 4294967295\r\n".to_vec()),
        Just(b"Galenapath-Workspace: \xff\xfe\r\n".to_vec()),
        Just(b"Galenapath-Hops: 4294967295\r\nGalenapath-Attempt: 4294967295\r\n".to_vec()),
        Just(b"Connection: host, close, \xe9\r\n".to_vec()),
        Just(b"Content-Length: 3\r\n".to_vec()),
        Just(b"Content-Length: 18446744073709551615\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"3\r\nabc\r\n0\r\n\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..60),
    ]
}

#[test]
fn callers_any_bytes_survived() {
    let instance = Instance::start(&Setup::lookup(&echo()));
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let fragments = prop::collection::vec(request_fragment(), 1..10);
    TestRunner::new(config)
        .run(&fragments, |fragments| {
            let mut client = Client::connect(instance.callers);
            // The instance may close before it has read everything.
            let _ = client.io.write_all(&fragments.concat());
            let _ = client.io.shutdown(std::net::Shutdown::Write);
            // The bytes decide how many answers there are and whether they have bodies.
            let mut answers = Vec::new();
            // Closing with unread bytes resets the connection. Other errors are hangs or faults.
            if let Err(e) = client.io.read_to_end(&mut answers) {
                prop_assert_eq!(e.kind(), ErrorKind::ConnectionReset);
            }
            prop_assert!(answers.is_empty() || answers.starts_with(b"HTTP/1.1 "));
            prop_assert_eq!(get(instance.callers, "/alive", "").text(), "/alive");
            Ok(())
        })
        .unwrap();
}

#[test]
fn callers_refused_while_sending_not_reset() {
    let setup = Setup {
        limits: "filing_bytes = 1000".into(),
        classes: vec![("filing", "filing", "/")],
        servers: vec![echo().address],
    };
    let instance = Instance::start(&setup);
    for _ in 0..20 {
        let mut client = Client::connect(instance.callers);
        client.send("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 3000000\r\n\r\n");
        // Fails if the instance resets the connection.
        client.send(&"x".repeat(3_000_000));
        let answer = client.answer();
        assert_eq!((answer.status, answer.verdict()), (413, "not-run"));
    }
}
