//! Random faults on running programs, and what callers and servers see meanwhile.
//!
//! `SOAK_SEEDS=1,2,3 SOAK_SECONDS=20 cargo test --test gateway_soak` plays other seeds for longer;
//! `SOAK_INSTANCES=100` starts more instances, and then one seed goes on at a time.
//! Each seed draws instances that are killed, paused, stopped and started, a store that is away for
//! one or for all, links to the store and to servers that are cut, delayed or silenced one way or both,
//! servers that fail in every way the stand-in knows, turn cold, name a rate limit, leave, want nothing for a
//! while or start again under their identity, entries of other writers, a failure domain that is evacuated, and configurations. Two faults go on at a time.
//! Some callers keep their connection for as long as it lasts.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[path = "gateway_soak/faults.rs"]
mod faults;
#[path = "gateway/support.rs"]
mod support;

use faults::fault;
use galenapath_dev::link::Relay;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use support::callers::Kept;
use support::{Answer, Gateway, World, ask, config, wait_until};

/// Seeds that are played every time; each that ever failed stays here with the cause.
const SEEDS: &[u64] = &[1, 2];

/// Seeds that are played with many instances, and few callers for each. Nobody counted as one that serves callers, so
/// that nobody was told of a rate limit (601); nobody asked the servers of a domain without instances, so that
/// nobody heard that one had turned cold (602).
const SEEDS_OF_MANY: &[u64] = &[601, 602];

/// Instances of these runs, and their length in seconds.
const MANY: usize = 60;
const SECONDS_OF_MANY: u64 = 10;

/// Length of a run whose length is not set.
const SECONDS: usize = 6;

/// Instances of a run whose number is not set.
const INSTANCES: usize = 3;
/// Runs that go on at a time, of few instances: each is a dozen processes and threads.
const RUNS: usize = 3;
/// Faults that go on at a time.
const TROUBLES: u64 = 2;
const CALLERS: usize = 4;
/// Unix millisecond of the first start of a server that starts again.
const FIRST_START: u64 = 1_764_720_000_000;

/// What a caller was told.
#[derive(Clone, Debug)]
struct Told {
    id: String,
    is_once_only: bool,
    answer: Answer,
}

const FILING: &[u8] = b"a filing";

fn head(id: &str, is_once_only: bool) -> String {
    let line = if is_once_only { "POST /file/1" } else { "GET /look/1" };
    format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: 1500\r\n"
    )
}

fn call(address: SocketAddr, id: &str, is_once_only: bool) -> Told {
    let body = if is_once_only { FILING } else { b"" };
    let answer = ask(address, &head(id, is_once_only), body);
    Told { id: id.to_owned(), is_once_only, answer }
}

/// The same on the connection of an earlier call, while the instance keeps it open.
fn call_kept(kept: &mut Option<Kept>, address: SocketAddr, id: &str, is_once_only: bool) -> Told {
    let body = if is_once_only { FILING } else { b"" };
    let mut connection = kept.take().or_else(|| Kept::open(address));
    let answer = connection.as_mut().and_then(|kept| kept.ask(&head(id, is_once_only), body));
    if answer.as_ref().is_some_and(|answer| answer.header("connection") != Some("close")) {
        *kept = connection;
    }
    Told { id: id.to_owned(), is_once_only, answer: answer.unwrap_or_default() }
}

/// Callers that go on until they are told to end.
struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Told>>>,
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
                let (mut told, mut kept) = (Vec::new(), None);
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("{seed}-{}", next.fetch_add(1, Ordering::Relaxed));
                    let address = addresses[rng.random_range(0..addresses.len())];
                    let is_once_only = rng.random_bool(0.5);
                    told.push(match n % 2 {
                        0 => call(address, &id, is_once_only),
                        _ => call_kept(&mut kept, address, &id, is_once_only),
                    });
                    std::thread::sleep(Duration::from_millis(5));
                }
                told
            })
        };
        let threads = (0..CALLERS).map(spawn).collect();
        Self { is_over, threads }
    }

    fn end(self) -> Vec<Told> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    }
}

