//! Instances that end, freeze, stop and start.

use crate::support::{Gateway, LIMIT, World, config, wait_until};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Two instances that know each other: the one that callers are told, and the other one.
fn start_two(world: &World) -> (Gateway, Gateway) {
    let first = Gateway::ready(world, &[]);
    let second = Gateway::ready(world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    let told = first.addresses();
    assert_eq!(told.len(), 1);
    assert_eq!(told, second.addresses());
    if told == [first.callers()] { (first, second) } else { (second, first) }
}

#[test]
fn instance_killed_left_out_of_answers() {
    let world = World::start();
    let (mut told, other) = start_two(&world);
    told.kill();
    let began = Instant::now();
    wait_until("the other address", || other.addresses() == [other.callers()]);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

#[test]
fn instance_frozen_left_out_and_taken_back() {
    let world = World::start();
    let (told, other) = start_two(&world);
    told.signal("-STOP");
    wait_until("the other address", || other.addresses() == [other.callers()]);
    told.signal("-CONT");
    wait_until("the address again", || other.addresses() == [told.callers()]);
    assert_eq!(told.look("t1").status, 200);
}

#[test]
fn stop_planned_leaves_answers_first_and_cuts_nothing() {
    let world = World::start();
    let (mut told, other) = start_two(&world);
    let mut kept = TcpStream::connect(told.callers()).unwrap();
    kept.set_read_timeout(Some(LIMIT)).unwrap();
    told.signal("-TERM");
    wait_until("the other address", || other.addresses() == [other.callers()]);
    assert!(!told.is_ready());
    // A caller with an older answer is still served, and told that the connection ends.
    assert_eq!(told.look("u1").status, 200);
    kept.write_all(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: u2\r\n\r\n").unwrap();
    let mut answer = String::new();
    kept.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(told.wait().success());
    // The process has ended; what reads its output may not have come to its end.
    wait_until("the last line", || told.log().iter().any(|line| line["event"] == "stopped"));
}

#[test]
fn all_killed_at_once_serve_again() {
    let world = World::start();
    let mut first = Gateway::ready(&world, &[]);
    let mut second = Gateway::ready(&world, &[&first]);
    world.store.put("op/config", &config(7, &[]));
    first.kill();
    second.kill();
    first.kill_and_start();
    second.kill_and_start();
    let began = Instant::now();
    for gateway in [&first, &second] {
        wait_until("readiness", || gateway.is_ready());
        assert_eq!(gateway.look("v1").status, 200);
        assert!(gateway.metrics().contains("galenapath_config_version 7"));
    }
    assert!(began.elapsed() < Duration::from_secs(3));
}
