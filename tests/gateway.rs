//! The gateway as a process: what callers, servers and the store see of it.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[path = "gateway/support.rs"]
mod support;

use galenapath_dev::users_platform::{KvTrouble, ServerTrouble};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{Gateway, LIMIT, World, ask, config, wait_until};

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
    let seen = world.of("file").iter().flat_map(|server| server.seen()).next().unwrap();
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
        server.set_trouble(ServerTrouble::Shed);
    }
    let answer = gateway.file("c1");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(world.ran("file"), 0);
    assert_eq!(gateway.log_of("c1")["verdict"], "not-run");
}

#[test]
fn filing_run_never_sent_again() {
    for trouble in [
        ServerTrouble::Mute,
        ServerTrouble::Unsigned,
        ServerTrouble::BreaksOff,
        ServerTrouble::Busy,
    ] {
        let world = World::start();
        let gateway = Gateway::ready(&world, &[]);
        for server in world.of("file") {
            server.set_trouble(trouble);
        }
        let answer = gateway.file("d1");
        assert_eq!(answer.status, 502, "{trouble:?}");
        assert_eq!(answer.header("x-response-signature"), None);
        assert_eq!(world.ran("file"), 1, "{trouble:?}");
        assert_eq!(gateway.log_of("d1")["verdict"], "may-have-run");
    }
}

#[test]
fn lookup_failed_sent_elsewhere() {
    for trouble in [
        ServerTrouble::Mute,
        ServerTrouble::Shed,
        ServerTrouble::Errors,
        ServerTrouble::BreaksOff,
        ServerTrouble::Other,
        ServerTrouble::Hang,
    ] {
        let world = World::start();
        let gateway = Gateway::ready(&world, &[]);
        world.of("look")[0].set_trouble(trouble);
        for n in 0..3 {
            assert_eq!(gateway.look(&format!("e{n}")).status, 200, "{trouble:?}");
        }
    }
}

#[test]
fn answer_foreign_or_doubled_never_mixed() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for trouble in [ServerTrouble::Foreign, ServerTrouble::Extra] {
        for server in world.of("file") {
            server.set_trouble(trouble);
        }
        for n in 0..6 {
            let id = format!("f{n}");
            let answer = gateway.file(&id);
            assert_eq!(answer.status, 200, "{trouble:?}");
            assert_eq!(answer.header("x-attempt-id"), Some(id.as_str()));
            assert_eq!(answer.body, "x".repeat(20).as_bytes());
        }
    }
}

#[test]
fn connection_forgotten_by_server_costs_no_filing() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for n in 0..4 {
        assert_eq!(gateway.file(&format!("g{n}")).status, 200);
    }
    for server in world.of("file") {
        server.set_trouble(ServerTrouble::ForgetsIdle);
    }
    // Older than a connection that a filing trusts without asking.
    std::thread::sleep(Duration::from_millis(600));
    for n in 4..8 {
        assert_eq!(gateway.file(&format!("g{n}")).status, 200);
    }
    assert_eq!(world.ran("file"), 8);
}

#[test]
fn request_avoids_server_that_just_turned_slow() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for n in 0..8 {
        assert_eq!(gateway.file(&format!("h{n}")).status, 200);
    }
    for round in 0..10 {
        // The budget of questions: one instance may ask each server eight times a second.
        std::thread::sleep(Duration::from_millis(300));
        let servers = world.of("file");
        let (slow, fast) = (servers[round % 2], servers[(round + 1) % 2]);
        // Between two regular probes, so that only a question before the send can tell.
        slow.set_pace(3_000);
        fast.set_pace(100);
        // A regular probe just before the change is trusted for eight milliseconds.
        std::thread::sleep(Duration::from_millis(12));
        let before = fast.seen().len();
        let answer = gateway.file(&format!("hs{round}"));
        assert_eq!(answer.status, 200);
        assert_eq!(fast.seen().len(), before + 1, "round {round}");
    }
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
        server.set_trouble(ServerTrouble::Hang);
    }
    let began = Instant::now();
    let answer = gateway.request("POST", "/file/1", "l1", 5_000, b"x");
    let took = began.elapsed();
    assert_eq!(answer.status, 504);
    assert!(took >= Duration::from_millis(290) && took < Duration::from_millis(800), "{took:?}");
    let left: Vec<u64> =
        world.of("file").iter().flat_map(|s| s.seen()).map(|s| s.left_ms).collect();
    assert!(left.iter().all(|left| *left <= 300), "{left:?}");
}

