//! Random faults on running programs, with checks of what callers receive and servers run.
//!
//! `SOAK_SEEDS=1,2,3 SOAK_SECONDS=20 cargo test --test gateway_soak` runs other seeds for longer.
//! `SOAK_INSTANCES=100` starts more instances; seeds then run one at a time.
//!
//! Each seed draws faults of these kinds, of which two run at a time:
//!
//! - Instances are killed, paused, stopped and started again, or reload their settings.
//! - The store is unreachable for one instance or for all.
//! - Links to the store and to servers are cut, delayed or silenced, in one direction or in both.
//! - Servers fail in every way that the stand-in has, turn cold, state a rate limit, leave, are
//!   paused, or restart under the same identity.
//! - Other writers add entries to the store.
//! - The store comes back from a backup and has lost its latest changes, which are written again.
//! - A failure domain is evacuated.
//! - The configuration changes.
//!
//! After the faults, a request that crashes servers is sent to all instances, an evacuation begins, a
//! server states a rate limit and then leaves.
//!
//! Half of the callers use one connection for as long as it stays open.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[path = "gateway_soak/faults.rs"]
mod faults;
#[path = "gateway/support.rs"]
mod support;

use faults::inject_fault;
use galenapath_dev::link::Relay;
use galenapath_dev::users_platform::{DOWNTIME, ServerFault};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use support::callers::PersistentConnection;
use support::{Answer, Gateway, World, config, send_request, wait_until};

/// Seeds of every run. A seed that ever failed stays here with its cause.
///
/// - 2: An instance that had just started took a common request for the cause of the crashes that it
///   met, and rejected it although the others were answering it.
const SEEDS: &[u64] = &[1, 2];

/// Seeds of runs with many instances, and few callers for each. They guard against two faults:
///
/// - 601: No instance counted as one that serves callers, so none was informed of a rate limit.
/// - 602: No instance queried the servers of a failure domain without instances, so none learned
///   that one of them had turned cold.
const LARGE_RUN_SEEDS: &[u64] = &[601, 602];

/// Number of instances in runs of [`LARGE_RUN_SEEDS`].
const LARGE_RUN_INSTANCES: usize = 60;
/// Length in seconds of runs of [`LARGE_RUN_SEEDS`].
const LARGE_RUN_SECONDS: u64 = 10;

/// Length in seconds of a run if `SOAK_SECONDS` is not set.
const DEFAULT_SECONDS: usize = 6;

/// Number of instances of a run if `SOAK_INSTANCES` is not set.
const DEFAULT_INSTANCES: usize = 3;

/// Runs of [`DEFAULT_INSTANCES`] that run concurrently; each has a dozen processes and threads.
const CONCURRENT_RUNS: usize = 3;

/// Threads that inject faults, and so the number of concurrent faults.
const FAULT_THREADS: u64 = 2;

/// Threads that send requests.
const CALLER_THREADS: usize = 4;

/// Start time, in Unix milliseconds, of the first server that restarts.
const FIRST_START_MS: u64 = 1_764_720_000_000;

/// A request with the answer that its caller received.
#[derive(Clone, Debug)]
struct CallRecord {
    id: String,
    is_non_idempotent: bool,
    answer: Answer,
}

const FILING: &[u8] = b"a filing";

fn head(id: &str, is_non_idempotent: bool) -> String {
    let line = if is_non_idempotent { "POST /file/1" } else { "GET /look/1" };
    format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: 1500\r\n"
    )
}

fn call(address: SocketAddr, id: &str, is_non_idempotent: bool) -> CallRecord {
    let body = if is_non_idempotent { FILING } else { b"" };
    let answer = send_request(address, &head(id, is_non_idempotent), body);
    CallRecord { id: id.to_owned(), is_non_idempotent, answer }
}

/// Sends a request on the connection of an earlier call, or on a new one if the instance has closed
/// that. Keeps the connection in `reused` if it stays open.
fn call_persistent(
    reused: &mut Option<PersistentConnection>,
    address: SocketAddr,
    id: &str,
    is_non_idempotent: bool,
) -> CallRecord {
    let body = if is_non_idempotent { FILING } else { b"" };
    let mut connection = reused.take().or_else(|| PersistentConnection::open(address));
    let answer = connection
        .as_mut()
        .and_then(|connection| connection.send_request(&head(id, is_non_idempotent), body));
    if answer.as_ref().is_some_and(|answer| answer.header("connection") != Some("close")) {
        *reused = connection;
    }
    CallRecord { id: id.to_owned(), is_non_idempotent, answer: answer.unwrap_or_default() }
}

