//! A store that comes back from a backup: it has lost its latest changes, and gives their revisions
//! out again. The operator and the backend servers write again what they wrote since.

use crate::support::{Gateway, World, config, fleet, wait_until};
use galenapath_dev::users_platform::{KvFault, ServerStandIn};
use serde_json::json;
use std::time::Duration;

/// Time within which a change has to take effect.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Number of changes between the backup and the return of the store.
const LOST_CHANGES: u64 = 6;

/// Writes configurations, so that the store's revision rises; returns the last version.
fn change_config(world: &World, from: u64) -> u64 {
    let last = from + LOST_CHANGES;
    (from + 1..=last).for_each(|version| world.store.put("op/config", &config(version, &[])));
    last
}

fn wait_for_version(gateways: &[Gateway], version: u64) {
    for gateway in gateways {
        let line = format!("galenapath_config_version {version}\n");
        wait_until(&line, || gateway.metrics().contains(&line));
    }
}

/// Lets the store go away for a moment and come back from its backup.
fn restore(world: &World, gateways: &[Gateway]) {
    let set_fault = |fault| gateways.iter().for_each(|g| world.store.set_fault(g.store, fault));
    set_fault(KvFault::Reset);
    std::thread::sleep(Duration::from_millis(600));
    world.store.restore_backup();
    set_fault(KvFault::None);
}

fn put_state(world: &World, server: &ServerStandIn, state: &str) {
    let (key, entry) = server.entry("look", state);
    world.store.put(&key, &entry);
}

/// Sends a few lookups to each instance and checks that `server` runs none of them.
fn assert_gets_nothing(gateways: &[Gateway], server: &ServerStandIn, id: &str) {
    let before = server.executed_requests().len();
    for (n, gateway) in gateways.iter().enumerate() {
        for m in 0..6 {
            gateway.send_lookup(&format!("{id}-{n}-{m}"));
        }
    }
    assert_eq!(server.executed_requests().len(), before, "{id}");
}

#[test]
fn server_that_leaves_after_the_store_went_back_gets_nothing() {
    let world = World::start();
    let gateways = fleet(&world);
    world.store.back_up();
    let version = change_config(&world, 1);
    wait_for_version(&gateways, version);
    restore(&world, &gateways);
    std::thread::sleep(IN_FORCE);
    let leaving = world.servers_of("look")[0];
    put_state(&world, leaving, "draining");
    std::thread::sleep(IN_FORCE);
    assert_gets_nothing(&gateways, leaving, "rl");
}

#[test]
fn server_that_left_before_the_store_went_back_gets_nothing() {
    let world = World::start();
    let gateways = fleet(&world);
    world.store.back_up();
    let [leaving, gone] = [world.servers_of("look")[0], world.servers_of("look")[1]];
    put_state(&world, leaving, "draining");
    world.store.delete(&gone.entry("look", "ready").0);
    let stays = ServerStandIn::start("i-stays", Duration::from_millis(20)).unwrap();
    put_state(&world, &stays, "ready");
    let version = change_config(&world, 1);
    wait_for_version(&gateways, version);
    std::thread::sleep(IN_FORCE);
    assert_gets_nothing(&gateways, leaving, "bl");
    assert_gets_nothing(&gateways, gone, "bg");
    // The copy has both as ready, and it does not have the third one, which writes again first.
    restore(&world, &gateways);
    put_state(&world, &stays, "ready");
    std::thread::sleep(Duration::from_millis(500));
    assert_gets_nothing(&gateways, leaving, "al");
    assert_gets_nothing(&gateways, gone, "ag");
    assert_eq!(gateways[0].send_lookup("as").status, 200);
    put_state(&world, leaving, "draining");
    world.store.delete(&gone.entry("look", "ready").0);
    std::thread::sleep(IN_FORCE);
    assert_gets_nothing(&gateways, leaving, "wl");
    assert_gets_nothing(&gateways, gone, "wg");
    assert_eq!(gateways[0].send_lookup("ws").status, 200);
}

