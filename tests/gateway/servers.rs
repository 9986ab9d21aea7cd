//! Backend servers that fail, leave, slow down and crash.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::link::LinkFault;
use galenapath_dev::users_platform::ServerFault;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn filing_run_never_sent_again() {
    for trouble in
        [ServerFault::Mute, ServerFault::Unsigned, ServerFault::BreaksOff, ServerFault::Busy]
    {
        let world = World::start();
        let gateway = Gateway::ready(&world, &[]);
        for server in world.of("file") {
            server.set_fault(trouble);
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
        ServerFault::Mute,
        ServerFault::Shed,
        ServerFault::Errors,
        ServerFault::BreaksOff,
        ServerFault::Other,
        ServerFault::Hang,
    ] {
        let world = World::start();
        let gateway = Gateway::ready(&world, &[]);
        world.of("look")[0].set_fault(trouble);
        for n in 0..3 {
            assert_eq!(gateway.look(&format!("e{n}")).status, 200, "{trouble:?}");
        }
    }
}

#[test]
fn answer_foreign_or_doubled_never_mixed() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for trouble in [ServerFault::Foreign, ServerFault::Extra] {
        for server in world.of("file") {
            server.set_fault(trouble);
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
        server.set_fault(ServerFault::ForgetsIdle);
    }
    // Older than a connection that a filing trusts without asking.
    std::thread::sleep(Duration::from_millis(600));
    for n in 4..8 {
        assert_eq!(gateway.file(&format!("g{n}")).status, 200);
    }
    assert_eq!(world.ran("file"), 8);
}

/// Sends filings whose callers say that they wait for `wait_ms`, each just after one of two servers has
/// turned slow, and checks that it goes to the other one.
fn avoid_slow_servers(wait_ms: u64) {
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
        let before = fast.executed_requests().len();
        let id = format!("hs{round}");
        let answer = gateway.request("POST", "/file/1", &id, wait_ms, b"a filing");
        assert_eq!(answer.status, 200);
        let steps = gateway.log_of(&id)["steps"].clone();
        assert_eq!(fast.executed_requests().len(), before + 1, "round {round}: {steps}");
    }
}

#[test]
fn request_avoids_server_that_just_turned_slow() {
    avoid_slow_servers(1_500);
}

#[test]
fn request_late_avoids_slow_server_as_well() {
    // Callers of the route wait 1.5 s: this one has spent the time of its target on earlier attempts.
    avoid_slow_servers(900);
}

#[test]
fn question_unanswered_holds_no_request() {
    let world = World::start();
    // New connections to one of two servers wait as long as there is no slot; none is kept yet.
    let full = world.of("look")[0];
    full.set_accept_delay(Duration::from_millis(120));
    let in_time = |gateway: &Gateway, id: &str| {
        assert_eq!(gateway.look(id).status, 200);
        let line = gateway.log_of(id);
        assert!(line["took_ms"].as_u64().unwrap() < 80, "{line}");
    };
    // The first request asks either server; one whose first request asked the other keeps to that one.
    let (gateway, opened) = (0..20)
        .find_map(|n| {
            let gateway = Gateway::ready(&world, &[]);
            let opened = full.connections();
            in_time(&gateway, &format!("first{n}"));
            (full.connections() > opened).then_some((gateway, opened))
        })
        .expect("a first request at the full server");
    for n in 0..5 {
        in_time(&gateway, &format!("qu{n}"));
    }
    // The connection is kept once it is open.
    full.set_accept_delay(Duration::ZERO);
    std::thread::sleep(Duration::from_millis(300));
    for n in 6..16 {
        assert_eq!(gateway.look(&format!("qu{n}")).status, 200);
    }
    assert!(!full.executed_requests().is_empty());
    assert!(full.connections() - opened <= 4, "{} connections", full.connections() - opened);
}

