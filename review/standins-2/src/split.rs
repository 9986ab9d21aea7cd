//! The split of a route changes while consumers send requests whose bodies take a moment to arrive.

use crate::client;
use crate::world::{CONFIG_APPLY, HOST, STABLE_WINDOW, World, ZONES, split_route};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const SERVICES: [&str; 3] = ["certs-one", "certs-two", "certs-three"];

/// The split before the change, and after it.
const BEFORE: [(&str, u32); 2] = [("certs-one", 50), ("certs-two", 50)];
const AFTER: [(&str, u32); 3] = [("certs-one", 10), ("certs-two", 10), ("certs-three", 80)];

const PATH: &str = "/file/1";

/// Time limit of the consumers.
const LIMIT_MS: u64 = 1_500;

/// Length of a body; the shortest and the longest time from its first half to its second one.
const BODY: usize = 7_200;
const MIN_PAUSE_MS: u64 = 50;
const MAX_PAUSE_MS: u64 = 150;

/// Longest time from an answer to the consumer's next request.
const MAX_IDLE_MS: u64 = 100;

/// Consumers in each zone, each of which sends one request after the other.
const CONSUMERS: usize = 5;

/// Traffic before the change, and after the time within which it has to be in force.
const TRAFFIC_BEFORE: Duration = Duration::from_millis(5_000);
const TRAFFIC_AFTER: Duration = Duration::from_millis(15_000);

/// Least number of requests for the rule to apply.
const MIN_REQUESTS: usize = 300;

/// How far a part's share may lie off its weight's (rule CONFIG).
const MOST_OFF: f64 = 0.2;

/// Pseudo-random numbers of one consumer.
struct Random(u64);

impl Random {
    fn between(&mut self, min: u64, max: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        min + (self.0 >> 33) % (max - min + 1)
    }
}

/// A request that was served.
struct Served {
    sent: Instant,
    service: String,
}

/// Returns whether the rule was broken.
pub fn run(out: &Path, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(&SERVICES, 2, Duration::from_millis(100), out)?;
    let put = |world: &World, version: u64, split: &[(&str, u32)]| {
        let route = split_route("r-file", "/file/", "non_idempotent", split);
        world.put_config(version, &[route], &SERVICES);
    };
    put(&world, 5, &BEFORE);
    world.start_gateways(1)?;
    sleep(STABLE_WINDOW);
    if !has_trouble {
        put(&world, 9, &AFTER);
        sleep(CONFIG_APPLY);
    }
    let end = Instant::now() + TRAFFIC_BEFORE + CONFIG_APPLY + TRAFFIC_AFTER;
    let (served, acked_at) = scope(|threads| {
        let world = &world;
        let consumers = ZONES.iter().flat_map(|zone| (0..CONSUMERS).map(move |_| *zone));
        let consumers: Vec<_> = (1..)
            .zip(consumers)
            .map(|(seed, zone)| threads.spawn(move || consume(world, zone, Random(seed), end)))
            .collect();
        sleep(TRAFFIC_BEFORE);
        if has_trouble {
            put(world, 9, &AFTER);
        }
        let acked_at = Instant::now();
        let served: Vec<Served> = consumers
            .into_iter()
            .flat_map(|consumer| consumer.join().unwrap_or_default())
            .collect();
        (served, acked_at)
    });
    judge(&world, served.iter().filter(|served| served.sent >= acked_at + CONFIG_APPLY))
}

fn judge<'a>(world: &World, served: impl Iterator<Item = &'a Served>) -> io::Result<bool> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    served.for_each(|served| *counts.entry(&served.service).or_default() += 1);
    let all: usize = counts.values().sum();
    if all < MIN_REQUESTS {
        return Err(io::Error::other(format!("only {all} requests were served")));
    }
    let total: u32 = AFTER.iter().map(|(_, weight)| weight).sum();
    let mut is_broken = false;
    for (service, weight) in AFTER {
        let count = counts.get(service).copied().unwrap_or(0);
        let (share, wanted) = (count as f64 / all as f64, f64::from(weight) / f64::from(total));
        let is_off = (share - wanted).abs() > MOST_OFF;
        is_broken |= is_off;
        let verdict = if is_off { "broken" } else { "kept" };
        world.record.line(&format!(
            "{service}: {count} of {all}, share {share:.2}, weight {wanted:.2}: {verdict}"
        ));
    }
    Ok(is_broken)
}

/// Sends requests of a consumer in `zone` until `end`; returns those that were served.
fn consume(world: &World, zone: &str, mut random: Random, end: Instant) -> Vec<Served> {
    let mut served = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(random.between(0, MAX_IDLE_MS)));
        let pause = Duration::from_millis(random.between(MIN_PAUSE_MS, MAX_PAUSE_MS));
        let sent = Instant::now();
        match send(world, zone, pause) {
            Ok(service) => served.extend(service.map(|service| Served { sent, service })),
            Err(e) => world.record.line(&format!("a consumer in {zone} got no answer: {e}")),
        }
    }
    served
}

/// Sends a request whose body arrives in two parts; returns the service that ran it.
fn send(world: &World, zone: &str, pause: Duration) -> io::Result<Option<String>> {
    let (address, id) = (world.resolve(zone)?, client::new_id());
    let mut conn = client::open(address, Duration::from_millis(LIMIT_MS))?;
    let head = client::head("POST", HOST, PATH, &id, LIMIT_MS, BODY);
    conn.write(&[head.as_bytes(), &vec![b'x'; BODY / 2]].concat())?;
    sleep(pause);
    conn.write(&vec![b'x'; BODY / 2])?;
    let status = conn.read(true)?.status();
    let service = world.runs_of(&id).first().map(|run| run.service.clone());
    world.record.line(&format!(
        "{id} to {}, answered {status}, run by {}",
        world.name_of(address),
        service.as_deref().unwrap_or("-")
    ));
    Ok(service.filter(|_| status == 200))
}
