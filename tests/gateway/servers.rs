//! Backend servers that fail, leave, slow down and crash.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::link::LinkFault;
use galenapath_dev::users_platform::{ServerFault, ServerStandIn};
use galenapath_filings::Fingerprint;
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Log line of an instance that has found out that a server crashed.
const CRASHED: &str = "server crashed while running a request";

#[test]
fn filing_run_never_sent_again() {
    for fault in
        [ServerFault::Mute, ServerFault::Unsigned, ServerFault::BreaksOff, ServerFault::Busy]
    {
        let world = World::start();
        let gateway = Gateway::start_ready(&world, &[]);
        for server in world.servers_of("file") {
            server.set_fault(fault);
        }
        let answer = gateway.send_filing("d1");
        assert_eq!(answer.status, 502, "{fault:?}");
        assert_eq!(answer.header("x-response-signature"), None);
        assert_eq!(world.run_count("file"), 1, "{fault:?}");
        assert_eq!(gateway.log_of("d1")["verdict"], "may-have-run");
    }
}

#[test]
fn lookup_failed_sent_elsewhere() {
    for fault in [
        ServerFault::Mute,
        ServerFault::Shed,
        ServerFault::Errors,
        ServerFault::BreaksOff,
        ServerFault::Other,
        ServerFault::Hang,
    ] {
        let world = World::start();
        let gateway = Gateway::start_ready(&world, &[]);
        world.servers_of("look")[0].set_fault(fault);
        for n in 0..3 {
            assert_eq!(gateway.send_lookup(&format!("e{n}")).status, 200, "{fault:?}");
        }
    }
}

#[test]
fn answer_foreign_or_doubled_never_mixed() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for fault in [ServerFault::Foreign, ServerFault::Extra] {
        for server in world.servers_of("file") {
            server.set_fault(fault);
        }
        for n in 0..6 {
            let id = format!("f{n}");
            let answer = gateway.send_filing(&id);
            assert_eq!(answer.status, 200, "{fault:?}");
            assert_eq!(answer.header("x-attempt-id"), Some(id.as_str()));
            assert_eq!(answer.body, "x".repeat(20).as_bytes());
        }
    }
}

#[test]
fn connection_forgotten_by_server_fails_no_filing() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for n in 0..4 {
        assert_eq!(gateway.send_filing(&format!("g{n}")).status, 200);
    }
    for server in world.servers_of("file") {
        server.set_fault(ServerFault::ForgetsIdle);
    }
    // The connections become too old for a filing to use them without a load query first.
    std::thread::sleep(Duration::from_millis(600));
    for n in 4..8 {
        assert_eq!(gateway.send_filing(&format!("g{n}")).status, 200);
    }
    assert_eq!(world.run_count("file"), 8);
}

/// Sends filings with a caller timeout of `timeout_ms`, each just after one of two servers has
/// become slow, and checks that it goes to the other one.
fn assert_slow_servers_avoided(timeout_ms: u64) {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for n in 0..8 {
        assert_eq!(gateway.send_filing(&format!("h{n}")).status, 200);
    }
    for round in 0..10 {
        // Stays within the budget of eight load queries a second to each server by one instance.
        std::thread::sleep(Duration::from_millis(300));
        let servers = world.servers_of("file");
        let (slow, fast) = (servers[round % 2], servers[(round + 1) % 2]);
        // The change falls between two regular probes, so only a load query before the send can
        // show it.
        slow.set_slowdown(3_000);
        fast.set_slowdown(100);
        // The result of a regular probe just before the change counts as fresh for 8 ms.
        std::thread::sleep(Duration::from_millis(12));
        let before = fast.executed_requests().len();
        let id = format!("hs{round}");
        let answer = gateway.request("POST", "/file/1", &id, timeout_ms, b"a filing");
        assert_eq!(answer.status, 200);
        let steps = gateway.log_of(&id)["steps"].clone();
        assert_eq!(fast.executed_requests().len(), before + 1, "round {round}: {steps}");
    }
}

#[test]
fn request_avoids_server_that_just_turned_slow() {
    assert_slow_servers_avoided(1_500);
}

#[test]
fn request_late_avoids_slow_server_as_well() {
    // Callers of the route wait 1.5 s. This one has spent its latency target on earlier attempts.
    assert_slow_servers_avoided(900);
}

#[test]
fn load_query_unanswered_delays_no_request() {
    let world = World::start();
    // New connections to one of two servers are accepted only after a delay, as on a server without
    // a free slot, and no connection is open yet.
    let full = world.servers_of("look")[0];
    full.set_accept_delay(Duration::from_millis(120));
    let assert_not_delayed = |gateway: &Gateway, id: &str| {
        assert_eq!(gateway.send_lookup(id).status, 200);
        let line = gateway.log_of(id);
        assert!(line["took_ms"].as_u64().unwrap() < 80, "{line}");
    };
    // The first request queries either server. An instance that queries the other server first
    // stays with it, so instances are started until one queries the full server.
    let (gateway, opened) = (0..20)
        .find_map(|n| {
            let gateway = Gateway::start_ready(&world, &[]);
            let opened = full.connections();
            assert_not_delayed(&gateway, &format!("first{n}"));
            (full.connections() > opened).then_some((gateway, opened))
        })
        .expect("a first request at the full server");
    for n in 0..5 {
        assert_not_delayed(&gateway, &format!("qu{n}"));
    }
    // The connection stays in use once it is open.
    full.set_accept_delay(Duration::ZERO);
    std::thread::sleep(Duration::from_millis(300));
    for n in 6..16 {
        assert_eq!(gateway.send_lookup(&format!("qu{n}")).status, 200);
    }
    assert!(!full.executed_requests().is_empty());
    assert!(full.connections() - opened <= 4, "{} connections", full.connections() - opened);
}