#[test]
fn server_leaving_gets_nothing_new() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    let (leaving, stays) = (world.of("look")[0].clone(), world.of("look")[1].clone());
    let (key, entry) = leaving.entry("look", "draining");
    world.store.put(&key, &entry);
    wait_until("the mark", || gateway.log().iter().any(|line| line["state"] == "Leaving"));
    let before = leaving.executed_requests().len();
    for n in 0..6 {
        assert_eq!(gateway.look(&format!("o{n}")).status, 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
    assert_eq!(stays.executed_requests().len(), 6);
}

#[test]
fn server_started_again_under_its_id_is_a_new_one() {
    let world = World::start();
    let server = world.of("look")[0].clone();
    let (other, _) = world.of("look")[1].entry("look", "ready");
    world.store.delete(&other);
    let put = |state: &str, started: u64| {
        let (key, entry) = server.entry_of_run("look", state, started);
        world.store.put(&key, &entry);
    };
    put("ready", 100);
    let gateway = Gateway::ready(&world, &[]);
    assert_eq!(gateway.look("ra1").status, 200);
    put("draining", 100);
    let listed = |state: &str| gateway.log().iter().any(|line| line["state"] == state);
    wait_until("the mark", || listed("Leaving"));
    assert_eq!(gateway.look("ra2").status, 503);
    // What was believed of the former run does not hold for the new one.
    put("ready", 200);
    wait_until("service", || gateway.look("ra3").status == 200);
    // Nor does what the former run wrote and the store took late.
    put("draining", 100);
    let position = |at: u64| gateway.metrics().contains(&format!("galenapath_list_position {at}"));
    let revision = world.store.revision();
    wait_until("the late write", || position(revision));
    for n in 4..8 {
        assert_eq!(gateway.look(&format!("ra{n}")).status, 200);
    }
}

#[test]
fn filing_sent_to_a_former_run_never_sent_again() {
    let world = World::start();
    for server in world.of("file") {
        server.set_fault(ServerFault::Hang);
        let (key, entry) = server.entry_of_run("file", "ready", 100);
        world.store.put(&key, &entry);
    }
    let gateway = Gateway::ready(&world, &[]);
    std::thread::scope(|scope| {
        let filing = scope.spawn(|| gateway.file("rf1"));
        wait_until("the send", || world.ran("file") == 1);
        for server in world.of("file") {
            let (key, entry) = server.entry_of_run("file", "ready", 200);
            world.store.put(&key, &entry);
            server.set_fault(ServerFault::None);
        }
        assert_eq!(filing.join().unwrap().status, 504);
    });
    assert_eq!(world.ran("file"), 1);
    assert_eq!(gateway.log_of("rf1")["verdict"], "may-have-run");
    assert_eq!(gateway.file("rf2").status, 200);
}

#[test]
fn request_that_crashes_servers_refused_everywhere() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    for server in world.of("look") {
        server.set_fault(ServerFault::CrashesOnPoison);
    }
    let crashes = || {
        let ran = world
            .of("look")
            .iter()
            .flat_map(|server| server.executed_requests())
            .collect::<Vec<_>>();
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
        server.set_fault(ServerFault::Mute);
    }
    for n in 0..4 {
        assert_eq!(gateway.look(&format!("zr{n}")).status, 502);
    }
    for server in world.of("look") {
        server.set_fault(ServerFault::None);
    }
    wait_until("service", || gateway.look("zr9").status == 200);
    assert!(!gateway.log().iter().any(|line| line["outcome"] == "crashes_servers"));
}

#[test]
fn request_at_server_out_of_reach_copied_before_it_is_late() {
    let world = World::start_linked();
    // Work may take two seconds: by time alone a copy would leave after 2.8 s.
    let patient =
        [("look", "target_latency_ms", json!(5_000)), ("look", "timeout_ms", json!(9_000))];
    world.store.put("op/config", &config(2, &patient));
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("look") {
        server.set_fault(ServerFault::Hang);
    }
    let began = Instant::now();
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| gateway.request("GET", "/look/1", "dark", 9_000, b""));
        wait_until("the request", || world.ran("look") == 1);
        let at = usize::from(world.of("look")[0].executed_requests().is_empty());
        world.links[at].set_fault(LinkFault::Hold);
        world.of("look")[1 - at].set_fault(ServerFault::None);
        asking.join().unwrap()
    });
    assert_eq!(answer.status, 200);
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
}
