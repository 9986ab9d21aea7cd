//! Plays patterns of load in virtual time through the code that ships, beside baselines and the
//! limit, and prints the tables of `docs/MEASUREMENTS.md`.
//!
//! `cargo bench --bench decisions [-- WORD]` plays the rows whose name contains `WORD`.

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
use sim::Player;
use stats::{Figures, Stats};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

const THREADS: usize = 4;
/// Each run is played with these; their requests count together.
const SEEDS: [u64; 2] = [20, 21];
const FEW: usize = 3;

const PLAYERS: [Player; 7] = [
    admitting("galenapath", FEW),
    player("galenapath, no admission", ChoicePolicy::Galenapath, FEW),
    player("random", ChoicePolicy::Random, INSTANCES),
    player("round robin", ChoicePolicy::RoundRobin, INSTANCES),
    player("least in flight", ChoicePolicy::LeastInFlight, INSTANCES),
    player("power of two", ChoicePolicy::PowerOfTwo, INSTANCES),
    player("power of two, 3 disp.", ChoicePolicy::PowerOfTwo, FEW),
];

/// Played besides where the number of dispatchers matters.
const MORE_DISPATCHERS: [Player; 2] =
    [admitting("galenapath, 6 disp.", 2 * FEW), admitting("galenapath, 16 disp.", INSTANCES)];

const fn player(name: &'static str, policy: ChoicePolicy, dispatchers: usize) -> Player {
    Player { name, policy, dispatchers, admission: false }
}

/// The whole path of an entry instance: admission, then the balancer.
const fn admitting(name: &'static str, dispatchers: usize) -> Player {
    Player { name, policy: ChoicePolicy::Galenapath, dispatchers, admission: true }
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

/// Patterns that are played with more dispatchers too.
const COUNTED: [Pattern; 6] = [
    Pattern::Steady,
    Pattern::HeavyCallers,
    Pattern::HeavyOverload,
    Pattern::Straggler,
    Pattern::Saturation,
    Pattern::BadReports,
];

/// One run: a scenario and a player, or the limit.
#[derive(Clone, Copy)]
struct Job {
    scenario: Scenario,
    player: Option<Player>,
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
        jobs.extend(PLAYERS.iter().map(|p| Job { scenario, player: Some(*p) }));
        if work == Work::Exponential && COUNTED.contains(&pattern) {
            jobs.extend(MORE_DISPATCHERS.iter().map(|p| Job { scenario, player: Some(*p) }));
        }
        jobs.push(Job { scenario, player: None });
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

    fn play(&self) -> Figures {
        let mut stats = Stats::new();
        for seed in SEEDS {
            let scenario = Scenario { seed, ..self.scenario };
            stats.add(match &self.player {
                Some(player) => sim::play(&scenario, player),
                None => limit::play(&scenario, DOMAINS),
            });
        }
        stats.figures()
    }
}

/// Plays all jobs, a few at a time; the order of the results is that of the jobs.
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
                    if tx.send((i, job.play())).is_err() {
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
    let name = job.player.map_or("limit", |p| p.name);
    let [early, middle, late] = f.first_share;
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
        f.measuring * 100.0,
        f.to_leaving
    );
}