/// Threads that send requests until [`Self::end`].
struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<CallRecord>>>,
}

impl Callers {
    fn start(seed: u64, addresses: &[SocketAddr]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(0));
        let spawn = |n: usize| {
            let (is_over, next) = (Arc::clone(&is_over), Arc::clone(&next));
            let addresses = addresses.to_vec();
            std::thread::spawn(move || {
                let mut rng = SmallRng::seed_from_u64(seed * 100 + n as u64);
                let (mut calls, mut connection) = (Vec::new(), None);
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("{seed}-{}", next.fetch_add(1, Ordering::Relaxed));
                    let address = addresses[rng.random_range(0..addresses.len())];
                    let is_non_idempotent = rng.random_bool(0.5);
                    calls.push(match n % 2 {
                        0 => call(address, &id, is_non_idempotent),
                        _ => call_persistent(&mut connection, address, &id, is_non_idempotent),
                    });
                    std::thread::sleep(Duration::from_millis(5));
                }
                calls
            })
        };
        let threads = (0..CALLER_THREADS).map(spawn).collect();
        Self { is_over, threads }
    }

    fn end(self) -> Vec<CallRecord> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    }
}

/// The programs of a run that faults are injected into.
struct Deployment {
    world: World,
    gateways: Vec<Mutex<Gateway>>,
    /// Relays between the instances and the store.
    store_links: Vec<Relay>,
    version: AtomicU64,
    /// Start time, in Unix milliseconds, of the next server that restarts.
    next_start_ms: AtomicU64,
    /// Faults injected so far.
    trace: Mutex<Vec<String>>,
}

impl Deployment {
    fn start(instances: usize) -> Self {
        let world = World::start_linked();
        world.spread_over_domains();
        let (mut gateways, mut store_links): (Vec<Gateway>, Vec<Relay>) = (Vec::new(), Vec::new());
        for _ in 0..instances {
            let link = Relay::start_on_thread(world.store.listen().unwrap()).unwrap();
            let seeds: Vec<&Gateway> = gateways.first().into_iter().collect();
            let gateway = Gateway::start_at(link.addr, &seeds);
            wait_until("readiness", || gateway.is_ready());
            gateways.push(gateway);
            store_links.push(link);
        }
        let gateways = gateways.into_iter().map(Mutex::new).collect();
        let (version, trace) = (AtomicU64::new(1), Mutex::default());
        let next_start_ms = AtomicU64::new(FIRST_START_MS);
        Self { world, gateways, store_links, version, next_start_ms, trace }
    }

    /// Lists a server as restarted under the same identity.
    fn list_restarted(&self, at: usize, started: u64) {
        let (service, server) = &self.world.servers[at];
        let (key, mut entry) = server.entry_of_run(service, "ready", started);
        entry["address"] = json!(self.world.links[at].addr.to_string());
        entry["zone"] = json!(World::domain_of(at));
        self.world.store.put(&key, &entry);
    }

    /// Lists a server at its own address, as restarted under the same identity.
    fn list_without_link(&self, at: usize) {
        let started = self.next_start_ms.fetch_add(1, Ordering::Relaxed);
        let (service, server) = &self.world.servers[at];
        let (key, mut entry) = server.entry_of_run(service, "ready", started);
        entry["zone"] = json!(World::domain_of(at));
        self.world.store.put(&key, &entry);
    }

    fn gateway(&self, n: usize) -> MutexGuard<'_, Gateway> {
        self.gateways[n].lock().unwrap()
    }

    /// Draws faults and injects them until `end`.
    fn inject_faults(&self, mut rng: SmallRng, end: Instant) {
        while Instant::now() < end {
            let description = inject_fault(&mut rng, self);
            self.trace.lock().unwrap().push(description);
            std::thread::sleep(Duration::from_millis(rng.random_range(0..300)));
        }
    }

    fn trace(&self) -> Vec<String> {
        self.trace.lock().unwrap().clone()
    }

    /// Writes a configuration whose version is greater by `more`; returns the version.
    fn configure(&self, more: u64, changes: &[(&str, &str, Value)]) -> u64 {
        let version = self.version.fetch_add(more, Ordering::Relaxed) + more;
        self.world.store.put("op/config", &config(version, changes));
        version
    }
}

