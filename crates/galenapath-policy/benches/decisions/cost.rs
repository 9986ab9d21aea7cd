//! Time and memory cost of a decision, by the size of the fleet.

use galenapath_policy::dispatch::{Instance, dispatchers};
use galenapath_policy::{BackendSpec, BackendState, Balancer, BalancerConfig, Outcome};
use galenapath_protocol::{BackendId, DomainId, InstanceId, LoadReport, Micros};
use std::hint::black_box;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 200_000;
const DOMAINS: usize = 3;
const IN_FLIGHT: usize = 60;
const CHOOSE_AIM: Duration = Duration::from_micros(2);

/// Size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    services: usize,
    backends: usize,
    instances: usize,
}

const SIZES: [Size; 5] = [
    Size { services: 3, backends: 36, instances: 16 },
    Size { services: 35, backends: 200, instances: 16 },
    Size { services: 175, backends: 1_000, instances: 50 },
    Size { services: 700, backends: 4_000, instances: 200 },
    Size { services: 1_400, backends: 8_000, instances: 400 },
];

/// Prints the cost of a decision by servers per service, then by size of the fleet.
pub fn print() {
    println!("\nDecision cost by backend servers of the service (60 requests in flight)\n");
    println!("| backend servers | choose, ns | whole request, ns | aim: choose < 2 us |");
    println!("|---|---|---|---|");
    for servers in [6, 10, 20, 40, 80] {
        let (choose, request) = time_requests(servers);
        let met = if choose < CHOOSE_AIM { "met" } else { "not met" };
        println!("| {servers} | {} | {} | {met} |", choose.as_nanos(), request.as_nanos());
    }
    println!("\nOne instance that holds every service of the fleet\n");
    println!(
        "| services | backend servers | instances | memory, KiB | whole request, ns | list taken, us \
         per service | dispatchers, us per service |"
    );
    println!("|---|---|---|---|---|---|---|");
    // Keeps each fleet, so that none reuses memory that another has freed.
    let mut kept = Vec::new();
    for size in SIZES {
        kept.push(print_fleet(size));
    }
}

/// Returns the time of `choose` alone and of all calls for one request.
fn time_requests(servers: usize) -> (Duration, Duration) {
    let mut balancer = balancer(0, servers);
    let started = Instant::now();
    let last = run(&mut balancer, ROUNDS);
    let request = started.elapsed() / ROUNDS as u32;
    let started = Instant::now();
    for i in 0..ROUNDS {
        black_box(balancer.choose(last + Micros(i / 100), &[]));
    }
    (started.elapsed() / ROUNDS as u32, request)
}

/// Starts `rounds` requests with up to `IN_FLIGHT` in flight; returns the virtual time at the end.
fn run(balancer: &mut Balancer, rounds: u64) -> Micros {
    let report = LoadReport { in_flight: 4, waiting: 0, slots: 6, leaving: false, pace: 0 };
    let mut in_flight = std::collections::VecDeque::new();
    let mut now = Micros::ZERO;
    for i in 0..rounds {
        now = now + Micros(80 + i % 7);
        black_box(balancer.free_slots(now));
        if let Some(handle) = balancer.choose(now, &[]) {
            balancer.start(now, handle);
            in_flight.push_back((handle, now));
        }
        if in_flight.len() > IN_FLIGHT
            && let Some((handle, started)) = in_flight.pop_front()
        {
            balancer.finish(now, handle, Outcome::Answered, now - started);
            balancer.report(now, handle, report);
        }
    }
    now
}

fn print_fleet(size: Size) -> Vec<Balancer> {
    let before = resident_kib();
    let per_service = size.backends / size.services;
    let mut balancers: Vec<_> = (0..size.services).map(|s| balancer(s, per_service)).collect();
    let started = Instant::now();
    for balancer in &mut balancers {
        run(balancer, 100);
    }
    let request = started.elapsed() / (size.services as u32 * 100);
    let memory = resident_kib().saturating_sub(before);
    let lists: Vec<_> = (0..size.services).map(|s| specs(s, per_service)).collect();
    let started = Instant::now();
    for (balancer, list) in balancers.iter_mut().zip(&lists) {
        balancer.set_backends(Micros::from_secs(60), list);
    }
    let list = started.elapsed() / size.services as u32;
    let instances: Vec<_> = (0..size.instances).map(instance).collect();
    let started = Instant::now();
    for service in 0..size.services {
        black_box(dispatchers(&format!("service-{service}"), &instances, DOMAINS));
    }
    let choice = started.elapsed() / size.services as u32;
    println!(
        "| {} | {} | {} | {memory} | {} | {:.2} | {:.2} |",
        size.services,
        size.backends,
        size.instances,
        request.as_nanos(),
        list.as_nanos() as f64 / 1_000.0,
        choice.as_nanos() as f64 / 1_000.0
    );
    balancers
}

fn balancer(service: usize, servers: usize) -> Balancer {
    let mut balancer = Balancer::new(
        BalancerConfig { dispatchers: 3, ..BalancerConfig::default() },
        domain(0),
        service as u64,
    );
    balancer.set_backends(Micros::ZERO, &specs(service, servers));
    balancer
}

fn specs(service: usize, servers: usize) -> Vec<BackendSpec> {
    (0..servers)
        .map(|i| BackendSpec {
            id: BackendId(format!("service-{service}-backend-{i}").into()),
            domain: domain(i),
            state: BackendState::Live,
            connection_share: 20,
        })
        .collect()
}

fn instance(i: usize) -> Instance {
    Instance { id: InstanceId(format!("entry-{i}")), domain: domain(i) }
}

fn domain(i: usize) -> DomainId {
    DomainId(format!("domain-{}", i % DOMAINS).into())
}

/// Resident memory of the process; zero if the system does not report it.
fn resident_kib() -> u64 {
    const PAGE_KIB: u64 = 4;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}