/// What a run consists of, as far as faults touch it.
struct Stage {
    world: World,
    gateways: Vec<Mutex<Gateway>>,
    /// Relays between the instances and the store.
    store_links: Vec<Relay>,
    version: AtomicU64,
    /// Unix millisecond of the next start of a server.
    starts: AtomicU64,
    trace: Mutex<Vec<String>>,
}

impl Stage {
    fn start(instances: usize) -> Self {
        let world = World::start_linked();
        world.spread();
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
        let starts = AtomicU64::new(FIRST_START);
        Self { world, gateways, store_links, version, starts, trace }
    }

    /// Lists a server as one that has started again under its identity.
    fn list_again(&self, at: usize, started: u64) {
        let (service, server) = &self.world.servers[at];
        let (key, mut entry) = server.entry_of_run(service, "ready", started);
        entry["address"] = json!(self.world.links[at].addr.to_string());
        entry["zone"] = json!(World::domain_of(at));
        self.world.store.put(&key, &entry);
    }

    fn gateway(&self, n: usize) -> MutexGuard<'_, Gateway> {
        self.gateways[n].lock().unwrap()
    }

    /// Draws faults and carries them out until `end`.
    fn trouble(&self, mut rng: SmallRng, end: Instant) {
        while Instant::now() < end {
            let what = fault(&mut rng, self);
            self.trace.lock().unwrap().push(what);
            std::thread::sleep(Duration::from_millis(rng.random_range(0..300)));
        }
    }

    fn trace(&self) -> Vec<String> {
        self.trace.lock().unwrap().clone()
    }

    fn configure(&self, more: u64, changes: &[(&str, &str, Value)]) -> u64 {
        let version = self.version.fetch_add(more, Ordering::Relaxed) + more;
        self.world.store.put("op/config", &config(version, changes));
        version
    }
}

/// Checks every answer against what the servers ran.
fn check(world: &World, told: &[Told], trace: &[String]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, server) in &world.servers {
        for seen in server.executed_requests() {
            *runs.entry(seen.id).or_default() += 1;
        }
    }
    for Told { id, is_once_only, answer } in told {
        let ran = runs.get(id).copied().unwrap_or(0);
        assert!(!is_once_only || ran <= 1, "{id} ran {ran} times: {trace:?}");
        let says_not_run = [408, 421, 429, 503].contains(&answer.status);
        assert!(!(says_not_run && *is_once_only && ran > 0), "{id} told not run: {trace:?}");
        if answer.status == 200 {
            assert!(answer.is_whole, "{id} in part: {trace:?}");
            assert_eq!(answer.header("x-attempt-id"), Some(id.as_str()), "{trace:?}");
            assert!(answer.header("x-response-signature").is_some(), "{id}: {trace:?}");
            assert_eq!(answer.body, "x".repeat(20).as_bytes(), "{id}: {trace:?}");
        }
        assert!(![400, 404].contains(&answer.status), "{id} denied: {trace:?}");
    }
}

fn play(seed: u64, seconds: u64, instances: usize) {
    let stage = Stage::start(instances);
    let addresses: Vec<SocketAddr> = (0..instances).map(|n| stage.gateway(n).callers()).collect();
    let callers = Callers::start(seed, &addresses);
    let end = Instant::now() + Duration::from_secs(seconds);
    std::thread::scope(|scope| {
        for n in 0..TROUBLES {
            let (stage, rng) = (&stage, SmallRng::seed_from_u64(seed * TROUBLES + n));
            scope.spawn(move || stage.trouble(rng, end));
        }
    });
    let trace = stage.trace();
    let version = stage.configure(1, &[]);
    let wanted = format!("galenapath_config_version {version}");
    for n in 0..stage.gateways.len() {
        let gateway = stage.gateway(n);
        wait_until(&format!("version {version} after {trace:?}"), || {
            gateway.metrics().contains(&wanted)
        });
        wait_until(&format!("service after {trace:?}"), || {
            call(gateway.callers(), &format!("{seed}-end"), false).answer.status == 200
        });
    }
    evacuate_at_the_end(&stage, &trace);
    ask_for_less_at_the_end(&stage, &trace);
    let told = callers.end();
    let served = told.iter().filter(|told| told.answer.status == 200).count();
    println!("seed {seed}: {} requests, {served} served, faults {trace:?}", told.len());
    check(&stage.world, &told, &trace);
    assert!(served * 4 > told.len(), "seed {seed}: {served} of {} served", told.len());
}

