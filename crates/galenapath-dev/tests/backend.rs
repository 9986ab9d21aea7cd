//! Tests of the backend stand-in over loopback, in the runtime of the test.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use clap::Parser;
use galenapath_dev::backend::{
    NOT_RUN_HEADER, Options, PROBE_PATH, ParseSpecError, Process, ServerSpec, Slots, Work,
    pattern_bytes, pattern_seed,
};
use galenapath_dev::wire::{Answer, Conn, Framing, WireError, exchange, request_head};
use galenapath_protocol::{LoadReport, REPORT_HEADER};
use http::Method;
use monoio::time::sleep;
use monoio::{LegacyDriver, RuntimeBuilder};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVER: &str = "name=b1,service=lookup,domain=d1";
const WAIT_LIMIT: Duration = Duration::from_secs(5);

struct TestServer {
    server: SocketAddr,
    admin: SocketAddr,
    _process: Process,
}

fn start(args: &[&str]) -> TestServer {
    let opts = Options::parse_from([&["backend", "--server", SERVER], args].concat());
    let process = Process::start(opts).unwrap();
    let addresses: Vec<_> = process.addresses().map(|(_, addr)| addr).collect();
    TestServer { server: addresses[0], admin: addresses[1], _process: process }
}

fn on_runtime<T>(test: impl Future<Output = T>) -> T {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(test)
}

impl TestServer {
    async fn get(&self, path: &str) -> Result<Answer, WireError> {
        exchange(self.server, "GET", path, b"").await
    }

    async fn faults(&self, body: &str) {
        let answer = exchange(self.admin, "PUT", "/admin/faults", body.as_bytes()).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    async fn counter(&self, name: &str) -> u64 {
        let answer = exchange(self.admin, "GET", "/admin/counters", b"").await.unwrap();
        let all: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        all["servers"][0][name].as_u64().unwrap()
    }

    async fn wait_for(&self, name: &str, value: u64) {
        let began = Instant::now();
        while self.counter(name).await != value {
            assert!(began.elapsed() < WAIT_LIMIT, "{name} did not become {value} in time");
            sleep(Duration::from_millis(2)).await;
        }
    }
}

#[test]
fn server_spec_fields_read() {
    let spec: ServerSpec = "name=a,service=s,domain=d,work=constant:2,delay=1ms".parse().unwrap();
    assert_eq!(spec.work, Some(Work::Constant(2.0)));
    assert_eq!(spec.delay, Some(Duration::from_millis(1)));
}

#[test]
fn server_spec_missing_field_refused() {
    assert_eq!("name=a,domain=d".parse::<ServerSpec>(), Err(ParseSpecError::Missing("service")));
}

#[test]
fn work_means_kept() {
    let mut rng = StdRng::seed_from_u64(7);
    for work in ["constant:4", "exponential:4", "heavy:4"] {
        let work: Work = work.parse().unwrap();
        let sum: Duration = (0..20_000).map(|_| work.sample(&mut rng)).sum();
        let mean_ms = sum.as_secs_f64() * 1_000.0 / 20_000.0;
        assert!((3.0..5.0).contains(&mean_ms), "{work:?}: {mean_ms}");
    }
}

#[test]
fn slots_cancelled_waiter_skipped() {
    on_runtime(async {
        let slots = Slots::new(1, 2);
        let first = slots.acquire().await.unwrap();
        let cancelled = Box::pin(slots.acquire());
        let mut cancelled = Some(cancelled);
        assert!(futures::poll!(cancelled.as_mut().unwrap()).is_pending());
        let mut next = Box::pin(slots.acquire());
        assert!(futures::poll!(&mut next).is_pending());
        assert!(slots.acquire().await.is_err(), "the wait queue is full");
        cancelled.take();
        drop(first);
        assert!(next.await.is_ok());
        assert_eq!((slots.running(), slots.waiting()), (0, 0));
    });
}

#[test]
fn request_answer_names_its_path_and_reports_load() {
    on_runtime(async {
        let started = start(&[]);
        let answer = started.get("/timetable?nonce=9").await.unwrap();
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(body["path"], "/timetable?nonce=9");
        let report: LoadReport = answer.header(REPORT_HEADER).parse().unwrap();
        assert_eq!((report.slots, report.leaving), (6, false));
        assert_eq!(started.counter("executions").await, 1);
    });
}

#[test]
fn probe_takes_no_slot_and_is_counted() {
    on_runtime(async {
        let started = start(&[]);
        let answer = exchange(started.server, "HEAD", PROBE_PATH, b"").await.unwrap();
        assert!(answer.header(REPORT_HEADER).parse::<LoadReport>().is_ok());
        assert_eq!(started.counter("probes").await, 1);
        assert_eq!(started.counter("executions").await, 0);
    });
}

#[test]
fn shedding_answers_not_run() {
    on_runtime(async {
        let started = start(&["--slots", "1", "--room", "0"]);
        let mut busy = Conn::connect(started.server).await.unwrap();
        busy.write(request_head("GET", "/a?work_ms=60000", &[])).await.unwrap();
        started.wait_for("executions", 1).await;
        let answer = started.get("/b").await.unwrap();
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header(NOT_RUN_HEADER), "1");
        assert_eq!(started.counter("executions").await, 1);
    });
}