/// Checks every answer against what the servers ran.
fn assert_answers_match_runs(world: &World, calls: &[CallRecord], trace: &[String]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, server) in &world.servers {
        for seen in server.executed_requests() {
            *runs.entry(seen.id).or_default() += 1;
        }
    }
    for CallRecord { id, is_non_idempotent, answer } in calls {
        let ran = runs.get(id).copied().unwrap_or(0);
        assert!(!is_non_idempotent || ran <= 1, "{id} ran {ran} times: {trace:?}");
        let says_not_run = [408, 421, 429, 503].contains(&answer.status);
        assert!(
            !(says_not_run && *is_non_idempotent && ran > 0),
            "{id} ran but was reported as not run: {trace:?}"
        );
        if answer.status == 200 {
            assert!(answer.is_whole, "{id} has an incomplete answer: {trace:?}");
            assert_eq!(answer.header("x-attempt-id"), Some(id.as_str()), "{trace:?}");
            assert!(answer.header("x-response-signature").is_some(), "{id}: {trace:?}");
            assert_eq!(answer.body, "x".repeat(20).as_bytes(), "{id}: {trace:?}");
        }
        assert!(![400, 404].contains(&answer.status), "{id} was rejected as invalid: {trace:?}");
    }
}

fn run_seed(seed: u64, seconds: u64, instances: usize) {
    let deployment = Deployment::start(instances);
    let addresses: Vec<SocketAddr> =
        (0..instances).map(|n| deployment.gateway(n).callers()).collect();
    let callers = Callers::start(seed, &addresses);
    let end = Instant::now() + Duration::from_secs(seconds);
    std::thread::scope(|scope| {
        for n in 0..FAULT_THREADS {
            let (deployment, rng) =
                (&deployment, SmallRng::seed_from_u64(seed * FAULT_THREADS + n));
            scope.spawn(move || deployment.inject_faults(rng, end));
        }
    });
    let trace = deployment.trace();
    let version = deployment.configure(1, &[]);
    let metric_line = format!("galenapath_config_version {version}");
    for n in 0..deployment.gateways.len() {
        let gateway = deployment.gateway(n);
        wait_until(&format!("version {version} after {trace:?}"), || {
            gateway.metrics().contains(&metric_line)
        });
        wait_until(&format!("a request to be answered after {trace:?}"), || {
            call(gateway.callers(), &format!("{seed}-end"), false).answer.status == 200
        });
    }
    assert_crashing_request_ends(&deployment, &trace);
    assert_evacuation_holds(&deployment, &trace);
    assert_limit_and_leaving_hold(&deployment, &trace);
    let calls = callers.end();
    let served = calls.iter().filter(|call| call.answer.status == 200).count();
    println!("seed {seed}: {} requests, {served} served, faults {trace:?}", calls.len());
    assert_answers_match_runs(&deployment.world, &calls, &trace);
    assert!(served * 4 > calls.len(), "seed {seed}: {served} of {} served", calls.len());
}

/// Checks that, whatever faults preceded it, a request that crashes servers is no longer sent once
/// all instances have had time to learn of it, also by one that has restarted.
fn assert_crashing_request_ends(deployment: &Deployment, trace: &[String]) {
    /// Time after the crashes from which requests count.
    const SETTLE: Duration = Duration::from_secs(3);
    /// Sends allowed after that time.
    const MAX_SENDS: usize = 3;
    let servers = deployment.world.servers_of("look");
    let runs = || {
        let ran = servers.iter().flat_map(|server| server.executed_requests());
        ran.filter(|ran| ran.line.contains("poison")).count()
    };
    let send_everywhere = || {
        for n in 0..deployment.gateways.len() {
            let address = deployment.gateway(n).callers();
            let head = "GET /look/poison HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: poison\r\n\
                        X-Request-Deadline-Ms: 500\r\n";
            send_request(address, head, b"");
        }
    };
    // A relay takes connections while its server is down, unlike the address of a crashed server.
    for at in 0..deployment.world.servers.len() {
        deployment.list_without_link(at);
    }
    let position = format!("galenapath_list_position {}\n", deployment.world.store.revision());
    for n in 0..deployment.gateways.len() {
        wait_until(&format!("the servers' own addresses after {trace:?}"), || {
            deployment.gateway(n).metrics().contains(&position)
        });
    }
    servers.iter().for_each(|server| server.set_fault(ServerFault::CrashesOnPoison));
    wait_until(&format!("two crashes after {trace:?}"), || {
        send_everywhere();
        std::thread::sleep(Duration::from_millis(300));
        runs() >= 2
    });
    deployment.gateway(0).kill_and_start();
    let end = Instant::now() + SETTLE;
    while Instant::now() < end {
        send_everywhere();
        std::thread::sleep(Duration::from_millis(300));
    }
    let before = runs();
    send_everywhere();
    std::thread::sleep(DOWNTIME);
    send_everywhere();
    let sends = runs() - before;
    assert!(sends <= MAX_SENDS, "{sends} sends of a crashing request, {before} before: {trace:?}");
    servers.iter().for_each(|server| server.set_fault(ServerFault::None));
    for n in 0..deployment.gateways.len() {
        wait_until(&format!("an answer after crashes and {trace:?}"), || {
            call(deployment.gateway(n).callers(), "after-crashes", false).answer.status == 200
        });
    }
}

