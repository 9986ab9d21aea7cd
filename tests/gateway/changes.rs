//! Requests that are in flight while the settings or the configuration change.

use crate::support::callers::PersistentConnection;
use crate::support::{Answer, Gateway, World, config, wait_until};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::time::Duration;

/// Longer than a change takes to apply.
const WORK: Duration = Duration::from_millis(700);

/// More than the buffers of all sockets hold.
const LARGE_BODY: usize = 24 << 20;

const UPLOAD: &[u8] = &[b'u'; 40_000];

/// Part of an upload that is sent before the change.
const FIRST_PART: usize = 10_000;

/// Requests that wait in the queue or run: the servers of a service have twelve slots.
const LOOKUPS: usize = 18;

const FILINGS: usize = 6;

/// Connections that are idle; few enough for no request on them to wait.
const IDLE: usize = 8;

/// Time of a request in milliseconds.
const AMPLE_MS: u64 = 9_000;

/// The same of a download. On a busy machine, a server takes seconds to make its large answer.
const AMPLE_FOR_LARGE_MS: u64 = 19_000;

/// A configuration under which the requests of a test have ample time.
fn ample(version: u64) -> Value {
    let times = [("look", AMPLE_MS), ("file", AMPLE_MS), ("load", AMPLE_FOR_LARGE_MS)];
    let timeouts = times.map(|(route, ms)| (route, "timeout_ms", json!(ms)));
    let targets = times.map(|(route, ms)| (route, "target_latency_ms", json!(ms - 1_000)));
    config(version, &[timeouts, targets].concat())
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: {AMPLE_FOR_LARGE_MS}\r\n"
    )
}

/// Sends `text` on a new connection.
fn open(gateway: &Gateway, text: &str) -> PersistentConnection {
    let mut connection = PersistentConnection::open(gateway.callers()).unwrap();
    connection.send(text.as_bytes()).unwrap();
    connection
}

/// What callers have under way.
struct InFlight {
    /// Connections that have had an answer and are idle.
    idle: Vec<PersistentConnection>,
    /// Connections with one request, by its identifier.
    sent: Vec<(String, PersistentConnection)>,
    /// Connections on which the first part of an upload was sent.
    uploads: Vec<PersistentConnection>,
}

impl InFlight {
    /// Starts requests of all kinds, some of which wait in a queue, and reads no answer of them.
    fn start(world: &World, gateway: &Gateway) -> Self {
        world.servers_of("load").iter().for_each(|server| server.set_body(LARGE_BODY));
        // The instance learns how long work takes, so that it sends no hedges.
        world.servers.iter().for_each(|(_, server)| server.set_work(WORK));
        let mut idle: Vec<_> = (0..IDLE).map(|_| open(gateway, "")).collect();
        for (n, connection) in idle.iter_mut().enumerate() {
            let text = format!("{}\r\n", head("GET", "/look/1", &format!("i{n}")));
            connection.send(text.as_bytes()).unwrap();
        }
        for connection in &mut idle {
            assert_eq!(connection.read_answer().unwrap().status, 200);
        }
        let uploads = (0..3).map(|n| {
            let text = head("POST", "/file/1", &format!("u{n}"));
            let mut io = open(gateway, &format!("{text}Content-Length: {}\r\n\r\n", UPLOAD.len()));
            io.send(&UPLOAD[..FIRST_PART]).unwrap();
            io
        });
        let uploads: Vec<_> = uploads.collect();
        let lookups = (0..LOOKUPS).map(|n| ("GET", "/look/1", format!("l{n}")));
        let filings = (0..FILINGS).map(|n| ("PUT", "/file/1", format!("f{n}")));
        let downloads = (0..2).map(|n| ("GET", "/load/1", format!("d{n}")));
        // Their answers are read first, since they wait in the sockets.
        let all = downloads.chain(lookups).chain(filings);
        let sent = all.map(|(method, path, id)| {
            let io = open(gateway, &format!("{}\r\n", head(method, path, &id)));
            (id, io)
        });
        let sent = sent.collect();
        wait_until("requests at servers", || {
            world.run_count("look") >= IDLE + 12
                && world.run_count("file") == FILINGS
                && world.run_count("load") >= 2
        });
        Self { idle, sent, uploads }
    }

    /// Sends the rest of the uploads and checks that each request has its whole answer.
    fn assert_answered(&mut self, gateway: &Gateway) {
        let others: Vec<Value> = self.read_answers().iter().map(|id| gateway.log_of(id)).collect();
        assert!(others.is_empty(), "{others:?}");
    }

