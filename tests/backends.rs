//! Faulty answers of backend servers, and what the callers of a running instance get for them.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::{Client, FakeServer, Instance, Request, Setup, answer_ok, get};

/// Bytes that are not a valid HTTP/1.1 answer.
const GARBAGE: [&str; 10] = [
    "garbage\r\n\r\n",
    "HTTP/2.0 200 OK\r\n\r\n",
    "HTTP/1.1 abc OK\r\n\r\n",
    "HTTP/1.1 200 OK\ncontent-length: 3\n\nabc",
    "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nx: y",
];

/// A server that misbehaves as the first segment of the path says. It answers other paths with the
/// path itself.
fn misbehaving_server() -> FakeServer {
    FakeServer::start(|io, req| {
        match req.path().split('/').nth(1).unwrap_or("") {
        "garbage" => {
            let n: usize = req.path().rsplit('/').next().unwrap().parse().unwrap();
            send_and_close(io, GARBAGE[n].as_bytes())
        }
        "empty" => ControlFlow::Break(()),
        "head" => send_and_close(io, &large_head()),
        "late" => wait_for_close(io),
        "much" => {
            let _ = io.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n");
            ControlFlow::Continue(())
        }
        "interim" => {
            let _ = io.write_all(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n");
            answer_ok(io, b"final")
        }
        "chunked" => send_and_close(
            io,
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\nde\r\n0\r\nx: y\r\n\r\n",
        ),
        "close" => send_and_close(io, b"HTTP/1.1 200 OK\r\n\r\nuntil the end"),
        "endless-interim" => send_endlessly(io, "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        "endless-chunks" => send_endlessly(
            io,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\nxxxx\r\n",
        ),
        "endless-body" => send_endlessly(io, "HTTP/1.1 200 OK\r\n\r\n", "x"),
        "none" => send_and_close(io, b"HTTP/1.1 204 No Content\r\n\r\n"),
        "report" => send_and_close(io, bad_report(&req).as_bytes()),
        "cut" => send_and_close(io, &cut(&req)),
        _ => answer_ok(io, req.path().as_bytes()),
    }
    })
}

/// Sends `start`, and then `unit` again and again until the other end closes the connection.
fn send_endlessly(io: &mut TcpStream, start: &str, unit: &str) -> ControlFlow<()> {
    let block = unit.repeat(16 * 1024 / unit.len());
    let mut result = io.write_all(start.as_bytes());
    while result.is_ok() {
        result = io.write_all(block.as_bytes());
    }
    ControlFlow::Break(())
}

fn send_and_close(io: &mut TcpStream, bytes: &[u8]) -> ControlFlow<()> {
    let _ = io.write_all(bytes);
    ControlFlow::Break(())
}

fn wait_for_close(io: &mut TcpStream) -> ControlFlow<()> {
    let _ = std::io::Read::read(io, &mut [0]);
    ControlFlow::Break(())
}

fn large_head() -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nx: {}\r\n\r\n", "x".repeat(200_000)).into_bytes()
}

fn bad_report(req: &Request) -> String {
    let report = match req.path() {
        "/report/0" => "in-flight=-1;waiting=0;slots=6",
        "/report/1" => "slots=0",
        "/report/2" => "in-flight=99999999999999999999;slots=6",
        "/report/3" => "in-flight=4294967295;waiting=4294967295;slots=4294967295;leaving=0",
        _ => ";;;===",
    };
    format!("HTTP/1.1 200 OK\r\ngalenapath-report: {report}\r\ncontent-length: 2\r\n\r\nok")
}

/// The first half of an answer that is too large to be buffered before it is forwarded.
fn cut(req: &Request) -> Vec<u8> {
    let half = "x".repeat(100_000);
    match req.path() {
        "/cut/length" => format!("HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n{half}"),
        "/cut/chunk" => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n30d40\r\n{half}")
        }
        "/cut/chunks" => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n{half}\r\n")
        }
        _ => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n{half}\r\nzz\r\n"
        ),
    }
    .into_bytes()
}

/// An instance whose class for the path `/garbage/filing` is of the kind filing.
fn start(server: &FakeServer) -> Instance {
    Instance::start(&Setup {
        classes: vec![("lookup", "lookup", "/"), ("filing", "filing", "/garbage/filing")],
        servers: vec![server.address],
        ..Setup::default()
    })
}

#[test]
fn backends_garbage_reported() {
    let instance = start(&misbehaving_server());
    for (n, bytes) in GARBAGE.iter().enumerate() {
        let answer = get(instance.callers, &format!("/garbage/{n}"), "");
        assert!([502, 503].contains(&answer.status), "{bytes:?}: {answer:?}");
        assert_ne!(answer.verdict(), "answered", "{bytes:?}");
        assert!(answer.header("retry-after").is_some(), "{bytes:?}");
        assert!(answer.is_whole);
    }
}

