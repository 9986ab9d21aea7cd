//! Servers that report in their answers that they are leaving, before the list of servers shows it.

use crate::support::{Gateway, World, fleet, send_lookups, wait_until};
use galenapath_dev::users_platform::{KvFault, ServerFault, ServerStandIn};
use std::time::{Duration, Instant};

/// Time after which no request that was in flight can still reach a server.
const SETTLE: Duration = Duration::from_millis(300);

/// Marks the server as leaving, sends lookups until some instance has learned of it, and waits for
/// requests in flight.
fn set_leaving_and_wait(gateways: &[Gateway], server: &ServerStandIn) {
    server.set_leaving(true);
    let is_logged =
        |gateway: &Gateway| gateway.log().iter().any(|line| line["event"] == "server is leaving");
    wait_until("an instance to learn that the server leaves", || {
        send_lookups(gateways, Duration::from_millis(50));
        gateways.iter().any(is_logged)
    });
    std::thread::sleep(SETTLE);
}

/// Sends lookups for half a second; returns how many of them reached the server. At least one must
/// be answered.
fn requests_reaching(gateways: &[Gateway], server: &ServerStandIn) -> usize {
    let before = server.executed_requests().len();
    assert!(send_lookups(gateways, Duration::from_millis(500)) > 0);
    server.executed_requests().len() - before
}

#[test]
fn leaving_server_gets_nothing_new_without_store() {
    let world = World::start();
    let gateways = fleet(&world);
    send_lookups(&gateways, Duration::from_millis(500));
    for gateway in &gateways {
        world.store.set_fault(gateway.store, KvFault::Silent);
    }
    let leaving = world.servers_of("look")[0];
    set_leaving_and_wait(&gateways, leaving);
    assert_eq!(requests_reaching(&gateways, leaving), 0);
}

#[test]
fn leaving_server_gets_nothing_when_relisted() {
    let world = World::start();
    let gateways = [Gateway::start_ready(&world, &[])];
    let leaving = world.servers_of("look")[0];
    set_leaving_and_wait(&gateways, leaving);
    let (key, entry) = leaving.entry("look", "ready");
    world.store.delete(&key);
    let has = |event: &str| gateways[0].log().iter().filter(|l| l["event"] == event).count();
    wait_until("the server to be removed", || has("server removed") > 0);
    let listed = has("server listed");
    world.store.put(&key, &entry);
    wait_until("the server to be listed again", || has("server listed") > listed);
    assert_eq!(requests_reaching(&gateways, leaving), 0);
}

#[test]
fn leaving_server_gets_nothing_from_instance_started_later() {
    let world = World::start();
    let mut gateways = fleet(&world);
    send_lookups(&gateways, Duration::from_millis(500));
    let leaving = world.servers_of("look")[0];
    set_leaving_and_wait(&gateways, leaving);
    gateways[2].kill_and_start();
    wait_until("readiness", || gateways[2].is_ready());
    assert_eq!(requests_reaching(&gateways[2..], leaving), 0);
}

#[test]
fn leaving_servers_only_refused_at_once() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("file") {
        server.set_fault(ServerFault::Shed);
        server.set_leaving(true);
    }
    gateway.send_filing("fl0");
    gateway.send_filing("fl1");
    let began = Instant::now();
    let answer = gateway.send_filing("fl2");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    assert_eq!(gateway.log_of("fl2")["sends"], 0);
}

#[test]
fn leaving_server_known_from_queries_only_gets_nothing_new() {
    let world = World::start();
    let gateways = fleet(&world);
    let leaving = world.servers_of("look")[0];
    leaving.report_state_in_probes();
    leaving.set_leaving(true);
    let is_logged = || {
        let log = gateways.iter().flat_map(Gateway::log);
        log.into_iter().any(|line| line["told_by"] == "question")
    };
    // No requests are sent, so an instance can learn of it only by a probe.
    wait_until("an instance to learn that the server leaves", is_logged);
    std::thread::sleep(SETTLE);
    assert_eq!(requests_reaching(&gateways, leaving), 0);
}