    /// Sends the rest of the uploads and reads the whole answers to the other requests. Returns
    /// the identifiers of those that were rejected as not run.
    fn read_answers(&mut self) -> Vec<String> {
        for upload in &mut self.uploads {
            upload.send(&UPLOAD[FIRST_PART..]).unwrap();
        }
        let mut rejected = Vec::new();
        for (id, connection) in &mut self.sent {
            let answer = connection.read_answer();
            let is_whole = |answer: &Answer| {
                [200, 503].contains(&answer.status)
                    && answer.header("x-attempt-id") == Some(id.as_str())
            };
            assert!(answer.as_ref().is_some_and(is_whole), "{id}: {:?}", answer.map(|a| a.head));
            if answer.is_some_and(|answer| answer.status == 503) {
                rejected.push(id.clone());
            }
        }
        rejected
    }

    /// Sends a lookup on each idle connection; returns the statuses, 0 without an answer.
    fn statuses_of_idle(&mut self, world: &World) -> Vec<u16> {
        world.servers.iter().for_each(|(_, server)| server.set_work(Duration::from_millis(20)));
        let head = head("GET", "/look/1", "idle");
        let statuses = self.idle.iter_mut().map(|connection| {
            connection.send_request(&head, b"").map_or(0, |answer| answer.status)
        });
        statuses.collect()
    }

    /// Statuses of the uploads, 0 without an answer.
    fn statuses_of_uploads(&mut self) -> Vec<u16> {
        let answers = self.uploads.iter_mut().map(PersistentConnection::read_answer);
        answers.map(|answer| answer.map_or(0, |answer| answer.status)).collect()
    }
}

fn wait_for_version(gateway: &Gateway, version: u64) {
    wait_until("the configuration", || gateway.metric("galenapath_config_version ") == version);
}

/// Removes a route and a service from a configuration.
fn remove(config: &mut Value, name: &str) {
    let resources = config["resources"].as_array_mut().unwrap();
    resources.retain(|resource| resource["metadata"]["name"] != name);
}

fn set_limits(config: &mut Value, limits: &[(&str, u64)]) {
    for (key, value) in limits {
        config["resources"][0]["spec"][*key] = json!(value);
    }
}

#[test]
fn requests_in_flight_answered_when_settings_change() {
    let world = World::start();
    world.store.put("op/config", &ample(2));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut in_flight = InFlight::start(&world, &gateway);
    let text = gateway.settings_text();
    let text = text.replace("[listen]", "memory_mb = 0.1\n[listen]").replace(":8101\"", ":8201\"");
    gateway.rewrite_settings(&format!(
        "{text}\n[callers]\nconnections = 1\nkeep_addresses = \"1s\"\n[stop]\ngrace = \"1s\"\n"
    ));
    gateway.signal("-HUP");
    let has = |event: &str| gateway.log().iter().any(|line| line["event"] == event);
    wait_until("the settings", || has("reload: settings changed"));
    in_flight.assert_answered(&gateway);
    assert_eq!(in_flight.statuses_of_uploads(), [200; 3]);
    assert_eq!(in_flight.statuses_of_idle(&world), [200; IDLE]);
    // A further connection is one too many, and the addresses are those of the start.
    let mut further = open(&gateway, &format!("{}\r\n", head("GET", "/look/1", "further")));
    assert!(further.read_answer().is_none());
    let elsewhere = std::net::SocketAddr::new(gateway.callers().ip(), 8_201);
    assert!(TcpStream::connect(elsewhere).is_err());
}

#[test]
fn requests_in_flight_answered_when_their_route_is_dropped() {
    let world = World::start();
    world.store.put("op/config", &ample(2));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut in_flight = InFlight::start(&world, &gateway);
    let mut without = ample(3);
    ["look", "file", "load"].iter().for_each(|name| remove(&mut without, name));
    world.store.put("op/config", &without);
    wait_for_version(&gateway, 3);
    in_flight.assert_answered(&gateway);
    // The service of the uploads is gone, so that they are rejected as not run.
    assert_eq!(in_flight.statuses_of_uploads(), [503; 3]);
    assert_eq!(in_flight.statuses_of_idle(&world), [404; IDLE]);
    assert_eq!(world.run_count("file"), FILINGS);
}

#[test]
fn requests_in_flight_answered_when_their_service_goes_and_returns() {
    let world = World::start();
    world.store.put("op/config", &ample(2));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut in_flight = InFlight::start(&world, &gateway);
    let mut without = ample(3);
    ["look", "file", "load"].iter().for_each(|name| remove(&mut without, name));
    world.store.put("op/config", &without);
    wait_for_version(&gateway, 3);
    world.store.put("op/config", &ample(4));
    wait_for_version(&gateway, 4);
    in_flight.assert_answered(&gateway);
    assert_eq!(in_flight.statuses_of_uploads(), [200; 3]);
    assert_eq!(in_flight.statuses_of_idle(&world), [200; IDLE]);
    assert_eq!(world.run_count("file"), FILINGS + 3);
}

