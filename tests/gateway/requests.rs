//! What callers get for their requests.

use crate::support::{Gateway, LIMIT, World, ask, config, wait_until};
use galenapath_dev::users_platform::ServerFault;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn requests_of_each_kind_answered() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("load") {
        server.set_body(600_000);
    }
    let look = gateway.look("a1");
    assert_eq!((look.status, look.is_whole), (200, true));
    assert_eq!(look.header("x-response-signature"), Some("3e1b.07"));
    assert_eq!(look.header("x-attempt-id"), Some("a1"));
    assert_eq!(look.header("x-backend-load"), None);
    let file = gateway.file("a2");
    assert_eq!((file.status, file.is_whole), (200, true));
    let load = gateway.request("GET", "/load/1", "a3", 1_500, b"");
    assert_eq!((load.status, load.is_whole, load.body.len()), (200, true, 600_000));
    let seen =
        world.of("file").iter().flat_map(|server| server.executed_requests()).next().unwrap();
    assert_eq!((seen.line.as_str(), seen.id.as_str()), ("POST /file/1", "a2"));
    assert_eq!(seen.body, b"a filing");
    assert!(seen.left_ms <= 1_500 && seen.left_ms > 1_000, "{}", seen.left_ms);
}

#[test]
fn requests_without_route_refused() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    assert_eq!(gateway.request("GET", "/none/1", "b1", 900, b"").status, 404);
    let at = gateway.callers();
    assert_eq!(ask(at, "GET /look/1 HTTP/1.1\r\nHost: other.example\r\n", b"").status, 404);
    assert_eq!(ask(at, "GET /look/1 HTTP/1.1\r\n", b"").status, 400);
    let twice = "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nHost: h.example\r\n";
    assert_eq!(ask(at, twice, b"").status, 400);
    let large = vec![b'x'; 200_000];
    assert_eq!(gateway.request("POST", "/file/1", "b2", 900, &large).status, 413);
    assert_eq!(world.ran("file") + world.ran("look"), 0);
}

#[test]
fn heads_that_cannot_be_framed_closed() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for head in [
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET /look/1 HTTP/9.9\r\nHost: h.example\r\n\r\n",
        "POST /file/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length : 3\r\n\r\nabc",
        "POST /file/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        let mut io = TcpStream::connect(gateway.callers()).unwrap();
        io.set_read_timeout(Some(LIMIT)).unwrap();
        io.write_all(head.as_bytes()).unwrap();
        let began = Instant::now();
        let mut answer = String::new();
        // The rest of what was sent is unread, so that the end may be a reset.
        let _ = io.read_to_string(&mut answer);
        assert!(answer.starts_with("HTTP/1.1 400") || answer.starts_with("HTTP/1.1 505"), "{head}");
        assert!(began.elapsed() < Duration::from_secs(2), "{head}");
    }
    assert_eq!(world.ran("file") + world.ran("look"), 0);
}

#[test]
fn filing_not_run_told_so() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("file") {
        server.set_fault(ServerFault::Shed);
    }
    let answer = gateway.file("c1");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(world.ran("file"), 0);
    assert_eq!(gateway.log_of("c1")["verdict"], "not-run");
}

#[test]
fn caller_gone_cancels_its_work() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("look") {
        server.set_pace(10_000);
    }
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.write_all(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: k1\r\n\r\n").unwrap();
    wait_until("the request", || world.ran("look") > 0);
    drop(io);
    let cancelled = || world.of("look").iter().map(|server| server.cancelled()).sum::<usize>();
    wait_until("the end of the work", || cancelled() > 0);
    assert_eq!(gateway.log_of("k1")["outcome"], "caller_left");
}

#[test]
fn route_timeout_ends_the_request() {
    let world = World::start();
    world.store.put("op/config", &config(2, &[("file", "timeout_ms", json!(300))]));
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("file") {
        server.set_fault(ServerFault::Hang);
    }
    let began = Instant::now();
    let answer = gateway.request("POST", "/file/1", "l1", 5_000, b"x");
    let took = began.elapsed();
    assert_eq!(answer.status, 504);
    assert!(took >= Duration::from_millis(290) && took < Duration::from_millis(800), "{took:?}");
    let left: Vec<u64> =
        world.of("file").iter().flat_map(|s| s.executed_requests()).map(|s| s.left_ms).collect();
    assert!(left.iter().all(|left| *left <= 300), "{left:?}");
}

#[test]
fn split_shares_follow_weights() {
    let world = World::start();
    let split = json!([{ "service": "look", "weight": 75 }, { "service": "load", "weight": 25 }]);
    world.store.put("op/config", &config(2, &[("look", "traffic_split", split)]));
    let gateway = Gateway::ready(&world, &[]);
    for n in 0..40 {
        assert_eq!(gateway.look(&format!("n{n}")).status, 200);
    }
    let share = world.ran("look");
    assert!((29..=31).contains(&share), "{share}");
}

#[test]
fn log_lines_explain_requests() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    assert_eq!(gateway.look("w1").status, 200);
    let line = gateway.log_of("w1");
    for key in ["route", "service", "status", "outcome", "verdict", "took_ms", "steps", "config"] {
        assert!(!line[key].is_null(), "{key}: {line}");
    }
    assert!(line["steps"].as_str().unwrap().contains(":answered:"), "{line}");
    let events: Vec<_> = gateway.log().iter().map(|l| l["event"].clone()).collect();
    for event in ["started", "configuration in force", "watching the store"] {
        wait_until(event, || gateway.log().iter().any(|l| l["event"] == event));
    }
    assert!(!events.is_empty());
}

#[test]
fn settings_changed_taken_over_and_bad_ones_refused() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    let has = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
    gateway.signal("-HUP");
    wait_until("the word", || has("reload: settings have not changed"));
    gateway.change_settings("[callers]\nkeep_addresses = \"3s\"\n");
    gateway.signal("-HUP");
    wait_until("the change", || has("reload: settings changed"));
    assert_eq!(gateway.address_answer()["ttl_s"], 3.0);
    gateway.change_settings("[callers]\nkeep_addresses = \"never\"\n");
    wait_until("the refusal, without a signal", || {
        has("settings refused; the last good ones stay in force")
    });
    assert_eq!(gateway.address_answer()["ttl_s"], 3.0);
    assert_eq!(gateway.look("x1").status, 200);
}

#[test]
fn first_request_asks_its_server() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    assert_eq!(gateway.file("y1").status, 200);
    let steps = gateway.log_of("y1")["steps"].as_str().unwrap().to_owned();
    assert!(steps.contains(":sent:load"), "sent without knowledge: {steps}");
}