/// Checks that, whatever faults preceded it, an evacuation that all instances know of keeps
/// requests from the servers of its failure domain.
fn assert_evacuation_holds(deployment: &Deployment, trace: &[String]) {
    /// Longest time that a request in flight takes, and the time to watch for new ones after it.
    const SETTLE: Duration = Duration::from_millis(300);
    deployment.world.evacuate("d2");
    for n in 0..deployment.gateways.len() {
        deployment.gateway(n).wait_for_evacuated(1);
    }
    std::thread::sleep(SETTLE);
    let withdrawn = || deployment.world.servers.iter().skip(1).step_by(2);
    let ran = || withdrawn().map(|(_, server)| server.executed_requests().len()).sum::<usize>();
    let before = ran();
    std::thread::sleep(SETTLE);
    assert_eq!(ran(), before, "requests in an evacuated domain after {trace:?}");
    for (_, server) in &deployment.world.servers {
        let peak = server.peak_rate_while_cold();
        assert_eq!(server.crashes(), 0, "{peak} requests a second while cold: {trace:?}");
    }
}

/// Checks that, whatever faults preceded it, a server gets no more requests than its rate limit
/// from all instances together, and none once it is leaving. Only one server of each service is
/// left while `d2` is evacuated, and callers send much more than its limit.
fn assert_limit_and_leaving_hold(deployment: &Deployment, trace: &[String]) {
    /// Longer than the four-second window over which the server counts requests.
    const LIMIT_DURATION: Duration = Duration::from_millis(4_700);
    const SETTLE: Duration = Duration::from_millis(300);
    let server = deployment.world.servers_of("look")[0];
    let before = server.overruns();
    server.set_limit(Some(2.0));
    std::thread::sleep(LIMIT_DURATION);
    let peak = server.peak_requests_while_limited();
    assert_eq!(server.overruns(), before, "{peak} requests within four seconds: {trace:?}");
    server.set_limit(None);
    server.set_leaving(true);
    for n in 0..deployment.gateways.len() {
        let gateway = deployment.gateway(n);
        wait_until(&format!("the instance to learn that a server leaves after {trace:?}"), || {
            !gateway.metrics().contains("galenapath_leaving_servers 0\n")
        });
    }
    std::thread::sleep(SETTLE);
    let ran = server.executed_requests().len();
    std::thread::sleep(SETTLE);
    assert_eq!(
        server.executed_requests().len(),
        ran,
        "requests at a server that is leaving after {trace:?}"
    );
}

fn env_setting(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn env_number(name: &str, default: usize) -> usize {
    env_setting(name).map_or(default, |text| text.parse().unwrap())
}

#[test]
fn soak_promises_held() {
    let seeds: Vec<u64> = match env_setting("SOAK_SEEDS") {
        Some(text) => text.split(',').map(|seed| seed.trim().parse().unwrap()).collect(),
        None => SEEDS.to_vec(),
    };
    let seconds = env_number("SOAK_SECONDS", DEFAULT_SECONDS) as u64;
    let instances = env_number("SOAK_INSTANCES", DEFAULT_INSTANCES);
    let runs = if instances > DEFAULT_INSTANCES { 1 } else { CONCURRENT_RUNS };
    let queue = Mutex::new(seeds);
    std::thread::scope(|scope| {
        for _ in 0..runs {
            scope.spawn(|| {
                while let Some(seed) = { queue.lock().unwrap().pop() } {
                    run_seed(seed, seconds, instances);
                }
            });
        }
    });
}

#[test]
fn soak_of_many_instances_promises_held() {
    for seed in LARGE_RUN_SEEDS {
        run_seed(*seed, LARGE_RUN_SECONDS, LARGE_RUN_INSTANCES);
    }
}