#[test]
fn requests_in_flight_answered_when_route_moves_with_tighter_limits() {
    let world = World::start();
    world.store.put("op/config", &ample(2));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut in_flight = InFlight::start(&world, &gateway);
    let mut moved = config(
        3,
        &[
            ("look", "service", json!("load")),
            ("look", "timeout_ms", json!(300)),
            ("file", "timeout_ms", json!(300)),
            ("load", "timeout_ms", json!(300)),
        ],
    );
    let limits = [("max_header_bytes", 100), ("max_body_bytes", 1_000), ("header_timeout_ms", 50)];
    set_limits(&mut moved, &limits);
    moved["resources"].as_array_mut().unwrap().push(json!({
        "resource_type": "tenants", "metadata": { "name": "acme" },
        "spec": { "api_keys": ["k-acme"], "priority": 1, "rate_per_s": 1.0, "burst": 1.0 },
    }));
    world.store.put("op/config", &moved);
    wait_for_version(&gateway, 3);
    in_flight.assert_answered(&gateway);
    assert_eq!(in_flight.statuses_of_uploads(), [200; 3]);
}

#[test]
fn raised_limits_hold_on_connections_that_were_idle() {
    let world = World::start();
    let mut tight = ample(2);
    let limits = [("max_header_bytes", 400), ("max_body_bytes", 1_000)];
    set_limits(&mut tight, &limits);
    world.store.put("op/config", &tight);
    let gateway = Gateway::start_ready(&world, &[]);
    let mut connections: Vec<PersistentConnection> = (0..2).map(|_| open(&gateway, "")).collect();
    for connection in &mut connections {
        let answer = connection.send_request(&head("GET", "/look/1", "before"), b"").unwrap();
        assert_eq!(answer.status, 200);
    }
    world.store.put("op/config", &ample(3));
    wait_for_version(&gateway, 3);
    let answer = connections[0].send_request(&head("POST", "/file/1", "body"), UPLOAD).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.head);
    let long = format!("{}X-Long: {}\r\n", head("GET", "/look/1", "head"), "l".repeat(2_000));
    let answer = connections[1].send_request(&long, b"").unwrap();
    assert_eq!(answer.status, 200, "{}", answer.head);
}

#[test]
fn raised_idle_timeout_holds_on_connections_that_were_idle() {
    let world = World::start();
    let mut tight = ample(2);
    set_limits(&mut tight, &[("idle_timeout_ms", 1_000)]);
    world.store.put("op/config", &tight);
    let gateway = Gateway::start_ready(&world, &[]);
    let mut connection = open(&gateway, "");
    let head = head("GET", "/look/1", "idle");
    assert_eq!(connection.send_request(&head, b"").unwrap().status, 200);
    world.store.put("op/config", &ample(3));
    wait_for_version(&gateway, 3);
    std::thread::sleep(Duration::from_millis(1_200));
    let answer = connection.send_request(&head, b"");
    assert!(answer.is_some_and(|answer| answer.status == 200));
}

/// Checks that requests in flight have their whole answers though their servers go; those that wait
/// for a server may be rejected.
fn assert_answered_though(servers_go: impl FnOnce(&World), event: &str) {
    let world = World::start();
    world.store.put("op/config", &ample(2));
    world.spread_over_domains();
    let gateway = Gateway::start_ready(&world, &[]);
    let mut in_flight = InFlight::start(&world, &gateway);
    let seen = || gateway.log().iter().filter(|line| line["event"] == event).count();
    let before = seen();
    servers_go(&world);
    wait_until(event, || seen() > before);
    let rejected = in_flight.read_answers();
    assert!(rejected.len() <= LOOKUPS - 12, "{rejected:?}");
    let servers = world.servers_of("look");
    let ran: Vec<_> = servers.iter().flat_map(|server| server.executed_requests()).collect();
    for id in rejected {
        assert!(ran.iter().all(|run| run.id != id), "{id} ran and was rejected as not run");
    }
    let cancelled: usize = world.servers.iter().map(|(_, server)| server.cancelled()).sum();
    let hedges = gateway.metric("galenapath_copies_total ");
    assert!(cancelled as u64 <= hedges, "{cancelled} requests broken off, {hedges} hedges");
}

#[test]
fn requests_in_flight_answered_when_their_servers_leave() {
    let leave = |world: &World| {
        for (service, server) in &world.servers {
            let (key, entry) = server.entry(service, "draining");
            world.store.put(&key, &entry);
        }
    };
    assert_answered_though(leave, "server listed");
}

#[test]
fn requests_in_flight_answered_when_their_servers_vanish_from_the_list() {
    let vanish = |world: &World| {
        for (service, server) in &world.servers {
            world.store.delete(&server.entry(service, "ready").0);
        }
    };
    assert_answered_though(vanish, "server removed");
}

#[test]
fn requests_in_flight_answered_when_their_domain_is_evacuated() {
    assert_answered_though(|world| world.evacuate("d1"), "failure domain evacuated");
}
