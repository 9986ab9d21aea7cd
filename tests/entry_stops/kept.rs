//! Kept connections: idle ones that wake at any moment of the stop, and how they are closed.

use crate::lateness::Lateness;
use crate::support::{Client, Instance};
use crate::world::{Sent, World, exchange, sleep_until};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const LIMITS: &str = "drain_timeout = \"5s\"";

/// Sends one request on each of `count` kept connections, spread evenly over `times` after the
/// signal.
fn wake(
    instance: &mut Instance,
    count: u32,
    times: (Duration, Duration),
    (query, deadline_ms): (&str, u32),
) -> (Vec<Sent>, Duration) {
    let clients: Vec<Client> = (0..count)
        .map(|n| {
            let mut client = Client::connect(instance.callers);
            assert_eq!(exchange(&mut client, "GET", &format!("/look/first/{n}"), "").status, 200);
            client
        })
        .collect();
    instance.signal(Signal::TERM);
    let signal = Instant::now();
    let step = (times.1 - times.0) / count;
    let threads: Vec<_> = (0..count)
        .zip(clients)
        .map(|(n, mut client)| {
            let path = format!("/look/{n}?{query}");
            let headers = format!("Galenapath-Deadline-Ms: {deadline_ms}\r\n");
            std::thread::spawn(move || {
                sleep_until(signal + times.0 + step * n);
                let at = signal.elapsed();
                let answer = exchange(&mut client, "GET", &path, &headers);
                Sent { path, at, answer }
            })
        })
        .collect();
    assert_eq!(instance.wait_end().code(), Some(0));
    let took = signal.elapsed();
    (threads.into_iter().map(|thread| thread.join().unwrap()).collect(), took)
}

#[test]
fn kept_connections_woken_late_none_lost() {
    let world = World::new();
    let mut instance = world.start("e1", LIMITS);
    let times = (Duration::from_millis(20), Duration::from_secs(5));
    let lateness = Lateness::watch();
    let (sent, took) = wake(&mut instance, 80, times, ("work_ms=400", 1_500));
    world.assert_none_lost(&sent);
    assert!(took < Duration::from_secs(5), "{took:?}");
    let early_until = lateness.early_until(Duration::from_secs(2), Duration::from_millis(1_500));
    let early = sent.iter().filter(|sent| sent.at < early_until);
    assert!(early.clone().count() >= 20);
    for sent in early {
        assert!(sent.is_answered(), "{sent}");
        assert_eq!(sent.answer.header("connection"), Some("close"));
    }
}

#[test]
fn kept_connections_long_work_none_lost() {
    let world = World::new();
    let mut instance = world.start("e1", LIMITS);
    let times = (Duration::from_millis(20), Duration::from_secs(5));
    let (sent, took) = wake(&mut instance, 30, times, ("work_ms=1800", 2_500));
    world.assert_none_lost(&sent);
    assert!(took < Duration::from_secs(5), "{took:?}");
}

#[test]
fn kept_connections_idle_closed_without_reset() {
    let world = World::new();
    let mut instance = world.start("e1", LIMITS);
    let mut client = Client::connect(instance.callers);
    assert_eq!(exchange(&mut client, "GET", "/look/first", "").status, 200);
    // It holds up the end of the process.
    let mut running = Client::connect(instance.callers);
    running.get("/look/running?work_ms=3000", "");
    std::thread::sleep(Duration::from_millis(50));
    instance.signal(Signal::TERM);
    let signal = Instant::now();
    let mut byte = [0];
    // Shut down by the instance, and not before callers have had time to leave.
    assert_eq!(std::io::Read::read(&mut client.io, &mut byte).unwrap(), 0);
    let closed = signal.elapsed();
    assert!(closed > Duration::from_secs(2) && closed < Duration::from_millis(2_800), "{closed:?}");
    assert!(instance.is_running(), "closed by the end of the process after {closed:?}");
    // A request that crosses the close stays unread.
    let mut io = &client.io;
    let _ = std::io::Write::write_all(&mut io, b"GET /look/crossing HTTP/1.1\r\nHost: s\r\n\r\n");
    std::thread::sleep(Duration::from_millis(100));
    drop(client);
    assert_eq!(running.answer().status, 200);
    drop(running);
    assert_eq!(instance.wait_end().code(), Some(0));
    assert_eq!(world.run_count("/look/crossing"), 0);
    assert!(signal.elapsed() < Duration::from_secs(4), "{:?}", signal.elapsed());
}

#[test]
fn kept_connections_half_a_head_answered() {
    let world = World::new();
    let mut instance = world.start("e1", LIMITS);
    let mut client = Client::connect(instance.callers);
    assert_eq!(exchange(&mut client, "GET", "/look/first", "").status, 200);
    instance.signal(Signal::TERM);
    let signal = Instant::now();
    // The head is complete only after the idle connections are closed.
    sleep_until(signal + Duration::from_millis(2_000));
    client.send("GET /look/late HTTP/1.1\r\nHost: s\r\nGalenapath-Dead");
    sleep_until(signal + Duration::from_millis(2_700));
    client.send("line-Ms: 200\r\n\r\n");
    let answer = client.answer();
    assert_eq!(instance.wait_end().code(), Some(0));
    let sent = Sent { path: "/look/late".into(), at: signal.elapsed(), answer };
    assert!(sent.is_answered(), "{sent}");
}

#[test]
fn kept_connections_sent_ahead_answered() {
    let world = World::new();
    let mut instance = world.start("e1", LIMITS);
    let mut client = Client::connect(instance.callers);
    assert_eq!(exchange(&mut client, "GET", "/look/first", "").status, 200);
    instance.signal(Signal::TERM);
    let signal = Instant::now();
    sleep_until(signal + Duration::from_millis(500));
    // All of them have been read when the first is answered.
    let paths = ["/look/a?work_ms=300", "/look/b", "/look/c"];
    let all: String =
        paths.iter().map(|path| format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n")).collect();
    client.send(&all);
    for path in paths {
        let answer = client.answer();
        assert_eq!((answer.status, answer.text().as_str()), (200, path));
    }
    assert_eq!(instance.wait_end().code(), Some(0));
}

#[test]
fn kept_connections_idle_timeout_none_lost() {
    let world = World::new();
    let limits = "drain_timeout = \"5s\"\nidle_timeout = \"300ms\"";
    let mut instance = world.start("e1", limits);
    // Each request is sent at the moment at which its connection has been idle for too long.
    let times = (Duration::from_millis(290), Duration::from_millis(310));
    let (sent, _) = wake(&mut instance, 40, times, ("work_ms=20", 2_500));
    let answered = sent.iter().filter(|sent| sent.is_answered()).count();
    println!("{answered} of {} answered", sent.len());
    assert!(sent.iter().all(|sent| sent.answer.status != 408 || sent.is_not_run()));
    world.assert_none_lost(&sent);
}
