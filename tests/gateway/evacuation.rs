//! Failure domains that the operator evacuates and restores.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::users_platform::KvFault;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time after the store's answer within which an evacuation is in force, half of what operators allow.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Sends lookups and returns how many of them the first server ran, which is in `d1` as all instances are.
fn reach_first(world: &World, gateway: &Gateway, name: &str) -> usize {
    let before = world.of("look")[0].executed_requests().len();
    for n in 0..12 {
        assert_eq!(gateway.look(&format!("{name}{n}")).status, 200, "{name}");
    }
    world.of("look")[0].executed_requests().len() - before
}

/// An instance that has run for long enough to probe servers and to warm cold ones.
fn settled(world: &World) -> Gateway {
    let gateway = Gateway::ready(world, &[]);
    wait_until("a probe", || world.of("file")[0].probes() > 0);
    gateway
}

/// Servers in the instances' domain, which are preferred, and in another one.
fn spread_world() -> World {
    let world = World::start();
    world.spread();
    world
}

#[test]
fn evacuation_domain_gets_nothing_until_restored() {
    let world = spread_world();
    let gateway = Gateway::ready(&world, &[]);
    assert!(reach_first(&world, &gateway, "a") > 0);
    let probes = || world.of("look")[0].probes();
    world.evacuate("d1");
    gateway.wait_for_evacuated(1);
    let asked = probes();
    assert_eq!(reach_first(&world, &gateway, "b"), 0);
    // Nor is it asked for its load, but for a question that was on its way.
    assert!(probes() <= asked + 1, "{} questions", probes() - asked);
    world.restore("d1");
    gateway.wait_for_evacuated(0);
    wait_until("a request there", || reach_first(&world, &gateway, "c") > 0);
    let log = gateway.log();
    for event in ["failure domain evacuated", "failure domain restored"] {
        assert!(log.iter().any(|line| line["event"] == event && line["domain"] == "d1"), "{event}");
    }
}

#[test]
fn evacuation_known_at_the_start() {
    let world = spread_world();
    world.evacuate("d1");
    let first = Gateway::ready(&world, &[]);
    assert_eq!(reach_first(&world, &first, "a"), 0);
    // And to one that the store does not answer.
    let second = Gateway::start(&world, &[&first]);
    world.store.set_fault(second.store, KvFault::Silent);
    wait_until("readiness", || second.is_ready());
    assert_eq!(reach_first(&world, &second, "b"), 0);
}

#[test]
fn evacuation_of_all_servers_refused_at_once() {
    let world = World::start();
    let gateway = settled(&world);
    world.evacuate("d1");
    gateway.wait_for_evacuated(1);
    let began = Instant::now();
    let answer = gateway.file("all");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    assert_eq!(world.ran("file"), 0);
    assert_eq!(gateway.log_of("all")["steps"], "withdrawn");
    world.restore("d1");
    gateway.wait_for_evacuated(0);
    assert_eq!(gateway.file("again").status, 200);
}

#[test]
fn evacuation_request_in_progress_finished() {
    let world = World::start();
    world.spread();
    let gateway = Gateway::ready(&world, &[]);
    world.of("file").iter().for_each(|server| server.set_work(Duration::from_millis(200)));
    let answers = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|n| {
                let gateway = &gateway;
                scope.spawn(move || gateway.file(&format!("p{n}")))
            })
            .collect();
        wait_until("filings at d1", || !world.of("file")[0].executed_requests().is_empty());
        world.evacuate("d1");
        calls.into_iter().map(|call| call.join().unwrap().status).collect::<Vec<_>>()
    });
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    assert_eq!(world.ran("file"), 4);
}

#[test]
fn evacuation_one_after_the_other_and_again() {
    let world = World::start();
    world.spread();
    let gateway = settled(&world);
    for _ in 0..3 {
        world.evacuate("d2");
        world.restore("d2");
        world.evacuate("d1");
        world.evacuate("d2");
    }
    gateway.wait_for_evacuated(2);
    assert_eq!(gateway.look("none").status, 503);
    world.restore("d2");
    gateway.wait_for_evacuated(1);
    // Nobody is there to ask them, so that they are taken to be cold for as long as they may be.
    wait_until("warm servers", || gateway.metrics().contains("galenapath_cold_servers 0\n"));
    assert_eq!(reach_first(&world, &gateway, "a"), 0);
}

#[test]
fn evacuation_in_force_when_history_is_dropped_or_watches_hear_nothing() {
    for trouble in [KvFault::None, KvFault::Deaf] {
        let world = spread_world();
        let gateway = Gateway::ready(&world, &[]);
        wait_until("a watch", || world.store.calls().iter().any(|call| call.ends_with("kv-watch")));
        world.store.set_fault(gateway.store, trouble);
        let began = Instant::now();
        world.evacuate("d1");
        world.store.discard_history();
        gateway.wait_for_evacuated(1);
        assert!(began.elapsed() < IN_FORCE, "{trouble:?}: {:?}", began.elapsed());
        world.restore("d1");
        world.store.discard_history();
        gateway.wait_for_evacuated(0);
    }
}

#[test]
fn evacuation_told_to_instances_that_the_store_turns_away() {
    let world = spread_world();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::ready(&world, &[&first]);
    let third = Gateway::ready(&world, &[&first]);
    let all = [&first, &second, &third];
    all.iter().for_each(|gateway| gateway.wait_for_peers(2));
    for turned_away in all {
        world.store.set_fault(turned_away.store, KvFault::Limited);
        let began = Instant::now();
        world.evacuate("d1");
        all.iter().for_each(|gateway| gateway.wait_for_evacuated(1));
        assert!(began.elapsed() < IN_FORCE, "{:?}", began.elapsed());
        world.restore("d1");
        all.iter().for_each(|gateway| gateway.wait_for_evacuated(0));
        world.store.set_fault(turned_away.store, KvFault::None);
    }
}

#[test]
fn evacuation_kept_while_the_store_is_away_and_after_all_were_killed() {
    let world = spread_world();
    let mut gateway = Gateway::ready(&world, &[]);
    world.evacuate("d1");
    gateway.kill_and_start();
    wait_until("readiness", || gateway.is_ready());
    assert_eq!(reach_first(&world, &gateway, "a"), 0);
    world.store.set_fault(gateway.store, KvFault::Reset);
    let lost = || gateway.log().iter().any(|line| line["event"] == "the store did not answer");
    wait_until("the loss", lost);
    assert_eq!(reach_first(&world, &gateway, "b"), 0);
    world.store.set_fault(gateway.store, KvFault::None);
    // A newer configuration takes nothing back.
    world.store.put("op/config", &config(4, &[("look", "timeout_ms", json!(1_900))]));
    wait_until("version 4", || gateway.metrics().contains("galenapath_config_version 4"));
    assert_eq!(reach_first(&world, &gateway, "c"), 0);
}
