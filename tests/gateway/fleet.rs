//! Instances that are killed, frozen, stopped and started.

use crate::support::{Gateway, WAIT_TIMEOUT, World, config, wait_until};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Starts two instances that know each other. Returns the one whose address callers are given, then
/// the other one.
fn start_two(world: &World) -> (Gateway, Gateway) {
    let first = Gateway::start_ready(world, &[]);
    let second = Gateway::start_ready(world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    let advertised = first.addresses();
    assert_eq!(advertised.len(), 1);
    assert_eq!(advertised, second.addresses());
    if advertised == [first.callers()] { (first, second) } else { (second, first) }
}

#[test]
fn instance_killed_left_out_of_answers() {
    let world = World::start();
    let (mut advertised, other) = start_two(&world);
    advertised.kill();
    let began = Instant::now();
    wait_until("the other address", || other.addresses() == [other.callers()]);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

#[test]
fn instance_frozen_left_out_until_resumed() {
    let world = World::start();
    let (advertised, other) = start_two(&world);
    advertised.signal("-STOP");
    wait_until("the other address", || other.addresses() == [other.callers()]);
    advertised.signal("-CONT");
    wait_until("the address of the resumed instance", || {
        other.addresses() == [advertised.callers()]
    });
    assert_eq!(advertised.send_lookup("t1").status, 200);
}

#[test]
fn stop_planned_leaves_answers_first_and_finishes_requests() {
    let world = World::start();
    let (mut advertised, other) = start_two(&world);
    let mut connection = TcpStream::connect(advertised.callers()).unwrap();
    connection.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    advertised.signal("-TERM");
    wait_until("the other address", || other.addresses() == [other.callers()]);
    assert!(!advertised.is_ready());
    // A caller with an older address list is still served, and its connection is closed after the
    // answer.
    assert_eq!(advertised.send_lookup("u1").status, 200);
    connection
        .write_all(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: u2\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(advertised.wait().success());
    // The process has ended, but the thread that reads its output may not have finished.
    wait_until("the last line", || advertised.log().iter().any(|line| line["event"] == "stopped"));
}

#[test]
fn all_killed_at_once_serve_again() {
    let world = World::start();
    let mut first = Gateway::start_ready(&world, &[]);
    let mut second = Gateway::start_ready(&world, &[&first]);
    world.store.put("op/config", &config(7, &[]));
    first.kill();
    second.kill();
    first.kill_and_start();
    second.kill_and_start();
    let began = Instant::now();
    for gateway in [&first, &second] {
        wait_until("readiness", || gateway.is_ready());
        assert_eq!(gateway.send_lookup("v1").status, 200);
        assert!(gateway.metrics().contains("galenapath_config_version 7"));
    }
    assert!(began.elapsed() < Duration::from_secs(3));
}