#[test]
fn server_listed_after_the_store_went_back_gets_requests() {
    let world = World::start();
    let gateways = fleet(&world);
    world.store.back_up();
    let version = change_config(&world, 1);
    wait_for_version(&gateways, version);
    restore(&world, &gateways);
    std::thread::sleep(IN_FORCE);
    let added = ServerStandIn::start("i-added", Duration::from_millis(20)).unwrap();
    put_state(&world, &added, "ready");
    world.servers_of("look").iter().for_each(|server| put_state(&world, server, "draining"));
    std::thread::sleep(IN_FORCE);
    for (n, gateway) in gateways.iter().enumerate() {
        assert_eq!(gateway.send_lookup(&format!("ad{n}")).status, 200);
    }
    assert_eq!(added.executed_requests().len(), gateways.len());
}

#[test]
fn evacuation_lost_by_the_store_stays_in_force() {
    let world = World::start();
    world.spread_over_domains();
    let gateways = fleet(&world);
    world.store.back_up();
    change_config(&world, 1);
    world.evacuate("d2");
    gateways.iter().for_each(|gateway| gateway.wait_for_evacuated(1));
    let withdrawn = world.servers_of("look")[1];
    restore(&world, &gateways);
    std::thread::sleep(Duration::from_millis(900));
    assert_gets_nothing(&gateways, withdrawn, "ev");
    world.evacuate("d2");
    std::thread::sleep(IN_FORCE);
    assert_gets_nothing(&gateways, withdrawn, "ew");
    world.restore("d2");
    gateways.iter().for_each(|gateway| gateway.wait_for_evacuated(0));
}

/// Guards against a change of the state that the store has left: it is known to one instance from the
/// watch that it began before, while another has already told it of the state that came back.
#[test]
fn watch_answered_in_former_epoch_changes_nothing() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
    let gateways = [first, second];
    let [first, second] = &gateways;
    let added = ServerStandIn::start("i-former", Duration::from_millis(20)).unwrap();
    let (key, entry) = added.entry("look", "ready");
    // Their own entries would end the watch.
    let registered = || world.store.keys("galenapath/instances/").len();
    wait_until("the watching instances to register", || registered() == 2);
    std::thread::sleep(Duration::from_millis(300));
    world.store.back_up();
    let version = change_config(&world, 1);
    wait_for_version(&gateways, version);
    // The next watch begins a moment after the last changes.
    std::thread::sleep(Duration::from_millis(400));
    world.store.set_fault(second.store, KvFault::Former);
    world.store.restore_backup();
    let is_back =
        |line: &serde_json::Value| line["event"] == "the store has come back from a backup";
    wait_until("the state that came back", || second.log().iter().any(is_back));
    let listed = |gateway: &Gateway| {
        let text = gateway.metrics();
        text.lines().find(|line| line.starts_with("galenapath_servers ")).map(str::to_owned)
    };
    let before = listed(first);
    world.store.put_former(&key, &entry);
    std::thread::sleep(IN_FORCE);
    assert_eq!((listed(first), listed(second)), (before.clone(), before));
}

#[test]
fn instances_register_again_after_the_store_went_back() {
    let world = World::start();
    let gateways = fleet(&world);
    let registered = || world.store.keys("galenapath/instances/").len();
    // Two instances watch the store, and register there for those that start.
    wait_until("the watching instances to register", || registered() == 2);
    for prefix in world.store.keys("galenapath/instances/") {
        world.store.delete(&prefix);
    }
    world.store.back_up();
    change_config(&world, 1);
    restore(&world, &gateways);
    wait_until("the watching instances to register again", || registered() >= 2);
}

#[test]
fn configuration_written_after_the_store_went_back_in_force() {
    let world = World::start();
    let gateways = fleet(&world);
    world.store.back_up();
    let version = change_config(&world, 1);
    wait_for_version(&gateways, version);
    restore(&world, &gateways);
    std::thread::sleep(Duration::from_millis(300));
    let in_force = |version: u64| format!("galenapath_config_version {version}\n");
    for gateway in &gateways {
        assert!(gateway.metrics().contains(&in_force(version)), "a version reverted");
    }
    let moved = config(version + 1, &[("look", "service", json!("load"))]);
    world.store.put("op/config", &moved);
    wait_for_version(&gateways, version + 1);
    let reads = world.store.calls().iter().filter(|call| call.contains("kv-range")).count();
    std::thread::sleep(Duration::from_secs(1));
    let later = world.store.calls().iter().filter(|call| call.contains("kv-range")).count();
    assert!(later - reads < 5, "{} reads of all keys in a second", later - reads);
}