#[test]
fn configuration_followed_and_never_reverted() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    assert_eq!(gateway.look("m1").status, 200);
    let moved = config(3, &[("look", "service", json!("load"))]);
    world.store.put("op/config", &moved);
    wait_until("version 3", || gateway.metrics().contains("galenapath_config_version 3"));
    let before = world.ran("load");
    assert_eq!(gateway.look("m2").status, 200);
    assert_eq!(world.ran("load"), before + 1);
    world.store.put("op/config", &config(2, &[]));
    world.store.put("op/config", &json!({ "version": "00000009", "resources": "broken" }));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(gateway.look("m3").status, 200);
    assert_eq!(world.ran("load"), before + 2);
    assert!(gateway.log().iter().any(|line| line["event"] == "configuration refused"));
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
fn server_leaving_gets_nothing_new() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    let (leaving, stays) = (world.of("look")[0].clone(), world.of("look")[1].clone());
    let (key, entry) = leaving.entry("look", "draining");
    world.store.put(&key, &entry);
    wait_until("the mark", || gateway.log().iter().any(|line| line["state"] == "Leaving"));
    let before = leaving.seen().len();
    for n in 0..6 {
        assert_eq!(gateway.look(&format!("o{n}")).status, 200);
    }
    assert_eq!(leaving.seen().len(), before);
    assert_eq!(stays.seen().len(), 6);
}

#[test]
fn lists_in_pages_and_dropped_history_read() {
    let world = World::start();
    world.store.set_page(2);
    let gateway = Gateway::ready(&world, &[]);
    assert!(gateway.metrics().contains("galenapath_servers 6"));
    let (key, _) = world.of("look")[0].entry("look", "ready");
    world.store.delete(&key);
    world.store.forget_history();
    wait_until("the shorter list", || gateway.metrics().contains("galenapath_servers 5"));
    assert_eq!(gateway.look("p1").status, 200);
}

#[test]
fn store_away_served_on_and_watched_again() {
    for trouble in [KvTrouble::Silent, KvTrouble::Busy, KvTrouble::Limited, KvTrouble::Reset] {
        let world = World::start();
        let gateway = Gateway::ready(&world, &[]);
        world.store.trouble(gateway.store, trouble);
        let lost = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
        wait_until("the loss", || lost("the store did not answer"));
        assert_eq!(gateway.look("q1").status, 200, "{trouble:?}");
        world.store.put("op/config", &config(4, &[]));
        world.store.trouble(gateway.store, KvTrouble::None);
        wait_until("version 4", || gateway.metrics().contains("galenapath_config_version 4"));
        assert!(lost("the store answers again"), "{trouble:?}");
    }
}

#[test]
fn entries_lapsed_in_an_outage_kept_for_two_seconds() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    world.store.trouble(gateway.store, KvTrouble::Reset);
    let lost = || gateway.log().iter().any(|line| line["event"] == "the store did not answer");
    wait_until("the loss", lost);
    let entries: Vec<_> = world.of("look").iter().map(|s| s.entry("look", "ready")).collect();
    for (key, _) in &entries {
        world.store.delete(key);
    }
    world.store.trouble(gateway.store, KvTrouble::None);
    let removed = || gateway.log().iter().any(|line| line["event"] == "server removed");
    wait_until("the removal", removed);
    assert_eq!(gateway.look("r1").status, 200);
    let (key, entry) = &entries[0];
    world.store.put(key, entry);
    wait_until("the end of the other", || gateway.metrics().contains("galenapath_servers 5"));
    assert_eq!(gateway.look("r2").status, 200);
}

#[test]
fn instance_cut_from_the_store_told_by_its_peer() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::ready(&world, &[&first]);
    wait_until("two addresses", || first.addresses().len() == 2);
    world.store.trouble(second.store, KvTrouble::Silent);
    world.store.put("op/config", &config(5, &[]));
    for gateway in [&first, &second] {
        wait_until("version 5", || gateway.metrics().contains("galenapath_config_version 5"));
    }
    world.store.trouble(second.store, KvTrouble::None);
    world.store.trouble(first.store, KvTrouble::Silent);
    world.store.put("op/config", &config(6, &[]));
    for gateway in [&first, &second] {
        wait_until("version 6", || gateway.metrics().contains("galenapath_config_version 6"));
    }
}

#[test]
fn instance_started_without_the_store_takes_all_from_its_peer() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::start(&world, &[&first]);
    world.store.trouble(second.store, KvTrouble::Silent);
    wait_until("readiness", || second.is_ready());
    assert_eq!(second.look("s1").status, 200);
}

#[test]
fn instance_killed_left_out_of_answers() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let mut second = Gateway::ready(&world, &[&first]);
    wait_until("two addresses", || first.addresses().len() == 2);
    second.kill();
    let began = Instant::now();
    wait_until("one address", || first.addresses() == [first.callers()]);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

