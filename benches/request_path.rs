//! Processor time of a gateway for a request of each kind, and for a second without requests.
//!
//! Run with `cargo bench --bench request_path`. Only the instance's own process counts, with its
//! user and kernel time as the scheduler accounts it; callers and servers run in other processes
//! or threads.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a bench fails by panicking")]

#[path = "../tests/gateway/support.rs"]
mod support;

use std::time::Duration;
use support::callers::PersistentConnection;
use support::{Gateway, World};

/// Number of requests of each kind.
const REQUESTS: u32 = 2_000;

/// Time over which the cost of an instance without requests is averaged.
const IDLE: Duration = Duration::from_secs(5);

/// Processor time that a process has used since its start.
fn processor_time(pid: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let nanos = tasks.map(|task| {
        let account = std::fs::read_to_string(task.unwrap().path().join("schedstat")).unwrap();
        account.split(' ').next().unwrap().parse::<u64>().unwrap()
    });
    Duration::from_nanos(nanos.sum())
}

/// Average processor time of one request over `REQUESTS` requests.
fn per_request(gateway: &Gateway, mut send: impl FnMut(u32)) -> Duration {
    let before = processor_time(gateway.pid());
    (0..REQUESTS).for_each(&mut send);
    (processor_time(gateway.pid()) - before) / REQUESTS
}

fn head(line: &str, n: u32) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {n}\r\nX-Request-Deadline-Ms: 1500\r\n"
    )
}

fn main() {
    let world = World::start();
    for (_, server) in &world.servers {
        server.set_work(Duration::ZERO);
    }
    world.servers_of("load").iter().for_each(|server| server.set_body(90_000));
    let gateway = Gateway::start_ready(&world, &[]);
    std::thread::sleep(IDLE);
    let before = processor_time(gateway.pid());
    std::thread::sleep(IDLE);
    let idle = (processor_time(gateway.pid()) - before).div_f64(IDLE.as_secs_f64());
    println!("idle, for a second: {idle:?}");
    for (label, line, body) in [
        ("lookup", "GET /look/1", ""),
        ("filing", "POST /file/1", "a filing"),
        ("download of 90 KB", "GET /load/1", ""),
    ] {
        let mut connection = PersistentConnection::open(gateway.callers()).unwrap();
        let cost = per_request(&gateway, |n| {
            let answer = connection.send_request(&head(line, n), body.as_bytes()).unwrap();
            assert_eq!(answer.status, 200, "{label}");
        });
        println!("{label}, persistent connection: {cost:?}");
    }
    let cost = per_request(&gateway, |n| {
        assert_eq!(gateway.send_lookup(&format!("n{n}")).status, 200);
    });
    println!("lookup, new connection: {cost:?}");
}