#[test]
fn server_leaving_gets_nothing_new() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let (leaving, stays) =
        (world.servers_of("look")[0].clone(), world.servers_of("look")[1].clone());
    let (key, entry) = leaving.entry("look", "draining");
    world.store.put(&key, &entry);
    wait_until("the leaving state", || gateway.log().iter().any(|line| line["state"] == "Leaving"));
    let before = leaving.executed_requests().len();
    for n in 0..6 {
        assert_eq!(gateway.send_lookup(&format!("o{n}")).status, 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
    assert_eq!(stays.executed_requests().len(), 6);
}

#[test]
fn server_restarted_under_same_id_is_new() {
    let world = World::start();
    let server = world.servers_of("look")[0].clone();
    let (other, _) = world.servers_of("look")[1].entry("look", "ready");
    world.store.delete(&other);
    let put = |state: &str, started: u64| {
        let (key, entry) = server.entry_of_run("look", state, started);
        world.store.put(&key, &entry);
    };
    put("ready", 100);
    let gateway = Gateway::start_ready(&world, &[]);
    assert_eq!(gateway.send_lookup("ra1").status, 200);
    put("draining", 100);
    let listed = |state: &str| gateway.log().iter().any(|line| line["state"] == state);
    wait_until("the leaving state", || listed("Leaving"));
    assert_eq!(gateway.send_lookup("ra2").status, 503);
    // The state of the former run does not apply to the new one.
    put("ready", 200);
    wait_until("a request to be answered", || gateway.send_lookup("ra3").status == 200);
    // Neither does an entry of the former run that the store applies late.
    put("draining", 100);
    let position = |at: u64| gateway.metrics().contains(&format!("galenapath_list_position {at}"));
    let revision = world.store.revision();
    wait_until("the late entry", || position(revision));
    for n in 4..8 {
        assert_eq!(gateway.send_lookup(&format!("ra{n}")).status, 200);
    }
}

#[test]
fn filing_sent_to_a_former_run_never_sent_again() {
    let world = World::start();
    for server in world.servers_of("file") {
        server.set_fault(ServerFault::Hang);
        let (key, entry) = server.entry_of_run("file", "ready", 100);
        world.store.put(&key, &entry);
    }
    let gateway = Gateway::start_ready(&world, &[]);
    std::thread::scope(|scope| {
        let filing = scope.spawn(|| gateway.send_filing("rf1"));
        wait_until("the filing to be sent", || world.run_count("file") == 1);
        for server in world.servers_of("file") {
            let (key, entry) = server.entry_of_run("file", "ready", 200);
            world.store.put(&key, &entry);
            server.set_fault(ServerFault::None);
        }
        assert_eq!(filing.join().unwrap().status, 504);
    });
    assert_eq!(world.run_count("file"), 1);
    assert_eq!(gateway.log_of("rf1")["verdict"], "may-have-run");
    assert_eq!(gateway.send_filing("rf2").status, 200);
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
    let crashes = || {
        let ran = world
            .servers_of("look")
            .iter()
            .flat_map(|server| server.executed_requests())
            .collect::<Vec<_>>();
        ran.iter().filter(|seen| seen.line.contains("poison")).count()
    };
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
fn request_at_unreachable_server_hedged_early() {
    let world = World::start_linked();
    // With work of up to two seconds, a hedge by elapsed time alone would be sent after 2.8 s.
    let long_timeouts =
        [("look", "target_latency_ms", json!(5_000)), ("look", "timeout_ms", json!(9_000))];
    world.store.put("op/config", &config(2, &long_timeouts));
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::Hang);
    }
    let began = Instant::now();
    let answer = std::thread::scope(|scope| {
        let request = scope.spawn(|| gateway.request("GET", "/look/1", "dark", 9_000, b""));
        wait_until("the request to reach a server", || world.run_count("look") == 1);
        let at = usize::from(world.servers_of("look")[0].executed_requests().is_empty());
        world.links[at].set_fault(LinkFault::Hold);
        world.servers_of("look")[1 - at].set_fault(ServerFault::None);
        request.join().unwrap()
    });
    assert_eq!(answer.status, 200);
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
}

/// Number of servers that ran a request with `poison` in its path.
fn poisoned_runs(world: &World) -> usize {
    let servers = world.servers_of("look").into_iter();
    let runs = servers.flat_map(|server| server.executed_requests());
    runs.filter(|ran| ran.line.contains("poison")).count()
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
        let position = format!("galenapath_list_position {}\n", world.store.revision());
        // An entry that vanishes soon after the first read of the store is kept for a while.
        let count = format!("galenapath_servers {}\n", world.servers.len() - 1);
        wait_until("the list", || {
            let metrics = gateway.metrics();
            metrics.contains(&position) && metrics.contains(&count)
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

/// A datagram by which an instance tells another one that lookups crash servers.
fn blame_lookups() -> Vec<u8> {
    const FORMAT_VERSION: u8 = 2;
    let Fingerprint(hash) = Fingerprint::of("h.example", "GET", "/look/1", b"");
    let request = json!([0, (hash >> 64) as u64, hash as u64]);
    let notices = json!({ "n": [[], [], [[request], []]] });
    let mut datagram = vec![FORMAT_VERSION];
    datagram.extend(rmp_serde::to_vec(&notices).unwrap());
    datagram
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
