//! Requests that crash the backend servers that run them.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::users_platform::{ServerFault, ServerStandIn};
use galenapath_filings::Fingerprint;
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Log line of an instance that has found out that a server crashed.
pub const CRASHED: &str = "server crashed while running a request";

/// Number of servers that ran a request with `poison` in its path.
pub fn poisoned_runs(world: &World) -> usize {
    let servers = world.servers_of("look").into_iter();
    let runs = servers.flat_map(|server| server.executed_requests());
    runs.filter(|ran| ran.line.contains("poison")).count()
}

#[test]
fn request_that_crashes_servers_refused_everywhere() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
    }
    let crashes = || poisoned_runs(&world);
    for n in 0..6 {
        let gateway = if n % 2 == 0 { &first } else { &second };
        gateway.request("GET", "/look/poison", &format!("z{n}"), 1_000, b"");
        // The servers restart before the caller sends the request again.
        std::thread::sleep(Duration::from_millis(1_200));
    }
    assert!(crashes() <= 4, "{} servers crashed", crashes());
    let last = second.request("GET", "/look/poison", "z9", 1_000, b"");
    assert_eq!(
        (last.status, second.log_of("z9")["outcome"].as_str()),
        (503, Some("crashes_servers"))
    );
    // Other requests are served, also by the servers that crashed.
    wait_until("a request to be answered", || first.send_lookup("z10").status == 200);
}

#[test]
fn resets_not_counted_as_crashes() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::Mute);
    }
    for n in 0..4 {
        assert_eq!(gateway.send_lookup(&format!("zr{n}")).status, 502);
    }
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::None);
    }
    wait_until("a request to be answered", || gateway.send_lookup("zr9").status == 200);
    assert!(!gateway.log().iter().any(|line| line["outcome"] == "crashes_servers"));
}

#[test]
fn crash_on_a_kept_connection_counted() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    // Both servers have a connection that is used again by the request that crashes them.
    for n in 0..12 {
        assert_eq!(gateway.send_lookup(&format!("ck{n}")).status, 200);
    }
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
    }
    let answer = gateway.request("GET", "/look/poison", "cp0", 1_000, b"");
    assert_eq!(answer.status, 502);
    assert_eq!(poisoned_runs(&world), 2);
    wait_until("both crashes", || {
        gateway.log().iter().filter(|line| line["event"] == CRASHED).count() == 2
    });
    // Both servers run again.
    wait_until("a request to be answered", || gateway.send_lookup("ck99").status == 200);
    std::thread::sleep(Duration::from_millis(1_200));
    let again = gateway.request("GET", "/look/poison", "cp1", 1_000, b"");
    assert_eq!(again.status, 503);
    assert_eq!(gateway.log_of("cp1")["outcome"], "crashes_servers");
    assert_eq!(poisoned_runs(&world), 2);
}

/// While all servers of a service are down, none of them shows that an instance has paths.
#[test]
fn crash_of_the_last_server_of_a_service_counted() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
    }
    first.request("GET", "/look/poison", "ca0", 1_000, b"");
    assert_eq!(poisoned_runs(&world), 2, "{}", first.log_of("ca0"));
    wait_until("both crashes", || {
        first.log().iter().filter(|line| line["event"] == CRASHED).count() == 2
    });
    std::thread::sleep(Duration::from_millis(1_200));
    for (gateway, id) in [(&first, "ca1"), (&second, "ca2")] {
        assert_eq!(gateway.request("GET", "/look/poison", id, 1_000, b"").status, 503);
        assert_eq!(gateway.log_of(id)["outcome"], "crashes_servers");
    }
    assert_eq!(poisoned_runs(&world), 2);
}

