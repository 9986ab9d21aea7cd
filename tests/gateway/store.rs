//! The configuration, the list of backend servers, and outages of the store.

use crate::support::{Gateway, World, config, wait_until};
use galenapath_dev::users_platform::KvFault;
use serde_json::json;
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn configuration_followed_and_never_reverted() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    assert_eq!(gateway.send_lookup("m1").status, 200);
    let moved = config(3, &[("look", "service", json!("load"))]);
    world.store.put("op/config", &moved);
    wait_until("version 3", || gateway.metrics().contains("galenapath_config_version 3"));
    let before = world.run_count("load");
    assert_eq!(gateway.send_lookup("m2").status, 200);
    assert_eq!(world.run_count("load"), before + 1);
    world.store.put("op/config", &config(2, &[]));
    world.store.put("op/config", &json!({ "version": "00000009", "resources": "broken" }));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(gateway.send_lookup("m3").status, 200);
    assert_eq!(world.run_count("load"), before + 2);
    assert!(gateway.log().iter().any(|line| line["event"] == "configuration refused"));
}

#[test]
fn lists_in_pages_and_dropped_history_read() {
    let world = World::start();
    world.store.set_page(2);
    let gateway = Gateway::start_ready(&world, &[]);
    assert!(gateway.metrics().contains("galenapath_servers 6"));
    let (key, _) = world.servers_of("look")[0].entry("look", "ready");
    world.store.delete(&key);
    world.store.discard_history();
    wait_until("the shorter list", || gateway.metrics().contains("galenapath_servers 5"));
    assert_eq!(gateway.send_lookup("p1").status, 200);
}

#[test]
fn store_unavailable_requests_served_and_watch_resumed() {
    for fault in [KvFault::Silent, KvFault::Busy, KvFault::Limited, KvFault::Reset] {
        let world = World::start();
        let gateway = Gateway::start_ready(&world, &[]);
        world.store.set_fault(gateway.store, fault);
        let has_logged = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
        wait_until("the loss of the store", || has_logged("the store did not answer"));
        assert_eq!(gateway.send_lookup("q1").status, 200, "{fault:?}");
        world.store.put("op/config", &config(4, &[]));
        world.store.set_fault(gateway.store, KvFault::None);
        wait_until("version 4", || gateway.metrics().contains("galenapath_config_version 4"));
        assert!(has_logged("the store answers again"), "{fault:?}");
    }
}

#[test]
fn entries_lapsed_in_an_outage_kept_for_two_seconds() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    world.store.set_fault(gateway.store, KvFault::Reset);
    let has_logged =
        || gateway.log().iter().any(|line| line["event"] == "the store did not answer");
    wait_until("the loss of the store", has_logged);
    let entries: Vec<_> =
        world.servers_of("look").iter().map(|s| s.entry("look", "ready")).collect();
    for (key, _) in &entries {
        world.store.delete(key);
    }
    world.store.set_fault(gateway.store, KvFault::None);
    let removed = || gateway.log().iter().any(|line| line["event"] == "server removed");
    wait_until("a server to be removed", removed);
    assert_eq!(gateway.send_lookup("r1").status, 200);
    let (key, entry) = &entries[0];
    world.store.put(key, entry);
    wait_until("the other entry to be dropped", || {
        gateway.metrics().contains("galenapath_servers 5")
    });
    assert_eq!(gateway.send_lookup("r2").status, 200);
}

