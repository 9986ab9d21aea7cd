//! Random faults on running programs, with checks of what callers receive and servers run.
//!
//! `SOAK_SEEDS=1,2,3 SOAK_SECONDS=20 cargo test --test gateway_soak` runs other seeds for longer.
//! `SOAK_INSTANCES=100` starts more instances; seeds then run one at a time.
//!
//! Each seed draws faults of these kinds, of which two run at a time, and one more of the paths:
//!
//! - Instances are killed, paused, stopped and started again, or reload their settings.
//! - The store is unreachable for one instance or for all.
//! - Links to the store and to servers are cut, delayed or silenced, in one direction or in both.
//! - Instances lose their paths to servers: to all of them, to those of a service or of a failure
//!   domain; new connections alone; in one direction or in both.
//! - Servers fail in every way that the stand-in has, turn cold, state a rate limit, leave, are
//!   paused, or restart under the same identity.
//! - Other writers add entries to the store.
//! - The store comes back from a backup and has lost its latest changes, which are written again.
//! - A failure domain is evacuated.
//! - The configuration changes.
//!
//! After the faults, a request that crashes servers is sent to all instances, an evacuation begins,
//! a server states a rate limit and then leaves.
//!
//! Half of the callers use one connection for as long as it stays open.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[path = "gateway_soak/checks.rs"]
mod checks;
#[path = "gateway_soak/faults.rs"]
mod faults;
#[path = "gateway/support.rs"]
mod support;

use checks::{
    assert_answers_match_runs, assert_crashing_request_ends, assert_evacuation_holds,
    assert_limit_and_leaving_hold, assert_served_without_paths,
};
use faults::{inject_fault, lose_paths};
use galenapath_dev::link::Relay;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use support::callers::PersistentConnection;
use support::{Answer, Gateway, WAIT_TIMEOUT, World, config, send_request, wait_until};

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

/// Distinguishes the draws of lost paths, which have a thread of their own, from those of the other
/// faults.
const PATHS_SEED: u64 = 0x7061_7468;

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

/// Waits until a lookup at `gateway` is answered; otherwise panics with its last answer, the
/// instance's metrics and the last lines of its log.
fn wait_for_answer(gateway: &Gateway, id: &str, trace: &[String]) {
    /// Log lines to show, besides the end of the last request.
    const LINES: usize = 60;
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = call(gateway.callers(), id, false).answer;
        if answer.status == 200 {
            return;
        }
        if Instant::now() > end {
            let log = gateway.log();
            let (ends, mut events): (Vec<&Value>, Vec<&Value>) =
                log.iter().partition(|line| line["event"] == "request ended");
            events.extend(ends.last());
            let log = events[events.len().saturating_sub(LINES)..].iter();
            let log: Vec<String> = log.map(|line| line.to_string()).collect();
            let (head, body) = (&answer.head, String::from_utf8_lossy(&answer.body));
            let (metrics, log) = (gateway.metrics(), log.join("\n"));
            panic!("no answer to {id} but {head:?} {body}\n{trace:?}\n{metrics}\n{log}");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
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

    /// Draws faults with `inject` and injects them until `end`.
    fn inject_faults(
        &self,
        mut rng: SmallRng,
        end: Instant,
        inject: fn(&mut SmallRng, &Self) -> String,
    ) {
        while Instant::now() < end {
            let description = inject(&mut rng, self);
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
            scope.spawn(move || deployment.inject_faults(rng, end, inject_fault));
        }
        let (deployment, rng) = (&deployment, SmallRng::seed_from_u64(seed ^ PATHS_SEED));
        scope.spawn(move || deployment.inject_faults(rng, end, lose_paths));
    });
    let trace = deployment.trace();
    let version = deployment.configure(1, &[]);
    let metric_line = format!("galenapath_config_version {version}");
    for n in 0..deployment.gateways.len() {
        let gateway = deployment.gateway(n);
        wait_until(&format!("version {version} after {trace:?}"), || {
            gateway.metrics().contains(&metric_line)
        });
        wait_for_answer(&gateway, &format!("{seed}-end"), &trace);
    }
    assert_served_without_paths(&deployment, &trace);
    assert_crashing_request_ends(&deployment, &trace);
    assert_evacuation_holds(&deployment, &trace);
    assert_limit_and_leaving_hold(&deployment, &trace);
    let calls = callers.end();
    let served = calls.iter().filter(|call| call.answer.status == 200).count();
    println!("seed {seed}: {} requests, {served} served, faults {trace:?}", calls.len());
    assert_answers_match_runs(&deployment.world, &calls, &trace);
    assert!(served * 4 > calls.len(), "seed {seed}: {served} of {} served", calls.len());
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
