//! How requests of callers are answered, from routing to log lines.

use crate::support::{Gateway, WAIT_TIMEOUT, World, config, send_request, wait_until};
use galenapath_dev::users_platform::ServerFault;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn requests_of_each_kind_answered() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("load") {
        server.set_body(600_000);
    }
    let lookup = gateway.send_lookup("a1");
    assert_eq!((lookup.status, lookup.is_whole), (200, true));
    assert_eq!(lookup.header("x-response-signature"), Some("3e1b.07"));
    assert_eq!(lookup.header("x-attempt-id"), Some("a1"));
    assert_eq!(lookup.header("x-backend-load"), None);
    let filing = gateway.send_filing("a2");
    assert_eq!((filing.status, filing.is_whole), (200, true));
    let download = gateway.request("GET", "/load/1", "a3", 1_500, b"");
    assert_eq!((download.status, download.is_whole, download.body.len()), (200, true, 600_000));
    let seen = world
        .servers_of("file")
        .iter()
        .flat_map(|server| server.executed_requests())
        .next()
        .unwrap();
    assert_eq!((seen.line.as_str(), seen.id.as_str()), ("POST /file/1", "a2"));
    assert_eq!(seen.body, b"a filing");
    assert!(seen.left_ms <= 1_500 && seen.left_ms > 1_000, "{}", seen.left_ms);
}

#[test]
fn requests_without_route_refused() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    assert_eq!(gateway.request("GET", "/none/1", "b1", 900, b"").status, 404);
    let at = gateway.callers();
    assert_eq!(
        send_request(at, "GET /look/1 HTTP/1.1\r\nHost: other.example\r\n", b"").status,
        404
    );
    assert_eq!(send_request(at, "GET /look/1 HTTP/1.1\r\n", b"").status, 400);
    let twice = "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nHost: h.example\r\n";
    assert_eq!(send_request(at, twice, b"").status, 400);
    let large = vec![b'x'; 200_000];
    assert_eq!(gateway.request("POST", "/file/1", "b2", 900, &large).status, 413);
    assert_eq!(world.run_count("file") + world.run_count("look"), 0);
}

#[test]
fn heads_that_cannot_be_framed_closed() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for head in [
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET /look/1 HTTP/9.9\r\nHost: h.example\r\n\r\n",
        "POST /file/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length : 3\r\n\r\nabc",
        "POST /file/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        let mut io = TcpStream::connect(gateway.callers()).unwrap();
        io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        io.write_all(head.as_bytes()).unwrap();
        let began = Instant::now();
        let mut answer = String::new();
        // The instance closes with unread bytes, which may reset the connection.
        let _ = io.read_to_string(&mut answer);
        assert!(answer.starts_with("HTTP/1.1 400") || answer.starts_with("HTTP/1.1 505"), "{head}");
        assert!(began.elapsed() < Duration::from_secs(2), "{head}");
    }
    assert_eq!(world.run_count("file") + world.run_count("look"), 0);
}

#[test]
fn filing_not_run_reported() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("file") {
        server.set_fault(ServerFault::Shed);
    }
    let answer = gateway.send_filing("c1");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(world.run_count("file"), 0);
    assert_eq!(gateway.log_of("c1")["verdict"], "not-run");
}

#[test]
fn caller_disconnect_cancels_work() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_slowdown(10_000);
    }
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.write_all(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: k1\r\n\r\n").unwrap();
    wait_until("the request to reach a server", || world.run_count("look") > 0);
    drop(io);
    let cancelled =
        || world.servers_of("look").iter().map(|server| server.cancelled()).sum::<usize>();
    wait_until("the work to be cancelled", || cancelled() > 0);
    assert_eq!(gateway.log_of("k1")["outcome"], "caller_left");
}

#[test]
fn route_timeout_ends_the_request() {
    let world = World::start();
    world.store.put("op/config", &config(2, &[("file", "timeout_ms", json!(300))]));
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("file") {
        server.set_fault(ServerFault::Hang);
    }
    let began = Instant::now();
    let answer = gateway.request("POST", "/file/1", "l1", 5_000, b"x");
    let took = began.elapsed();
    assert_eq!(answer.status, 504);
    assert!(took >= Duration::from_millis(290) && took < Duration::from_millis(800), "{took:?}");
    let deadlines: Vec<u64> = world
        .servers_of("file")
        .iter()
        .flat_map(|s| s.executed_requests())
        .map(|s| s.left_ms)
        .collect();
    assert!(deadlines.iter().all(|left_ms| *left_ms <= 300), "{deadlines:?}");
}

#[test]
fn split_shares_follow_weights() {
    let world = World::start();
    let split = json!([{ "service": "look", "weight": 75 }, { "service": "load", "weight": 25 }]);
    world.store.put("op/config", &config(2, &[("look", "traffic_split", split)]));
    let gateway = Gateway::start_ready(&world, &[]);
    for n in 0..40 {
        assert_eq!(gateway.send_lookup(&format!("n{n}")).status, 200);
    }
    let share = world.run_count("look");
    assert!((29..=31).contains(&share), "{share}");
}

#[test]
fn log_lines_explain_requests() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    assert_eq!(gateway.send_lookup("w1").status, 200);
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
fn settings_changed_applied_and_bad_ones_refused() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let has = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
    gateway.signal("-HUP");
    wait_until("the reload without a change", || has("reload: settings have not changed"));
    gateway.change_settings("[callers]\nkeep_addresses = \"3s\"\n");
    gateway.signal("-HUP");
    wait_until("the reload with a change", || has("reload: settings changed"));
    assert_eq!(gateway.address_answer()["ttl_s"], 3.0);
    gateway.change_settings("[callers]\nkeep_addresses = \"never\"\n");
    wait_until("the settings to be refused without a signal", || {
        has("settings refused; the last good ones stay in force")
    });
    assert_eq!(gateway.address_answer()["ttl_s"], 3.0);
    assert_eq!(gateway.send_lookup("x1").status, 200);
}

#[test]
fn first_request_queries_server_load() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    assert_eq!(gateway.send_filing("y1").status, 200);
    let steps = gateway.log_of("y1")["steps"].as_str().unwrap().to_owned();
    assert!(steps.contains(":sent:load"), "sent without a load observation: {steps}");
}
