//! `galenactl trace`, which explains a failed request from the logs of an instance; and the limits
//! of these logs.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::users_platform::ServerFault;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// Writes the logs of an instance to a file and runs `galenactl trace` on it for a request.
fn trace(gateway: &Gateway, id: &str) -> String {
    gateway.log_of(id);
    let file = write_log(gateway, id);
    let output =
        Command::new(env!("CARGO_BIN_EXE_galenactl")).args(["trace", id]).arg(&file).output();
    std::fs::remove_file(&file).unwrap();
    let output = output.unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn write_log(gateway: &Gateway, id: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("log-{}-{id}", std::process::id()));
    let lines: Vec<String> = gateway.log().iter().map(ToString::to_string).collect();
    std::fs::write(&file, lines.join("\n")).unwrap();
    file
}

fn assert_contains_all(report: &str, texts: &[&str]) {
    for text in texts {
        assert!(report.contains(text), "`{text}` is missing in\n{report}");
    }
}

#[test]
fn trace_filing_without_an_answer() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("file") {
        server.set_fault(ServerFault::Hang);
    }
    assert_eq!(gateway.send_filing("t1").status, 504);
    let report = trace(&gateway, "t1");
    assert_contains_all(
        &report,
        &["verdict=may-have-run", "outcome=timeout", "sent there", "three times"],
    );
    assert_contains_all(&report, &["sends=1", "configuration in force"]);
}

#[test]
fn trace_lookup_refused_in_a_burst() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_slowdown(2_000);
    }
    // Two servers with six slots cannot answer forty concurrent requests in time.
    let refused = std::thread::scope(|scope| {
        let send = |n: usize| {
            let gateway = &gateway;
            scope.spawn(move || (n, gateway.send_lookup(&format!("u{n}"))))
        };
        let threads: Vec<_> = (0..40).map(send).collect();
        let answers = threads.into_iter().map(|thread| thread.join().unwrap());
        answers.filter(|(_, answer)| answer.status == 503).map(|(n, _)| n).collect::<Vec<_>>()
    });
    let id = format!("u{}", refused.first().expect("some are refused"));
    let report = trace(&gateway, &id);
    assert_contains_all(
        &report,
        &["outcome=no_room", "verdict=not-run", "its wait was predicted to last"],
    );
    assert_contains_all(&report, &["retry_after_ms="]);
}

#[test]
fn trace_request_before_route_was_configured() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let answer = gateway.request("GET", "/new/1", "v1", 900, b"");
    assert_eq!(answer.status, 404);
    let mut changed = config(7, &[]);
    changed["resources"].as_array_mut().unwrap().push(serde_json::json!({
        "resource_type": "routes", "metadata": { "name": "new" },
        "spec": { "host": "h.example", "prefix": "/new/", "kind": "idempotent", "timeout_ms": 2000,
                  "target_latency_ms": 400, "priority": 1, "service": "look", "max_attempts": 2 },
    }));
    world.store.put("op/config", &changed);
    wait_until("the new route", || gateway.request("GET", "/new/1", "v2", 900, b"").status == 200);
    let report = trace(&gateway, "v1");
    assert_contains_all(
        &report,
        &["reason=no_route", "config=1", "configuration in force", "version=7"],
    );
}

#[test]
fn trace_unknown_request_says_where_to_look() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let file = write_log(&gateway, "none");
    let output =
        Command::new(env!("CARGO_BIN_EXE_galenactl")).args(["trace", "none"]).arg(&file).output();
    std::fs::remove_file(&file).unwrap();
    let output = output.unwrap();
    assert_eq!(output.status.code(), Some(7));
    assert!(String::from_utf8_lossy(&output.stderr).contains("galenapath_log_left_out_total"));
}

#[test]
fn log_without_a_reader_blocks_nothing() {
    let world = World::start();
    let mut gateway = Gateway::start_unread(&world);
    wait_until("readiness", || gateway.is_ready());
    let began = Instant::now();
    // Each request has a log line of about 300 bytes. The pipe holds 64 KiB, and the buffer of the
    // instance 32 KiB more.
    for n in 0..1_500 {
        assert_eq!(gateway.request("GET", "/none/1", &format!("w{n}"), 900, b"").status, 404);
    }
    assert_eq!(gateway.send_lookup("w-end").status, 200);
    assert!(began.elapsed() < Duration::from_secs(20), "{:?}", began.elapsed());
    let lines = gateway.kill_and_read_log();
    let (last, whole) = lines.split_last().unwrap();
    assert!(whole.len() < 1_000, "{} lines", whole.len());
    for line in whole {
        serde_json::from_str::<serde_json::Value>(line).unwrap_or_else(|e| panic!("{e}: {line}"));
    }
    assert!(!last.is_empty());
}

#[test]
fn log_bounded_at_ten_times_its_lines() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    gateway.change_settings("[log]\nlines_per_second = 1\n");
    gateway.signal("-HUP");
    wait_until("the new settings", || {
        gateway.log().iter().any(|line| line["event"].as_str().unwrap_or("").starts_with("reload"))
    });
    let before = gateway.log().len();
    let began = Instant::now();
    let mut offered = 0;
    while began.elapsed() < Duration::from_millis(1_500) {
        gateway.request("GET", "/none/1", &format!("x{offered}"), 900, b"");
        offered += 1;
    }
    let written = gateway.log().len() - before;
    // Ten lines a second about failures for at most three seconds, and a few other lines.
    assert!(offered > 100, "{offered}");
    assert!(written <= 40, "{written} lines of {offered}");
    assert!(gateway.metrics().contains("galenapath_log_left_out_total"));
}
