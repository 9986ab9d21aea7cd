//! Failure domains that the operator evacuates and restores.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::users_platform::KvFault;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time after the store's answer within which an evacuation must be in force: half of the time that
/// operators allow.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Sends lookups and returns how many of them the first server ran. It is in `d1`, as all instances
/// are.
fn lookups_at_first_server(world: &World, gateway: &Gateway, name: &str) -> usize {
    let before = world.servers_of("look")[0].executed_requests().len();
    for n in 0..12 {
        assert_eq!(gateway.send_lookup(&format!("{name}{n}")).status, 200, "{name}");
    }
    world.servers_of("look")[0].executed_requests().len() - before
}

/// Starts an instance and waits until it probes servers; by then it also warms cold ones.
fn start_and_wait_for_probe(world: &World) -> Gateway {
    let gateway = Gateway::start_ready(world, &[]);
    wait_until("a probe", || world.servers_of("file")[0].probes() > 0);
    gateway
}

/// Starts servers in the instances' own failure domain, which are preferred, and in another one.
fn start_two_domain_world() -> World {
    let world = World::start();
    world.spread_over_domains();
    world
}

#[test]
fn evacuation_domain_gets_nothing_until_restored() {
    let world = start_two_domain_world();
    let gateway = Gateway::start_ready(&world, &[]);
    assert!(lookups_at_first_server(&world, &gateway, "a") > 0);
    let probes = || world.servers_of("look")[0].probes();
    world.evacuate("d1");
    gateway.wait_for_evacuated(1);
    let probes_before = probes();
    assert_eq!(lookups_at_first_server(&world, &gateway, "b"), 0);
    // No load queries either, except for one that may have been in flight.
    assert!(probes() <= probes_before + 1, "{} load queries", probes() - probes_before);
    world.restore("d1");
    gateway.wait_for_evacuated(0);
    wait_until("a request at the first server", || {
        lookups_at_first_server(&world, &gateway, "c") > 0
    });
    let log = gateway.log();
    for event in ["failure domain evacuated", "failure domain restored"] {
        assert!(log.iter().any(|line| line["event"] == event && line["domain"] == "d1"), "{event}");
    }
}

#[test]
fn evacuation_known_at_the_start() {
    let world = start_two_domain_world();
    world.evacuate("d1");
    let first = Gateway::start_ready(&world, &[]);
    assert_eq!(lookups_at_first_server(&world, &first, "a"), 0);
    // The same holds for an instance that the store does not answer.
    let second = Gateway::start(&world, &[&first]);
    world.store.set_fault(second.store, KvFault::Silent);
    wait_until("readiness", || second.is_ready());
    assert_eq!(lookups_at_first_server(&world, &second, "b"), 0);
}

#[test]
fn evacuation_of_all_servers_refused_at_once() {
    let world = World::start();
    let gateway = start_and_wait_for_probe(&world);
    world.evacuate("d1");
    gateway.wait_for_evacuated(1);
    let answer = gateway.send_filing("all");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(world.run_count("file"), 0);
    let line = gateway.log_of("all");
    assert!(line["took_ms"].as_u64().is_some_and(|ms| ms < 50), "{line}");
    assert_eq!(line["steps"], "withdrawn");
    world.restore("d1");
    gateway.wait_for_evacuated(0);
    assert_eq!(gateway.send_filing("again").status, 200);
}

#[test]
fn evacuation_request_in_progress_finished() {
    let world = World::start();
    world.spread_over_domains();
    let gateway = Gateway::start_ready(&world, &[]);
    world.servers_of("file").iter().for_each(|server| server.set_work(Duration::from_millis(200)));
    let answers = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|n| {
                let gateway = &gateway;
                scope.spawn(move || gateway.send_filing(&format!("p{n}")))
            })
            .collect();
        wait_until("filings at the server in d1", || {
            !world.servers_of("file")[0].executed_requests().is_empty()
        });
        world.evacuate("d1");
        calls.into_iter().map(|call| call.join().unwrap().status).collect::<Vec<_>>()
    });
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    assert_eq!(world.run_count("file"), 4);
}

#[test]
fn evacuation_one_after_the_other_and_again() {
    let world = World::start();
    world.spread_over_domains();
    let gateway = start_and_wait_for_probe(&world);
    for _ in 0..3 {
        world.evacuate("d2");
        world.restore("d2");
        world.evacuate("d1");
        world.evacuate("d2");
    }
    gateway.wait_for_evacuated(2);
    assert_eq!(gateway.send_lookup("none").status, 503);
    world.restore("d2");
    gateway.wait_for_evacuated(1);
    // No instance runs in d2 to query its servers, so they count as cold for the longest time that
    // they may be.
    wait_until("warm servers", || gateway.metrics().contains("galenapath_cold_servers 0\n"));
    assert_eq!(lookups_at_first_server(&world, &gateway, "a"), 0);
}

#[test]
fn evacuation_in_force_when_history_is_dropped_or_watches_receive_nothing() {
    for fault in [KvFault::None, KvFault::Deaf] {
        let world = start_two_domain_world();
        let gateway = Gateway::start_ready(&world, &[]);
        wait_until("a watch on the store", || {
            world.store.calls().iter().any(|call| call.ends_with("kv-watch"))
        });
        world.store.set_fault(gateway.store, fault);
        let began = Instant::now();
        world.evacuate("d1");
        world.store.discard_history();
        gateway.wait_for_evacuated(1);
        assert!(began.elapsed() < IN_FORCE, "{fault:?}: {:?}", began.elapsed());
        world.restore("d1");
        world.store.discard_history();
        gateway.wait_for_evacuated(0);
    }
}

#[test]
fn evacuation_reported_to_instances_rejected_by_store() {
    let world = start_two_domain_world();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    let third = Gateway::start_ready(&world, &[&first]);
    let all = [&first, &second, &third];
    all.iter().for_each(|gateway| gateway.wait_for_peers(2));
    for rejected in all {
        world.store.set_fault(rejected.store, KvFault::Limited);
        let began = Instant::now();
        world.evacuate("d1");
        all.iter().for_each(|gateway| gateway.wait_for_evacuated(1));
        assert!(began.elapsed() < IN_FORCE, "{:?}", began.elapsed());
        world.restore("d1");
        all.iter().for_each(|gateway| gateway.wait_for_evacuated(0));
        world.store.set_fault(rejected.store, KvFault::None);
    }
}

#[test]
fn evacuation_kept_without_store_and_after_restart() {
    let world = start_two_domain_world();
    let mut gateway = Gateway::start_ready(&world, &[]);
    world.evacuate("d1");
    gateway.kill_and_start();
    wait_until("readiness", || gateway.is_ready());
    assert_eq!(lookups_at_first_server(&world, &gateway, "a"), 0);
    world.store.set_fault(gateway.store, KvFault::Reset);
    let has_logged =
        || gateway.log().iter().any(|line| line["event"] == "the store did not answer");
    wait_until("the loss of the store", has_logged);
    assert_eq!(lookups_at_first_server(&world, &gateway, "b"), 0);
    world.store.set_fault(gateway.store, KvFault::None);
    // A newer configuration does not revert the evacuation.
    world.store.put("op/config", &config(4, &[("look", "timeout_ms", json!(1_900))]));
    wait_until("version 4", || gateway.metrics().contains("galenapath_config_version 4"));
    assert_eq!(lookups_at_first_server(&world, &gateway, "c"), 0);
}
