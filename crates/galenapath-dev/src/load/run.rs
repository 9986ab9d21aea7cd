//! Sends all requests when they are due and waits for their outcomes.

use super::arrivals::Arrivals;
use super::caller::Callers;
use super::caller_result::CallerResult;
use super::entries::{Entries, wait_until_known};
use super::options::{ClassLoad, Options};
use super::pool::Pool;
use super::tally::{Outcome, Row, Tally};
use futures::future::join_all;
use galenapath_protocol::hash64;
use monoio::time::sleep;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of checks whether the last requests have ended.
const COMPLETION_POLL: Duration = Duration::from_millis(5);

/// Results of one class.
pub struct Report {
    /// Counts and latencies.
    pub row: Row,
    /// Results as received by the callers, in the order in which requests ended.
    pub results: Vec<CallerResult>,
}

/// Runs the loads of all classes concurrently and returns one report for each.
pub async fn run(opts: &Options) -> Vec<Report> {
    if !opts.warm_up.is_zero() {
        for class in &opts.classes {
            // A service that stays unknown shows in the results of its class.
            wait_until_known(&class.service, &opts.entries, opts.warm_up).await;
        }
    }
    join_all(opts.classes.iter().map(|class| run_class(opts, class))).await
}

/// Results so far and number of outstanding requests of a class.
struct Progress {
    tally: RefCell<Tally>,
    results: RefCell<Vec<CallerResult>>,
    outstanding: Cell<usize>,
}

async fn run_class(opts: &Options, class: &ClassLoad) -> Report {
    let seed = hash64(opts.seed, class.name.as_bytes());
    let callers = Rc::new(callers(opts, class));
    // A caller queries the addresses before its first request, so the query is not part of a
    // request's latency.
    join_all(callers.entries.iter().map(Entries::route)).await;
    let tally = Tally::new(Duration::from_millis(class.target_ms));
    let progress = Rc::new(Progress {
        tally: RefCell::new(tally),
        results: RefCell::default(),
        outstanding: Cell::new(0),
    });
    let began = Instant::now();
    let arrivals = Arrivals::new(seed, class.rate, opts.duration);
    for (index, at) in (0..opts.max_requests).zip(arrivals) {
        let due = began + at;
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        if progress.outstanding.get() >= opts.outstanding {
            progress.tally.borrow_mut().record(Outcome::Unsent, Duration::ZERO, 0);
            continue;
        }
        progress.outstanding.set(progress.outstanding.get() + 1);
        monoio::spawn(send(Rc::clone(&callers), Rc::clone(&progress), index, due));
    }
    while progress.outstanding.get() > 0 {
        sleep(COMPLETION_POLL).await;
    }
    let row = progress.tally.borrow().row(&class.name, class.reliability);
    Report { row, results: progress.results.take() }
}

fn callers(opts: &Options, class: &ClassLoad) -> Callers {
    let service = &class.service;
    let entries = match opts.direct.is_empty() {
        true => (0..opts.entries.len())
            .map(|first| Entries::with_seeds(service, &opts.entries, first))
            .collect(),
        false => vec![Entries::fixed(service, &opts.direct)],
    };
    let run = rand::random();
    Callers { class: class.clone(), opts: opts.clone(), entries, pool: Pool::default(), run }
}

async fn send(callers: Rc<Callers>, progress: Rc<Progress>, index: u64, due: Instant) {
    let result = callers.call(index).await;
    progress.tally.borrow_mut().record(result.outcome, due.elapsed(), result.attempts);
    progress.results.borrow_mut().push(result);
    progress.outstanding.set(progress.outstanding.get() - 1);
}