#[test]
fn entry_of_another_writer_ignored() {
    let world = World::start();
    world.store.put("servers/stranger", &json!({ "note": "left here by another program" }));
    let gateway = Gateway::start_ready(&world, &[]);
    wait_until("servers", || gateway.metrics().contains("galenapath_servers 6"));
    assert_eq!(gateway.send_lookup("w1").status, 200);
    // An entry that becomes invalid under the same identity no longer names a server.
    let before = world.servers_of("look")[0].executed_requests().len();
    let (key, mut entry) = world.servers_of("look")[0].entry("look", "ready");
    entry["state"] = json!("resting");
    world.store.put(&key, &entry);
    wait_until("five servers", || gateway.metrics().contains("galenapath_servers 5"));
    world.store.put_bytes("servers/i-file0", b"\xff\xfe no text");
    wait_until("four servers", || gateway.metrics().contains("galenapath_servers 4"));
    for n in 2..6 {
        assert_eq!(gateway.send_lookup(&format!("w{n}")).status, 200);
    }
    assert_eq!(world.servers_of("look")[0].executed_requests().len(), before);
    let messages =
        gateway.log().into_iter().filter(|line| line["event"] == "entry names no server");
    let messages: Vec<String> =
        messages.map(|line| format!("{}: {}", line["server"], line["error"])).collect();
    for (id, why) in
        [("stranger", "service"), ("i-look0", "resting"), ("i-file0", "expected value")]
    {
        assert!(
            messages.iter().any(|line| line.contains(id) && line.contains(why)),
            "{id}: {messages:?}"
        );
    }
    assert!(!gateway.metrics().contains("galenapath_unreadable_entries_total 0"));
    // Once it is valid again, it names the server again.
    entry["state"] = json!("ready");
    world.store.put(&key, &entry);
    wait_until("five servers", || gateway.metrics().contains("galenapath_servers 5"));
}

#[test]
fn instance_cut_off_from_store_updated_by_peer() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start_ready(&world, &[&first]);
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
fn instance_started_without_store_reads_all_from_peer() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let second = Gateway::start(&world, &[&first]);
    world.store.set_fault(second.store, KvFault::Silent);
    wait_until("readiness", || second.is_ready());
    assert_eq!(second.send_lookup("s1").status, 200);
}

