//! The configuration, the list of backend servers, and a store that goes away.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::users_platform::KvFault;
use serde_json::json;
use std::net::TcpStream;
use std::time::{Duration, Instant};

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
fn lists_in_pages_and_dropped_history_read() {
    let world = World::start();
    world.store.set_page(2);
    let gateway = Gateway::ready(&world, &[]);
    assert!(gateway.metrics().contains("galenapath_servers 6"));
    let (key, _) = world.of("look")[0].entry("look", "ready");
    world.store.delete(&key);
    world.store.discard_history();
    wait_until("the shorter list", || gateway.metrics().contains("galenapath_servers 5"));
    assert_eq!(gateway.look("p1").status, 200);
}

#[test]
fn store_away_served_on_and_watched_again() {
    for trouble in [KvFault::Silent, KvFault::Busy, KvFault::Limited, KvFault::Reset] {
        let world = World::start();
        let gateway = Gateway::ready(&world, &[]);
        world.store.set_fault(gateway.store, trouble);
        let lost = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
        wait_until("the loss", || lost("the store did not answer"));
        assert_eq!(gateway.look("q1").status, 200, "{trouble:?}");
        world.store.put("op/config", &config(4, &[]));
        world.store.set_fault(gateway.store, KvFault::None);
        wait_until("version 4", || gateway.metrics().contains("galenapath_config_version 4"));
        assert!(lost("the store answers again"), "{trouble:?}");
    }
}

#[test]
fn entries_lapsed_in_an_outage_kept_for_two_seconds() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    world.store.set_fault(gateway.store, KvFault::Reset);
    let lost = || gateway.log().iter().any(|line| line["event"] == "the store did not answer");
    wait_until("the loss", lost);
    let entries: Vec<_> = world.of("look").iter().map(|s| s.entry("look", "ready")).collect();
    for (key, _) in &entries {
        world.store.delete(key);
    }
    world.store.set_fault(gateway.store, KvFault::None);
    let removed = || gateway.log().iter().any(|line| line["event"] == "server removed");
    wait_until("the removal", removed);
    assert_eq!(gateway.look("r1").status, 200);
    let (key, entry) = &entries[0];
    world.store.put(key, entry);
    wait_until("the end of the other", || gateway.metrics().contains("galenapath_servers 5"));
    assert_eq!(gateway.look("r2").status, 200);
}

#[test]
fn entry_of_another_writer_names_no_server() {
    let world = World::start();
    world.store.put("servers/stranger", &json!({ "note": "left here by another program" }));
    let gateway = Gateway::ready(&world, &[]);
    wait_until("servers", || gateway.metrics().contains("galenapath_servers 6"));
    assert_eq!(gateway.look("w1").status, 200);
    // A good entry that turns bad under the same identity names no server.
    let before = world.of("look")[0].executed_requests().len();
    let (key, mut entry) = world.of("look")[0].entry("look", "ready");
    entry["state"] = json!("resting");
    world.store.put(&key, &entry);
    wait_until("five servers", || gateway.metrics().contains("galenapath_servers 5"));
    world.store.put_bytes("servers/i-file0", b"\xff\xfe no text");
    wait_until("four servers", || gateway.metrics().contains("galenapath_servers 4"));
    for n in 2..6 {
        assert_eq!(gateway.look(&format!("w{n}")).status, 200);
    }
    assert_eq!(world.of("look")[0].executed_requests().len(), before);
    let told = gateway.log().into_iter().filter(|line| line["event"] == "entry names no server");
    let told: Vec<String> =
        told.map(|line| format!("{}: {}", line["server"], line["error"])).collect();
    for (id, why) in
        [("stranger", "service"), ("i-look0", "resting"), ("i-file0", "expected value")]
    {
        assert!(told.iter().any(|line| line.contains(id) && line.contains(why)), "{id}: {told:?}");
    }
    assert!(!gateway.metrics().contains("galenapath_unreadable_entries_total 0"));
    // And a good one again does.
    entry["state"] = json!("ready");
    world.store.put(&key, &entry);
    wait_until("five servers", || gateway.metrics().contains("galenapath_servers 5"));
}

