//! Random faults on running programs, and what callers and servers see meanwhile.
//!
//! `SOAK_SEEDS=1,2,3 SOAK_SECONDS=20 cargo test --test gateway_soak` plays other seeds for longer.
//! Each seed draws instances that are killed, paused, stopped and started, a store that is away for
//! one or for all, servers that fail in every way the stand-in knows, and configurations.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[path = "gateway/support.rs"]
mod support;

use galenapath_dev::users_platform::{KvTrouble, ServerTrouble};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{Answer, Gateway, World, ask, config, wait_until};

/// Seeds that are played every time; each that ever failed stays here with the cause.
const SEEDS: &[u64] = &[1, 2];

/// Length of a run whose length is not set.
const SECONDS: u64 = 6;

const INSTANCES: usize = 3;
const CALLERS: usize = 4;

/// What a caller was told.
#[derive(Clone, Debug)]
struct Told {
    id: String,
    is_once_only: bool,
    answer: Answer,
}

fn call(address: SocketAddr, id: &str, is_once_only: bool) -> Told {
    let line = if is_once_only { "POST /file/1" } else { "GET /look/1" };
    let body: &[u8] = if is_once_only { b"a filing" } else { b"" };
    let head = format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: 1500\r\n"
    );
    Told { id: id.to_owned(), is_once_only, answer: ask(address, &head, body) }
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
                let mut told = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("{seed}-{}", next.fetch_add(1, Ordering::Relaxed));
                    let address = addresses[rng.random_range(0..addresses.len())];
                    told.push(call(address, &id, rng.random_bool(0.5)));
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

/// Draws one fault and carries it out; some take a while.
fn fault(rng: &mut SmallRng, world: &World, gateways: &mut [Gateway], version: &mut u64) -> String {
    let n = rng.random_range(0..gateways.len());
    let server = &world.servers[rng.random_range(0..world.servers.len())].1;
    let span = Duration::from_millis(rng.random_range(100..1_500));
    let kinds = [KvTrouble::Silent, KvTrouble::Busy, KvTrouble::Limited, KvTrouble::Reset];
    let store_trouble = kinds[rng.random_range(0..kinds.len())];
    match rng.random_range(0..9) {
        0 => {
            gateways[n].kill_and_start();
            format!("kill {n}")
        }
        1 => {
            gateways[n].signal("-STOP");
            std::thread::sleep(span);
            gateways[n].signal("-CONT");
            format!("pause {n} for {span:?}")
        }
        2 => {
            gateways[n].signal("-TERM");
            gateways[n].wait_and_start();
            format!("stop and start {n}")
        }
        3 => {
            world.store.trouble(gateways[n].store, store_trouble);
            std::thread::sleep(span);
            world.store.trouble(gateways[n].store, KvTrouble::None);
            format!("store {store_trouble:?} at {n} for {span:?}")
        }
        4 => {
            gateways.iter().for_each(|g| world.store.trouble(g.store, store_trouble));
            std::thread::sleep(span);
            gateways.iter().for_each(|g| world.store.trouble(g.store, KvTrouble::None));
            format!("store {store_trouble:?} for all for {span:?}")
        }
        5 => {
            let troubles = [
                ServerTrouble::Shed,
                ServerTrouble::Mute,
                ServerTrouble::Hang,
                ServerTrouble::Errors,
                ServerTrouble::Unsigned,
                ServerTrouble::BreaksOff,
                ServerTrouble::Extra,
                ServerTrouble::Foreign,
                ServerTrouble::Busy,
                ServerTrouble::ForgetsIdle,
            ];
            let trouble = troubles[rng.random_range(0..troubles.len())];
            server.set_trouble(trouble);
            std::thread::sleep(span);
            server.set_trouble(ServerTrouble::None);
            format!("server {trouble:?} for {span:?}")
        }
        6 => {
            server.set_pace(rng.random_range(100..800));
            std::thread::sleep(span);
            server.set_pace(100);
            format!("server slow for {span:?}")
        }
        7 => {
            *version += rng.random_range(1..4);
            let timeout = json!(rng.random_range(1_000..2_000));
            world.store.put("op/config", &config(*version, &[("look", "timeout_ms", timeout)]));
            format!("configuration {version}")
        }
        _ => {
            world.store.forget_history();
            gateways[n].signal("-HUP");
            format!("history dropped, signal to {n}")
        }
    }
}

/// Checks every answer against what the servers ran.
fn check(world: &World, told: &[Told], trace: &[String]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, server) in &world.servers {
        for seen in server.seen() {
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

fn play(seed: u64, seconds: u64) {
    let world = World::start();
    let mut gateways = vec![Gateway::ready(&world, &[])];
    for _ in 1..INSTANCES {
        let more = Gateway::ready(&world, &[&gateways[0]]);
        gateways.push(more);
    }
    let addresses: Vec<SocketAddr> = gateways.iter().map(Gateway::callers).collect();
    let callers = Callers::start(seed, &addresses);
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut version, mut trace) = (1, Vec::new());
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        trace.push(fault(&mut rng, &world, &mut gateways, &mut version));
        std::thread::sleep(Duration::from_millis(rng.random_range(0..300)));
    }
    version += 1;
    world.store.put("op/config", &config(version, &[]));
    let wanted = format!("galenapath_config_version {version}");
    for gateway in &gateways {
        wait_until(&format!("version {version} after {trace:?}"), || {
            gateway.metrics().contains(&wanted)
        });
        wait_until(&format!("service after {trace:?}"), || {
            call(gateway.callers(), &format!("{seed}-end"), false).answer.status == 200
        });
    }
    let told = callers.end();
    let served = told.iter().filter(|told| told.answer.status == 200).count();
    println!("seed {seed}: {} requests, {served} served, faults {trace:?}", told.len());
    check(&world, &told, &trace);
    assert!(served * 4 > told.len(), "seed {seed}: {served} of {} served", told.len());
}

fn setting(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

#[test]
fn soak_promises_held() {
    let seeds: Vec<u64> = match setting("SOAK_SEEDS") {
        Some(text) => text.split(',').map(|seed| seed.trim().parse().unwrap()).collect(),
        None => SEEDS.to_vec(),
    };
    let seconds = setting("SOAK_SECONDS").map_or(SECONDS, |text| text.parse().unwrap());
    // A few at a time: each seed is a dozen processes and threads.
    let queue = Mutex::new(seeds);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while let Some(seed) = { queue.lock().unwrap().pop() } {
                    play(seed, seconds);
                }
            });
        }
    });
}