#[test]
fn closing_cancels_the_request() {
    on_runtime(async {
        let started = start(&[]);
        let mut conn = Conn::connect(started.server).await.unwrap();
        conn.write(request_head("GET", "/a?work_ms=60000", &[])).await.unwrap();
        started.wait_for("executions", 1).await;
        drop(conn);
        started.wait_for("cancelled", 1).await;
        assert_eq!(started.counter("answered").await, 0);
    });
}

#[test]
fn deadline_ends_the_request() {
    on_runtime(async {
        let started = start(&[]);
        let mut conn = Conn::connect(started.server).await.unwrap();
        let headers = [("galenapath-deadline-ms", "20")];
        conn.write(request_head("GET", "/a?work_ms=60000", &headers)).await.unwrap();
        let head = conn.read_answer().await.unwrap();
        assert_eq!(head.status, 504);
        assert!(!head.headers.contains_key(NOT_RUN_HEADER), "the request had started");
    });
}

#[test]
fn crash_on_marker_closes_all_and_restarts() {
    on_runtime(async {
        let started = start(&["--restart-after", "20ms"]);
        started.faults(r#"{"server":"b1","crash_on":"poison"}"#).await;
        let mut other = Conn::connect(started.server).await.unwrap();
        other.write(request_head("GET", "/a?work_ms=60000", &[])).await.unwrap();
        started.wait_for("executions", 1).await;
        assert!(started.get("/poison").await.is_err());
        assert!(other.read_answer().await.is_err());
        let began = Instant::now();
        while started.get("/after").await.is_err() {
            assert!(began.elapsed() < WAIT_LIMIT);
            sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn stop_halfway_truncates() {
    on_runtime(async {
        let started = start(&[]);
        started.faults(r#"{"stop_halfway":true}"#).await;
        assert!(matches!(started.get("/a").await, Err(WireError::Truncated)));
        assert!(matches!(started.get("/a?bytes=100000").await, Err(WireError::Truncated)));
    });
}

#[test]
fn false_report_shows_idle() {
    on_runtime(async {
        let started = start(&[]);
        started.faults(r#"{"reports":"lie"}"#).await;
        let mut busy = Conn::connect(started.server).await.unwrap();
        busy.write(request_head("GET", "/a?work_ms=60000", &[])).await.unwrap();
        started.wait_for("executions", 1).await;
        let answer = started.get(PROBE_PATH).await.unwrap();
        let report: LoadReport = answer.header(REPORT_HEADER).parse().unwrap();
        assert_eq!(report.in_flight, 0);
    });
}

#[test]
fn download_pattern_matches_its_path() {
    on_runtime(async {
        let started = start(&[]);
        let path = "/brochure?bytes=1000003";
        let mut conn = Conn::connect(started.server).await.unwrap();
        conn.write(request_head("GET", path, &[])).await.unwrap();
        let head = conn.read_answer().await.unwrap();
        let mut framing = Framing::of_answer(&Method::GET, head.status, &head.headers);
        let mut offset = 0;
        while let Some(part) = conn.read_part(&mut framing).await.unwrap() {
            assert_eq!(part, pattern_bytes(pattern_seed(path), offset, part.len()));
            offset += part.len() as u64;
        }
        assert_eq!(offset, 1_000_003);
    });
}

#[test]
fn connections_beyond_the_limit_refused() {
    on_runtime(async {
        let started = start(&["--connections", "1"]);
        let mut first = Conn::connect(started.server).await.unwrap();
        first.write(request_head("GET", "/a", &[])).await.unwrap();
        first.read_answer().await.unwrap();
        assert!(started.get("/b").await.is_err());
        assert_eq!(started.counter("connections_refused").await, 1);
    });
}

#[test]
fn drained_server_reports_leaving_and_closes() {
    on_runtime(async {
        let started = start(&[]);
        exchange(started.admin, "PUT", "/admin/drain", br#"{"server":"b1"}"#).await.unwrap();
        let answer = started.get("/a").await.unwrap();
        assert_eq!(answer.header("connection"), "close");
        assert!(answer.header(REPORT_HEADER).parse::<LoadReport>().unwrap().leaving);
        assert!(started.counter("last_request_after_leaving_ms").await < 5_000);
    });
}