#[test]
fn request_at_start_waits_for_configuration() {
    let world = World::start();
    let store = world.store.listen().unwrap();
    world.store.set_fault(store, KvFault::Busy);
    let gateway = Gateway::start_at(store, &[]);
    // The instance listens but does not know any route yet.
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
fn request_at_start_refused_without_configuration() {
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
fn watch_that_receives_nothing_delays_change_by_its_wait_at_most() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    wait_until("a watch on the store", || {
        world.store.calls().iter().any(|call| call.ends_with("kv-watch"))
    });
    world.store.set_fault(gateway.store, KvFault::Deaf);
    let began = Instant::now();
    world.store.put("op/config", &config(5, &[]));
    wait_until("version 5", || gateway.metrics().contains("galenapath_config_version 5"));
    // A change must be in force within 2.5 s after the store has acknowledged it.
    assert!(began.elapsed() < Duration::from_millis(2_500), "{:?}", began.elapsed());
}

#[test]
fn watch_that_is_not_answered_delays_change_by_its_wait_at_most() {
    let world = World::start();
    let gateways = start_many(&world, 6);
    for gateway in &gateways {
        let fault = if is_watching(gateway) { KvFault::Mute } else { KvFault::Silent };
        world.store.set_fault(gateway.store, fault);
    }
    assert_in_force_in_time(&world, &gateways);
}

#[test]
fn watchers_cut_off_from_store_replaced_though_most_others_are_too() {
    let world = World::start();
    let gateways = start_many(&world, 6);
    let last = gateways.iter().rposition(|gateway| !is_watching(gateway)).unwrap();
    for gateway in gateways.iter().enumerate().filter(|(at, _)| *at != last).map(|(_, g)| g) {
        world.store.set_fault(gateway.store, KvFault::Silent);
    }
    assert_in_force_in_time(&world, &gateways);
}

fn start_many(world: &World, count: usize) -> Vec<Gateway> {
    let first = Gateway::start_ready(world, &[]);
    let others: Vec<Gateway> = (1..count).map(|_| Gateway::start_ready(world, &[&first])).collect();
    let all: Vec<Gateway> = [first].into_iter().chain(others).collect();
    all.iter().for_each(|gateway| gateway.wait_for_peers(count - 1));
    wait_until("two that watch", || all.iter().filter(|g| is_watching(g)).count() == 2);
    all
}

/// Whether the instance watches the store now.
fn is_watching(gateway: &Gateway) -> bool {
    let log = gateway.log();
    let is_change = |line: &&serde_json::Value| {
        line["event"] == "watching the store" || line["event"] == "no longer watching the store"
    };
    log.iter().rfind(is_change).is_some_and(|line| line["event"] == "watching the store")
}

/// Makes a change; it has to be in force on all within 2 s after the store has acknowledged it.
fn assert_in_force_in_time(world: &World, gateways: &[Gateway]) {
    let began = Instant::now();
    world.store.put("op/config", &config(5, &[]));
    for gateway in gateways {
        wait_until("version 5", || gateway.metrics().contains("galenapath_config_version 5"));
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

#[test]
fn change_between_two_reads_followed() {
    let world = World::start();
    // The change happens after the configuration was read and before the list is read.
    world.store.change_before_read("servers/", "op/config", Some(&config(7, &[])));
    let gateway = Gateway::start_ready(&world, &[]);
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
fn store_without_changes_called_rarely() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let others: Vec<Gateway> = (0..4).map(|_| Gateway::start_ready(&world, &[&first])).collect();
    // After its first watch each watcher registers its address, which the next one returns at once.
    std::thread::sleep(Duration::from_secs(3));
    let before = world.store.calls().len();
    std::thread::sleep(Duration::from_secs(4));
    let calls: Vec<String> = world.store.calls()[before..].to_vec();
    let watches = calls.iter().filter(|call| call.ends_with("kv-watch")).count();
    let pings = calls.iter().filter(|call| call.ends_with("kv-key")).count();
    // Two instances watch the store, however many there are, each three times at most.
    assert!(watches <= 6, "{watches} watches of {} instances: {calls:?}", others.len() + 1);
    assert!(pings <= 24, "{pings} pings");
}

#[test]
fn large_configuration_in_force_on_many() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    let others: Vec<Gateway> = (0..9).map(|_| Gateway::start_ready(&world, &[&first])).collect();
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
fn metrics_show_ages_and_services() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    assert_eq!(gateway.send_lookup("ma").status, 200);
    let value = |name: &str| {
        let text = gateway.metrics();
        let line = text.lines().find(|line| line.starts_with(name)).map(str::to_owned);
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
    };
    let latency = "galenapath_latency_seconds_count{kind=\"idempotent\",service=\"look\"}";
    assert_eq!(value(latency), Some(1.0));
    assert!(value("galenapath_load_age_seconds{service=\"look\"}").unwrap() < 1.0);
    assert_eq!(value("galenapath_peer_silence_seconds"), Some(0.0));
    wait_until("a watch on the store", || {
        value("galenapath_store_age_seconds").is_some_and(|age| age < 1.0)
    });
    world.store.set_fault(gateway.store, KvFault::Silent);
    wait_until("the store's age to grow", || {
        value("galenapath_store_age_seconds").is_some_and(|age| age > 1.0)
    });
}

/// Guards against an instance that starts, takes the list from another one, and then lists servers
/// again that have left, because its own first read is older and is answered later.
#[test]
fn stale_first_read_after_list_of_peer_restores_no_server() {
    let world = World::start();
    let first = Gateway::start_ready(&world, &[]);
    world.store.back_up();
    let (key, _) = world.servers_of("look")[0].entry("look", "ready");
    world.store.delete(&key);
    wait_until("the shorter list", || first.metrics().contains("galenapath_servers 5"));
    let address = world.store.listen().unwrap();
    world.store.set_fault(address, KvFault::StaleReads);
    // The instance asks the store before it learns of the other one.
    first.signal("-STOP");
    let before = world.store.calls().len();
    let started = Gateway::start_at(address, &[&first]);
    wait_until("its first call", || world.store.calls().len() > before);
    first.signal("-CONT");
    let answered = "galenapath_store_calls_total{call=\"range\",result=\"answered\"} 2";
    wait_until("its own first read", || started.metrics().contains(answered));
    let listed: Vec<_> =
        started.log().into_iter().filter(|line| line["event"] == "server listed").collect();
    assert!(listed.iter().all(|line| line["source"] == "peer"), "{listed:?}");
    assert_eq!(listed.len(), 5, "{listed:?}");
    assert!(started.metrics().contains("galenapath_servers 5"));
}