#[test]
fn backends_garbage_may_have_run() {
    // A new server for each case, because a server that fails repeatedly is ejected for some time.
    for path in ["/garbage/0", "/garbage/4", "/garbage/8", "/empty", "/head"] {
        let instance = start(&misbehaving_server());
        let answer = get(instance.callers, path, "");
        assert_eq!((answer.status, answer.verdict()), (502, "may-have-run"), "{path}");
    }
}

#[test]
fn backends_late_timed_out() {
    let instance = start(&misbehaving_server());
    let answer = get(instance.callers, "/late", "Galenapath-Deadline-Ms: 300\r\n");
    assert_eq!((answer.status, answer.verdict()), (504, "may-have-run"));
    assert_eq!(get(instance.callers, "/after", "").text(), "/after");
}

#[test]
fn backends_excess_bytes_never_mixed() {
    let instance = start(&misbehaving_server());
    let mut client = Client::connect(instance.callers);
    for n in 0..10 {
        client.get("/much", "");
        client.get(&format!("/{n}"), "");
        assert_eq!(client.answer().text(), "good");
        assert_eq!(client.answer().text(), format!("/{n}"));
    }
}

#[test]
fn backends_answer_forms_accepted() {
    let instance = start(&misbehaving_server());
    let mut client = Client::connect(instance.callers);
    for (path, body) in [
        ("/interim", "final"),
        ("/chunked", "abcde"),
        ("/close", "until the end"),
        ("/plain", "/plain"),
    ] {
        client.get(path, "");
        let answer = client.answer();
        assert_eq!((answer.status, answer.text().as_str()), (200, body));
        assert!(answer.is_whole && answer.verdict() == "answered");
    }
    client.get("/none", "");
    assert_eq!(client.answer().status, 204);
    client.get("/plain", "");
    assert_eq!(client.answer().text(), "/plain");
}

#[test]
fn backends_bad_reports_ignored() {
    let (one, other) = (misbehaving_server(), misbehaving_server());
    let instance = Instance::start(&Setup {
        classes: vec![("lookup", "lookup", "/")],
        servers: vec![one.address, other.address],
        ..Setup::default()
    });
    for n in (0..5).cycle().take(20) {
        let answer = get(instance.callers, &format!("/report/{n}"), "");
        assert_eq!((answer.status, answer.text().as_str()), (200, "ok"), "{n}");
        assert_eq!(answer.header("galenapath-report"), None);
    }
    assert!(instance.metric("galenapath_faults_total{kind=\"bad_report\"}") >= 16.0);
    assert_eq!(get(instance.callers, "/after", "").text(), "/after");
}

#[test]
fn backends_cut_answer_never_whole() {
    for path in ["/cut/length", "/cut/chunk", "/cut/chunks", "/cut/garbage"] {
        let instance = start(&misbehaving_server());
        let mut client = Client::connect(instance.callers);
        client.get(path, "");
        let answer = client.answer();
        assert_eq!(answer.status, 200, "{path}");
        assert!(!answer.is_whole, "{path}");
        assert!(client.is_closed(), "{path}");
    }
}

#[test]
fn backends_garbage_filing_sent_once() {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let server = FakeServer::start(|io, _| {
        RUNS.fetch_add(1, Ordering::SeqCst);
        send_and_close(io, b"garbage\r\n\r\n")
    });
    let instance = start(&server);
    let mut client = Client::connect(instance.callers);
    client.send("POST /garbage/filing HTTP/1.1\r\nHost: s\r\nIdempotency-Key: own-key-1234567890\r\nContent-Length: 2\r\n\r\nhi");
    let answer = client.answer();
    assert_eq!((answer.status, answer.verdict()), (502, "may-have-run"));
    assert_eq!(RUNS.load(Ordering::SeqCst), 1);
}

#[test]
fn backends_endless_ended_with_the_request() {
    for path in ["/endless-interim", "/endless-chunks", "/endless-body"] {
        let instance = start(&misbehaving_server());
        let began = Instant::now();
        let answer = get(instance.callers, path, "Galenapath-Deadline-Ms: 500\r\n");
        let is_complete_answer = answer.status == 200 && answer.is_whole;
        assert!(!is_complete_answer, "{path}: a complete answer");
        assert!(began.elapsed() < Duration::from_secs(2), "{path}: {:?}", began.elapsed());
        // The instance still serves others at once.
        let began = Instant::now();
        assert_eq!(get(instance.callers, "/after", "").text(), "/after");
        assert!(began.elapsed() < Duration::from_secs(1), "{path}: {:?}", began.elapsed());
    }
}