#[test]
fn hedge_not_sent_once_the_request_is_known_to_crash_servers() {
    let world = World::start();
    let long_timeouts =
        [("look", "target_latency_ms", json!(5_000)), ("look", "timeout_ms", json!(9_000))];
    world.store.put("op/config", &config(2, &long_timeouts));
    let crashing: Vec<ServerStandIn> = world.servers_of("look").into_iter().cloned().collect();
    let hanging = ServerStandIn::start("i-hangs", Duration::from_millis(20)).unwrap();
    hanging.set_fault(ServerFault::Hang);
    let list = |server: &ServerStandIn, state: &str| {
        let (key, entry) = server.entry("look", state);
        world.store.put(&key, &entry);
    };
    for server in &crashing {
        server.set_fault(ServerFault::CrashesOnPoison);
        world.store.delete(&server.entry("look", "ready").0);
    }
    list(&hanging, "ready");
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    std::thread::scope(|scope| {
        let request = scope.spawn(|| first.request("GET", "/look/poison", "hk0", 9_000, b""));
        wait_until("the request to run", || hanging.executed_requests().len() == 1);
        list(&hanging, "draining");
        crashing.iter().for_each(|server| list(server, "ready"));
        wait_until("the other servers to crash", || {
            second.request("GET", "/look/poison", "hk1", 1_000, b"");
            poisoned_runs(&world) == 2
        });
        // Both run again long before a hedge of the first request is due.
        assert_eq!(request.join().unwrap().status, 504);
    });
    assert_eq!(poisoned_runs(&world), 2, "{}", first.log_of("hk0"));
}

#[test]
fn instance_that_starts_learns_which_requests_crash_servers() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
    }
    wait_until("the request to be known", || {
        let answer = first.request("GET", "/look/poison", "ls0", 1_000, b"");
        std::thread::sleep(Duration::from_millis(300));
        answer.status == 503 && poisoned_runs(&world) >= 2
    });
    let mut second = Gateway::start_ready(&world, &[&first]);
    for round in 0..2 {
        second.wait_for_peers(1);
        // Half of the time within which an instance has to be up to date.
        std::thread::sleep(Duration::from_millis(1_500));
        let runs = poisoned_runs(&world);
        let id = format!("ls1{round}");
        assert_eq!(second.request("GET", "/look/poison", &id, 1_000, b"").status, 503);
        assert_eq!(second.log_of(&id)["outcome"], "crashes_servers", "round {round}");
        assert_eq!(poisoned_runs(&world), runs);
        second.kill_and_start();
        wait_until("readiness", || second.is_ready());
    }
}

#[test]
fn error_answer_not_taken_as_proof_that_a_request_crashes_no_server() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let crashing: Vec<ServerStandIn> = world.servers_of("look").into_iter().cloned().collect();
    let failing = ServerStandIn::start("i-fails", Duration::from_millis(20)).unwrap();
    failing.set_fault(ServerFault::Errors);
    crashing.iter().for_each(|server| server.set_fault(ServerFault::CrashesOnPoison));
    let all: Vec<&ServerStandIn> = crashing.iter().chain([&failing]).collect();
    // Sends the request while only one server is listed as ready.
    let send_to = |target: &ServerStandIn, id: &str| {
        for server in &all {
            let (key, entry) = server.entry("look", "ready");
            world.store.delete(&key);
            if server.address() == target.address() {
                world.store.put(&key, &entry);
            }
        }
        let revision = world.store.revision();
        // An entry that vanishes soon after the first read of the store is kept for a while.
        let count = world.servers.len() as u64 - 1;
        wait_until("the list", || {
            gateway.metric("galenapath_list_position") >= revision
                && gateway.metric("galenapath_servers") == count
        });
        gateway.request("GET", "/look/poison", id, 1_000, b"").status
    };
    send_to(&crashing[0], "ea0");
    assert_eq!(poisoned_runs(&world), 1, "{}", gateway.log_of("ea0"));
    assert_eq!(send_to(&failing, "ea1"), 500);
    send_to(&crashing[1], "ea2");
    assert_eq!(poisoned_runs(&world), 2);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(send_to(&crashing[0], "ea3"), 503);
    assert_eq!(poisoned_runs(&world), 2, "{}", gateway.log_of("ea3"));
}

#[test]
fn crash_in_the_middle_of_a_large_answer_counted() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("load") {
        server.set_body(1_000_000);
        server.set_fault(ServerFault::CrashesInAnswer);
    }
    gateway.request("GET", "/load/1", "cm0", 1_500, b"");
    assert_eq!(gateway.log_of("cm0")["outcome"], "broke_off");
    wait_until("the crash", || gateway.log().iter().any(|line| line["event"] == CRASHED));
}