#[test]
fn instance_cut_from_the_store_told_by_its_peer() {
    let world = World::start();
    let first = Gateway::ready(&world, &[]);
    let second = Gateway::ready(&world, &[&first]);
    first.wait_for_peers(1);
    second.wait_for_peers(1);
    world.store.set_fault(second.store, KvFault::Silent);
    world.store.put("op/config", &config(5, &[]));
    for gateway in [&first, &second] {
        wait_until("version 5", || gateway.metrics().contains("galenapath_config_version 5"));
    }
    world.store.set_fault(second.store, KvFault::None);
    world.store.set_fault(first.store, KvFault::Silent);
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
    world.store.set_fault(second.store, KvFault::Silent);
    wait_until("readiness", || second.is_ready());
    assert_eq!(second.look("s1").status, 200);
}

#[test]
fn request_at_the_start_waits_for_what_is_missing() {
    let world = World::start();
    let store = world.store.listen().unwrap();
    world.store.set_fault(store, KvFault::Busy);
    let gateway = Gateway::start_at(store, &[]);
    // It listens, and does not know any route yet.
    wait_until("listening", || TcpStream::connect(gateway.callers()).is_ok());
    let platform = world.store.clone();
    let healing = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(150));
        platform.set_fault(store, KvFault::None);
    });
    let answer = gateway.request("GET", "/look/1", "early", 6_000, b"");
    healing.join().unwrap();
    assert_eq!(answer.status, 200);
}

#[test]
fn request_at_the_start_refused_when_nothing_comes() {
    let world = World::start();
    let store = world.store.listen().unwrap();
    world.store.set_fault(store, KvFault::Busy);
    let gateway = Gateway::start_at(store, &[]);
    wait_until("listening", || TcpStream::connect(gateway.callers()).is_ok());
    let began = Instant::now();
    assert_eq!(gateway.request("GET", "/look/1", "early", 2_000, b"").status, 503);
    assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
}

#[test]
fn watch_that_hears_nothing_costs_no_more_than_its_wait() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    // It watches by now.
    wait_until("a watch", || world.store.calls().iter().any(|call| call.ends_with("kv-watch")));
    world.store.set_fault(gateway.store, KvFault::Deaf);
    let began = Instant::now();
    world.store.put("op/config", &config(5, &[]));
    wait_until("version 5", || gateway.metrics().contains("galenapath_config_version 5"));
    // A change has to be in force 2.5 s after the store has acknowledged it.
    assert!(began.elapsed() < Duration::from_millis(2_500), "{:?}", began.elapsed());
}

#[test]
fn change_between_two_reads_followed() {
    let world = World::start();
    // The configuration is read by now, the list is not.
    world.store.change_before_read("servers/", "op/config", Some(&config(7, &[])));
    let gateway = Gateway::ready(&world, &[]);
    wait_until("version 7", || gateway.metrics().contains("galenapath_config_version 7"));
    let evacuate = ("op/evacuate/d1", json!({}));
    world.store.change_before_read("servers/", evacuate.0, Some(&evacuate.1));
    world.store.discard_history();
    gateway.wait_for_evacuated(1);
    world.store.change_before_read("servers/", evacuate.0, None);
    world.store.discard_history();
    gateway.wait_for_evacuated(0);
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

#[test]
fn metrics_tell_ages_and_services() {
    let world = World::start();
    let gateway = Gateway::ready(&world, &[]);
    assert_eq!(gateway.look("ma").status, 200);
    let value = |name: &str| {
        let text = gateway.metrics();
        let line = text.lines().find(|line| line.starts_with(name)).map(str::to_owned);
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
    };
    let latency = "galenapath_latency_seconds_count{kind=\"idempotent\",service=\"look\"}";
    assert_eq!(value(latency), Some(1.0));
    assert!(value("galenapath_load_age_seconds{service=\"look\"}").unwrap() < 1.0);
    assert_eq!(value("galenapath_peer_silence_seconds"), Some(0.0));
    wait_until("a watch", || value("galenapath_store_age_seconds").is_some_and(|age| age < 1.0));
    world.store.set_fault(gateway.store, KvFault::Silent);
    wait_until("age", || value("galenapath_store_age_seconds").is_some_and(|age| age > 1.0));
}