#[test]
fn instance_frozen_left_out_and_taken_back() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::ready(&world, &[&first]);
    wait_until("two addresses", || first.addresses().len() == 2);
    second.signal("-STOP");
    wait_until("one address", || first.addresses() == [first.callers()]);
    second.signal("-CONT");
    wait_until("two addresses again", || first.addresses().len() == 2);
    assert_eq!(second.look("t1").status, 200);
}

#[test]
fn stop_planned_leaves_answers_first_and_cuts_nothing() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let mut second = Gateway::ready(&world, &[&first]);
    wait_until("two addresses", || first.addresses().len() == 2);
    let mut kept = TcpStream::connect(second.callers()).unwrap();
    kept.set_read_timeout(Some(LIMIT)).unwrap();
    second.signal("-TERM");
    wait_until("one address", || first.addresses() == [first.callers()]);
    assert!(!second.is_ready());
    // A caller with an older answer is still served, and told that the connection ends.
    assert_eq!(second.look("u1").status, 200);
    kept.write_all(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: u2\r\n\r\n").unwrap();
    let mut answer = String::new();
    kept.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(second.wait().success());
    assert!(second.log().iter().any(|line| line["event"] == "stopped"));
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
    for event in ["started", "configuration in force", "watches the store"] {
        wait_until(event, || gateway.log().iter().any(|l| l["event"] == event));
    }
    assert!(!events.is_empty());
}

#[test]
fn calm_store_called_seldom() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let others: Vec<Gateway> = (0..4).map(|_| Gateway::ready(&world, &[&first])).collect();
    std::thread::sleep(Duration::from_secs(2));
    let before = world.store.calls().len();
    std::thread::sleep(Duration::from_secs(4));
    let calls: Vec<String> = world.store.calls()[before..].to_vec();
    let watches = calls.iter().filter(|call| call.ends_with("kv-watch")).count();
    let pings = calls.iter().filter(|call| call.ends_with("kv-key")).count();
    // Two instances watch, whatever their number.
    assert!(watches <= 6, "{watches} watches of {} instances", others.len() + 1);
    assert!(pings <= 24, "{pings} pings");
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

#[test]
fn request_that_crashes_servers_refused_everywhere() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::ready(&world, &[&first]);
    wait_until("two addresses", || first.addresses().len() == 2);
    for server in world.of("look") {
        server.set_trouble(ServerTrouble::CrashesOnPoison);
    }
    let crashes = || {
        let ran = world.of("look").iter().flat_map(|server| server.seen()).collect::<Vec<_>>();
        ran.iter().filter(|seen| seen.line.contains("poison")).count()
    };
    for n in 0..6 {
        let gateway = if n % 2 == 0 { &first } else { &second };
        gateway.request("GET", "/look/poison", &format!("z{n}"), 1_000, b"");
        // The servers are back before the caller is.
        std::thread::sleep(Duration::from_millis(1_200));
    }
    assert!(crashes() <= 4, "{} servers crashed", crashes());
    let last = second.request("GET", "/look/poison", "z9", 1_000, b"");
    assert_eq!(
        (last.status, second.log_of("z9")["outcome"].as_str()),
        (503, Some("crashes_servers"))
    );
    // Others are served, also by the servers that crashed.
    wait_until("service", || first.look("z10").status == 200);
}

#[test]
fn resets_are_no_crashes() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("look") {
        server.set_trouble(ServerTrouble::Mute);
    }
    for n in 0..4 {
        assert_eq!(gateway.look(&format!("zr{n}")).status, 502);
    }
    for server in world.of("look") {
        server.set_trouble(ServerTrouble::None);
    }
    wait_until("service", || gateway.look("zr9").status == 200);
    assert!(!gateway.log().iter().any(|line| line["outcome"] == "crashes_servers"));
}

#[test]
fn large_configuration_in_force_on_many() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let others: Vec<Gateway> = (0..9).map(|_| Gateway::ready(&world, &[&first])).collect();
    let mut large = config(12, &[]);
    let route = large["resources"][1].clone();
    for n in 0..400 {
        let mut more = route.clone();
        more["metadata"]["name"] = json!(format!("more{n}"));
        more["spec"]["prefix"] = json!(format!("/more{n}/"));
        large["resources"].as_array_mut().unwrap().push(more);
    }
    world.store.put("op/config", &large);
    let began = Instant::now();
    for gateway in others.iter().chain([&first]) {
        wait_until("version 12", || gateway.metrics().contains("galenapath_config_version 12"));
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    let last = &others[8];
    assert_eq!(last.request("GET", "/more399/x", "zz1", 1_000, b"").status, 200);
}
