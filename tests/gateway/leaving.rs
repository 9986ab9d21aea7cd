//! Servers that say in their answers that they leave, before the list does.

use crate::support::{Gateway, World, fleet, press, wait_until};
use galenapath_dev::users_platform::{KvFault, ServerFault, ServerStandIn};
use std::time::{Duration, Instant};

/// Time after which nothing that was on its way reaches a server any more.
const SETTLE: Duration = Duration::from_millis(300);

/// Sends lookups until some instance has heard that the server leaves, and waits for what is on its way.
fn leave(gateways: &[Gateway], server: &ServerStandIn) {
    server.set_leaving(true);
    let is_heard =
        |gateway: &Gateway| gateway.log().iter().any(|line| line["event"] == "server is leaving");
    wait_until("word that a server leaves", || {
        press(gateways, Duration::from_millis(50));
        gateways.iter().any(is_heard)
    });
    std::thread::sleep(SETTLE);
}

/// Requests that reach the server while lookups are sent for half a second, all of which are answered.
fn reach(gateways: &[Gateway], server: &ServerStandIn) -> usize {
    let before = server.executed_requests().len();
    assert!(press(gateways, Duration::from_millis(500)) > 0);
    server.executed_requests().len() - before
}

#[test]
fn server_that_says_it_leaves_gets_nothing_new_while_the_store_is_away() {
    let world = World::start();
    let gateways = fleet(&world);
    press(&gateways, Duration::from_millis(500));
    for gateway in &gateways {
        world.store.set_fault(gateway.store, KvFault::Silent);
    }
    let leaving = world.of("look")[0];
    leave(&gateways, leaving);
    assert_eq!(reach(&gateways, leaving), 0);
}

#[test]
fn server_that_says_it_leaves_gets_nothing_when_its_entry_is_back() {
    let world = World::start();
    let gateways = [Gateway::ready(&world, &[])];
    let leaving = world.of("look")[0];
    leave(&gateways, leaving);
    let (key, entry) = leaving.entry("look", "ready");
    world.store.delete(&key);
    let has = |event: &str| gateways[0].log().iter().filter(|l| l["event"] == event).count();
    wait_until("the removal", || has("server removed") > 0);
    let listed = has("server listed");
    world.store.put(&key, &entry);
    wait_until("the entry", || has("server listed") > listed);
    assert_eq!(reach(&gateways, leaving), 0);
}

#[test]
fn server_that_says_it_leaves_gets_nothing_from_an_instance_that_starts_later() {
    let world = World::start();
    let mut gateways = fleet(&world);
    press(&gateways, Duration::from_millis(500));
    let leaving = world.of("look")[0];
    leave(&gateways, leaving);
    gateways[2].kill_and_start();
    wait_until("readiness", || gateways[2].is_ready());
    assert_eq!(reach(&gateways[2..], leaving), 0);
}

#[test]
fn servers_that_all_say_they_leave_refused_at_once() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    for server in world.of("file") {
        server.set_fault(ServerFault::Shed);
        server.set_leaving(true);
    }
    gateway.file("fl0");
    gateway.file("fl1");
    let began = Instant::now();
    let answer = gateway.file("fl2");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    assert_eq!(gateway.log_of("fl2")["sends"], 0);
}

#[test]
fn server_that_tells_only_askers_that_it_leaves_gets_nothing_new() {
    let world = World::start();
    let gateways = fleet(&world);
    let leaving = world.of("look")[0];
    leaving.report_state_in_probes();
    leaving.set_leaving(true);
    let is_heard = || {
        let log = gateways.iter().flat_map(Gateway::log);
        log.into_iter().any(|line| line["told_by"] == "question")
    };
    // Nothing is sent to any server: a probe hears of it.
    wait_until("word that a server leaves", is_heard);
    std::thread::sleep(SETTLE);
    assert_eq!(reach(&gateways, leaving), 0);
}