/// Whatever went before, an evacuation that all know of leaves the servers of its domain alone.
fn evacuate_at_the_end(stage: &Stage, trace: &[String]) {
    /// Time that a request that was sent before may take, and that one after it is waited for.
    const SETTLE: Duration = Duration::from_millis(300);
    stage.world.evacuate("d2");
    for n in 0..stage.gateways.len() {
        stage.gateway(n).wait_for_evacuated(1);
    }
    std::thread::sleep(SETTLE);
    let withdrawn = || stage.world.servers.iter().skip(1).step_by(2);
    let ran = || withdrawn().map(|(_, server)| server.executed_requests().len()).sum::<usize>();
    let before = ran();
    std::thread::sleep(SETTLE);
    assert_eq!(ran(), before, "requests in an evacuated domain: {trace:?}");
    for (_, server) in &stage.world.servers {
        let most = server.peak_rate_while_cold();
        assert_eq!(server.crashes(), 0, "{most} requests a second while cold: {trace:?}");
    }
}

/// Whatever went before, a server gets no more than it takes from all instances together, and nothing new once it
/// leaves. Of each service one server is left, whose callers send much more than that.
fn ask_for_less_at_the_end(stage: &Stage, trace: &[String]) {
    /// Longer than the span over which the server counts.
    const LONG: Duration = Duration::from_millis(4_700);
    const SETTLE: Duration = Duration::from_millis(300);
    let server = stage.world.of("look")[0];
    let before = server.overruns();
    server.set_limit(Some(2.0));
    std::thread::sleep(LONG);
    let most = server.peak_requests_while_limited();
    assert_eq!(server.overruns(), before, "{most} requests within four seconds: {trace:?}");
    server.set_limit(None);
    server.set_leaving(true);
    for n in 0..stage.gateways.len() {
        let gateway = stage.gateway(n);
        wait_until(&format!("word that a server leaves after {trace:?}"), || {
            !gateway.metrics().contains("galenapath_leaving_servers 0\n")
        });
    }
    std::thread::sleep(SETTLE);
    let ran = server.executed_requests().len();
    std::thread::sleep(SETTLE);
    assert_eq!(
        server.executed_requests().len(),
        ran,
        "requests at a server that leaves: {trace:?}"
    );
}

fn setting(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn number(name: &str, usual: usize) -> usize {
    setting(name).map_or(usual, |text| text.parse().unwrap())
}

#[test]
fn soak_promises_held() {
    let seeds: Vec<u64> = match setting("SOAK_SEEDS") {
        Some(text) => text.split(',').map(|seed| seed.trim().parse().unwrap()).collect(),
        None => SEEDS.to_vec(),
    };
    let seconds = number("SOAK_SECONDS", SECONDS) as u64;
    let instances = number("SOAK_INSTANCES", INSTANCES);
    let runs = if instances > INSTANCES { 1 } else { RUNS };
    let queue = Mutex::new(seeds);
    std::thread::scope(|scope| {
        for _ in 0..runs {
            scope.spawn(|| {
                while let Some(seed) = { queue.lock().unwrap().pop() } {
                    play(seed, seconds, instances);
                }
            });
        }
    });
}

#[test]
fn soak_of_many_instances_promises_held() {
    for seed in SEEDS_OF_MANY {
        play(*seed, SECONDS_OF_MANY, MANY);
    }
}
