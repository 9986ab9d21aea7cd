//! Simulates load patterns in virtual time with the production code, with baselines and with the
//! theoretical limit, and prints the tables of `docs/MEASUREMENTS.md`.
//!
//! `cargo bench --bench decisions [-- WORD]` runs the scenarios whose title contains `WORD`.

mod admission;
mod aims;
mod cost;
mod event;
mod fleet;
mod limit;
mod scenario;
mod sim;
mod stats;

use galenapath_policy::ChoicePolicy;
use scenario::{DOMAINS, Deployment, HSINCHU, INSTANCES, LAGOS, Pattern, Scenario, Work};
use sim::Variant;
use stats::{Figures, Stats};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

const THREADS: usize = 4;
/// Seeds of the runs of each job, whose results are combined.
const SEEDS: [u64; 2] = [20, 21];
const FEW_DISPATCHERS: usize = 3;

const VARIANTS: [Variant; 7] = [
    with_admission("galenapath", FEW_DISPATCHERS),
    variant("galenapath, no admission", ChoicePolicy::Galenapath, FEW_DISPATCHERS),
    variant("random", ChoicePolicy::Random, INSTANCES),
    variant("round robin", ChoicePolicy::RoundRobin, INSTANCES),
    variant("least in flight", ChoicePolicy::LeastInFlight, INSTANCES),
    variant("power of two", ChoicePolicy::PowerOfTwo, INSTANCES),
    variant("power of two, 3 disp.", ChoicePolicy::PowerOfTwo, FEW_DISPATCHERS),
];

/// Additional variants for the patterns in `DISPATCHER_COUNT_PATTERNS`.
const MORE_DISPATCHERS: [Variant; 2] = [
    with_admission("galenapath, 6 disp.", 2 * FEW_DISPATCHERS),
    with_admission("galenapath, 16 disp.", INSTANCES),
];

const fn variant(name: &'static str, policy: ChoicePolicy, dispatchers: usize) -> Variant {
    Variant { name, policy, dispatchers, admission: false }
}

/// The whole path of an instance: admission, then the balancer.
const fn with_admission(name: &'static str, dispatchers: usize) -> Variant {
    Variant { name, policy: ChoicePolicy::Galenapath, dispatchers, admission: true }
}

const PATTERNS: [Pattern; 11] = [
    Pattern::Steady,
    Pattern::Burst,
    Pattern::HeavyCallers,
    Pattern::HeavyOverload,
    Pattern::Straggler,
    Pattern::FastFailure,
    Pattern::LongAmongShort,
    Pattern::Saturation,
    Pattern::RollingServers,
    Pattern::HalfInstances,
    Pattern::BadReports,
];

/// Patterns that also run with more dispatchers.
const DISPATCHER_COUNT_PATTERNS: [Pattern; 6] = [
    Pattern::Steady,
    Pattern::HeavyCallers,
    Pattern::HeavyOverload,
    Pattern::Straggler,
    Pattern::Saturation,
    Pattern::BadReports,
];

/// One scenario with a variant, or with the limit if there is none.
#[derive(Clone, Copy)]
struct Job {
    scenario: Scenario,
    variant: Option<Variant>,
}

fn main() {
    let filter = std::env::args().skip(1).find(|a| !a.starts_with('-')).unwrap_or_default();
    if filter.is_empty() {
        cost::print();
    }
    let jobs: Vec<Job> = jobs().into_iter().filter(|j| j.title().contains(&filter)).collect();
    let figures = run(&jobs);
    let mut title = String::new();
    for (job, figures) in jobs.iter().zip(&figures) {
        if job.title() != title {
            title = job.title();
            print_head(&title);
        }
        print_row(job, figures);
    }
    aims::print(&jobs, &figures);
    admission::print(&jobs, &figures);
}

fn jobs() -> Vec<Job> {
    let mut jobs = Vec::new();
    let mut add = |deployment: Deployment, pattern: Pattern, work: Work| {
        let scenario = Scenario { deployment, work, pattern, seed: SEEDS[0] };
        jobs.extend(VARIANTS.iter().map(|v| Job { scenario, variant: Some(*v) }));
        if work == Work::Exponential && DISPATCHER_COUNT_PATTERNS.contains(&pattern) {
            jobs.extend(MORE_DISPATCHERS.iter().map(|v| Job { scenario, variant: Some(*v) }));
        }
        jobs.push(Job { scenario, variant: None });
    };
    for deployment in [HSINCHU, LAGOS] {
        for pattern in PATTERNS {
            add(deployment, pattern, Work::Exponential);
        }
    }
    for work in [Work::HeavyTailed, Work::Constant] {
        for pattern in [Pattern::Steady, Pattern::Burst, Pattern::Straggler, Pattern::BadReports] {
            add(HSINCHU, pattern, work);
        }
    }
    jobs
}

impl Job {
    fn title(&self) -> String {
        let Scenario { deployment, work, pattern, .. } = self.scenario;
        format!("{}, {work:?} work, {}", pattern.name(), deployment.name)
    }

    fn run(&self) -> Figures {
        let mut stats = Stats::new();
        for seed in SEEDS {
            let scenario = Scenario { seed, ..self.scenario };
            stats.add(match &self.variant {
                Some(variant) => sim::run(&scenario, variant),
                None => limit::run(&scenario, DOMAINS),
            });
        }
        stats.figures()
    }
}

/// Runs all jobs on `THREADS` threads; the results are in the order of the jobs.
fn run(jobs: &[Job]) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let (tx, rx) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            let tx = tx.clone();
            let next = &next;
            scope.spawn(move || {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(i) else { return };
                    if tx.send((i, job.run())).is_err() {
                        return;
                    }
                }
            });
        }
    });
    drop(tx);
    let mut figures = vec![Figures::default(); jobs.len()];
    for (i, f) in rx {
        figures[i] = f;
    }
    figures
}

fn print_head(title: &str) {
    println!("\n{title}\n");
    println!(
        "| policy | p50 | p99 | p99.9 | wait p99 | wait p99.9 | goodput | rejected | Jain | \
         measuring | share <50 ms | 50-250 | later | to leaving |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print_row(job: &Job, f: &Figures) {
    let name = job.variant.map_or("limit", |v| v.name);
    let [early, middle, late] = f.server0_share;
    println!(
        "| {name} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2}% | {:.2}% | {:.4} | {:.3}% | \
         {early:.2} | {middle:.3} | {late:.3} | {} |",
        f.p50,
        f.p99,
        f.p999,
        f.wait99,
        f.wait999,
        f.goodput * 100.0,
        f.rejected * 100.0,
        f.jain,
        f.probe_share * 100.0,
        f.to_leaving
    );
}
