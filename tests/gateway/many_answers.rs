//! Many large answers at the same time, on an instance with little memory.

use crate::support::{Gateway, World, config, wait_until};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Number of callers that wait for a large answer at the same time.
const CALLERS: usize = 120;

/// Memory of the instance in MB, and the part of it that answers may take together, in kilobytes.
const MEMORY_MB: u64 = 32;
const ANSWERS_KB: u64 = MEMORY_MB * 1024 / 8;

/// Memory that a request with a large answer may take besides, in kilobytes: what is always read of
/// the answer, and the buffers of both connections.
const EACH_KB: u64 = 80;

/// Length of a large answer in bytes.
const LEN: usize = 3 << 20;

fn start(world: &World) -> Gateway {
    // No quota of servers keeps the answers from being read all at once.
    world.store.put("op/config", &config(2, &[("load", "timeout_ms", json!(20_000))]));
    let gateway = Gateway::start_ready(world, &[]);
    let text = gateway.settings_text();
    let text = text.replace("[listen]", &format!("memory_mb = {MEMORY_MB}\n[listen]"));
    gateway.rewrite_settings(&text);
    gateway.signal("-HUP");
    let has = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
    wait_until("the settings", || has("reload: settings changed"));
    gateway
}

/// Sends a request for a large answer, whose caller reads nothing yet.
fn ask(gateway: &Gateway, n: usize, left_ms: u64) -> TcpStream {
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    let head = format!(
        "GET /load/1?bytes={LEN}&work_ms=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: m{n}\r\n\
         X-Request-Deadline-Ms: {left_ms}\r\nConnection: close\r\n\r\n"
    );
    io.write_all(head.as_bytes()).unwrap();
    io
}

/// The highest memory of the instance within `span`, in kilobytes.
fn peak_kb(gateway: &Gateway, span: Duration) -> u64 {
    let at_begin = Instant::now();
    let mut peak = 0;
    while at_begin.elapsed() < span {
        peak = peak.max(gateway.memory_kb());
        std::thread::sleep(Duration::from_millis(5));
    }
    peak
}

/// Guards against an instance that runs out of memory, with the requests of all its callers, because
/// each of many answers at a time is within its bound.
#[test]
fn large_answers_at_the_same_time_bounded_together() {
    let world = World::start();
    let gateway = start(&world);
    let before = gateway.memory_kb();
    let mut callers: Vec<TcpStream> = (0..CALLERS).map(|n| ask(&gateway, n, 20_000)).collect();
    let peak = peak_kb(&gateway, Duration::from_secs(2));
    let more = peak - before;
    let mut whole = 0;
    for io in &mut callers {
        let mut bytes = Vec::new();
        io.read_to_end(&mut bytes).unwrap();
        whole += usize::from(bytes.len() > LEN);
    }
    println!("{before} kB before, {more} kB more; {whole} of {CALLERS} answers whole");
    assert!(more < ANSWERS_KB + EACH_KB * CALLERS as u64, "{more} kB more");
}