#[test]
fn crash_of_a_server_that_pauses_counted() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
        server.set_work(Duration::from_millis(300));
    }
    std::thread::scope(|scope| {
        let request = scope.spawn(|| gateway.request("GET", "/look/poison", "cq0", 1_500, b""));
        wait_until("the request to run", || poisoned_runs(&world) == 1);
        for server in world.servers_of("look") {
            server.set_pause(Some(Duration::from_secs(5)));
            server.set_fault(ServerFault::Shed);
        }
        // Both servers reject this one and ask for a pause.
        gateway.send_lookup("cq1");
        assert_eq!(request.join().unwrap().status, 502);
    });
    wait_until("the crash", || gateway.log().iter().any(|line| line["event"] == CRASHED));
}

#[test]
fn request_of_many_callers_not_blamed_for_crashes_beside_it() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
    }
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..6 {
            let (gateway, is_over) = (&gateway, &is_over);
            scope.spawn(move || {
                let mut n = 0;
                while !is_over.load(Ordering::Relaxed) {
                    gateway.send_lookup(&format!("hot{caller}-{n}"));
                    n += 1;
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
        wait_until("answers", || world.run_count("look") > 20);
        for n in 0..12 {
            gateway.request("GET", "/look/poison", &format!("mb{n}"), 1_000, b"");
            std::thread::sleep(Duration::from_millis(400));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let log = gateway.log();
    let blamed = |line: &&Value| line["outcome"] == "crashes_servers";
    let ids: Vec<_> = log.iter().filter(blamed).map(|line| line["request"].to_string()).collect();
    assert!(!ids.iter().any(|id| id.contains("hot")), "{ids:?}");
    assert!(ids.iter().any(|id| id.contains("mb")), "{ids:?}");
    assert!(poisoned_runs(&world) <= 4, "{} servers crashed", poisoned_runs(&world));
}

/// Upper and lower half of the fingerprint of lookups.
fn lookup_fingerprint() -> (u64, u64) {
    let Fingerprint(hash) = Fingerprint::of("h.example", "GET", "/look/1", b"");
    ((hash >> 64) as u64, hash as u64)
}

fn datagram(content: &Value) -> Vec<u8> {
    const FORMAT_VERSION: u8 = 2;
    let mut datagram = vec![FORMAT_VERSION];
    datagram.extend(rmp_serde::to_vec(content).unwrap());
    datagram
}

/// A datagram by which an instance tells another one that lookups crash servers.
fn blame_lookups() -> Vec<u8> {
    let (high, low) = lookup_fingerprint();
    datagram(&json!({ "n": [[], [], [[[0, high, low]], []]] }))
}

/// A datagram by which an instance tells others that two servers have crashed with a lookup.
fn two_crashes_with_lookups() -> Vec<u8> {
    let (high, low) = lookup_fingerprint();
    datagram(&json!({ "l": [[[high, low, 1], [high, low, 2]], [], [], []] }))
}

/// An instance that serves a request hardly ever may meet it in two crashes; the others answer it
/// all the time.
#[test]
fn request_answered_elsewhere_not_blamed_for_crashes() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    assert_eq!(first.send_lookup("ae0").status, 200);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for gateway in [&second, &first] {
        socket.send_to(&two_crashes_with_lookups(), gateway.peers()).unwrap();
    }
    wait_until("the lookups to be rejected", || second.send_lookup("ae1").status == 503);
    assert_eq!(first.send_lookup("ae2").status, 200);
    wait_until("an answer", || second.send_lookup("ae3").status == 200);
}

#[test]
fn request_blamed_by_mistake_served_again() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&blame_lookups(), second.peers()).unwrap();
    wait_until("the lookups to be rejected", || second.send_lookup("bm0").status == 503);
    // The other instance answers them, and hears within a second what this one believes.
    wait_until("an answer", || {
        assert_eq!(first.send_lookup("bm1").status, 200);
        second.send_lookup("bm2").status == 200
    });
    assert_eq!(first.send_lookup("bm3").status, 200);
}
