//! Counts and times of one class.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Longest time that is told apart, in microseconds.
const MOST_US: u64 = 120_000_000;
/// Significant digits of the times.
const DIGITS: u8 = 3;

/// How a request ended for its caller, after all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with success and the body that belongs to it.
    Answered,
    /// Told that it did not run.
    NotRun,
    /// Told that it may have run.
    MayHaveRun,
    /// Answered by a backend server with a status of failure.
    Failed,
    /// No whole answer: the connection broke or took too long.
    Broken,
    /// A body of another request, or a damaged one.
    Wrong,
    /// Never sent: too many requests of the class were unanswered already.
    Unsent,
}

/// Counts and times of one class so far.
pub struct Tally {
    counts: [u64; 7],
    in_time: u64,
    resent: u64,
    times: Histogram<u64>,
    target: Duration,
}

impl Tally {
    /// A tally of a class whose answers should come within `target`.
    pub fn new(target: Duration) -> Self {
        let times = Histogram::new_with_bounds(1, MOST_US, DIGITS);
        // Only bounds or digits out of range fail, and these are constants within it.
        #[allow(clippy::expect_used)]
        let mut times = times.expect("constant bounds are valid");
        times.auto(true);
        Self { counts: [0; 7], in_time: 0, resent: 0, times, target }
    }

    /// Counts a request that ended `time` after it was due, in `attempts` attempts.
    pub fn record(&mut self, outcome: Outcome, time: Duration, attempts: u32) {
        self.counts[outcome as usize] += 1;
        self.resent += u64::from(attempts.saturating_sub(1));
        if outcome == Outcome::Answered {
            self.in_time += u64::from(time <= self.target);
            self.times.saturating_record(time.as_micros() as u64);
        }
    }

    /// The figures under `class`, whose target asks for `reliability`.
    pub fn row(&self, class: &str, reliability: f64) -> Row {
        let sent = self.counts.iter().sum();
        let ms = |quantile| self.times.value_at_quantile(quantile) as f64 / 1_000.0;
        let count = |outcome: Outcome| self.counts[outcome as usize];
        Row {
            class: class.to_owned(),
            sent,
            answered: count(Outcome::Answered),
            not_run: count(Outcome::NotRun),
            may_have_run: count(Outcome::MayHaveRun),
            failed: count(Outcome::Failed),
            broken: count(Outcome::Broken),
            wrong: count(Outcome::Wrong),
            unsent: count(Outcome::Unsent),
            resent: self.resent,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            in_time: self.in_time,
            target_met: sent > 0 && self.in_time as f64 >= reliability * sent as f64,
        }
    }
}

/// One line of the result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the class.
    pub class: String,
    /// Requests that were due, each counted once.
    pub sent: u64,
    /// See [`Outcome::Answered`].
    pub answered: u64,
    /// See [`Outcome::NotRun`].
    pub not_run: u64,
    /// See [`Outcome::MayHaveRun`].
    pub may_have_run: u64,
    /// See [`Outcome::Failed`].
    pub failed: u64,
    /// See [`Outcome::Broken`].
    pub broken: u64,
    /// See [`Outcome::Wrong`].
    pub wrong: u64,
    /// See [`Outcome::Unsent`].
    pub unsent: u64,
    /// Attempts beyond the first.
    pub resent: u64,
    /// Median time of answered requests in milliseconds, from the moment they were due.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Answered within the target's time.
    pub in_time: u64,
    /// Whether the share of sent requests answered in time reaches the target.
    pub target_met: bool,
}

/// The rows as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<14}{:>8}{:>10}{:>9}{:>14}{:>8}{:>8}{:>7}{:>9}{:>9}{:>9}  {}\n",
        "class",
        "sent",
        "answered",
        "not run",
        "may have run",
        "failed",
        "broken",
        "wrong",
        "p50",
        "p99",
        "p99.9",
        "target met"
    );
    for row in rows {
        text.push_str(&format!(
            "{:<14}{:>8}{:>10}{:>9}{:>14}{:>8}{:>8}{:>7}{:>9.1}{:>9.1}{:>9.1}  {}\n",
            row.class,
            row.sent,
            row.answered,
            row.not_run,
            row.may_have_run,
            row.failed,
            row.broken,
            row.wrong,
            row.p50_ms,
            row.p99_ms,
            row.p999_ms,
            if row.target_met { "yes" } else { "no" },
        ));
    }
    text
}
