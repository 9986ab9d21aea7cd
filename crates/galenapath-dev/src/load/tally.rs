//! Outcome counts and latencies of one class.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Upper bound of the latency histogram, in microseconds; longer latencies are recorded as this
/// value.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of a request for its caller, after all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with success and the expected body.
    Answered,
    /// The last answer stated that the request did not run.
    NotRun,
    /// The last answer stated that the request may have run.
    MayHaveRun,
    /// A backend server answered with an error status.
    Failed,
    /// No complete answer: the connection broke or the attempt timed out.
    Broken,
    /// The body belongs to another request or is damaged.
    Wrong,
    /// Not sent, because too many requests of the class were unanswered.
    Unsent,
}

/// Running counts and latencies of one class.
pub struct Tally {
    counts: [u64; 7],
    in_time: u64,
    resent: u64,
    latencies: Histogram<u64>,
    target: Duration,
}

impl Tally {
    /// Creates a tally for a class with the latency target `target`.
    pub fn new(target: Duration) -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        // Fails only if bounds or digits are out of range, and these constants are valid.
        #[allow(clippy::expect_used)]
        let mut latencies = latencies.expect("constant bounds are valid");
        latencies.auto(true);
        Self { counts: [0; 7], in_time: 0, resent: 0, latencies, target }
    }

    /// Records a request that ended `time` after it was due, after `attempts` attempts.
    pub fn record(&mut self, outcome: Outcome, time: Duration, attempts: u32) {
        self.counts[outcome as usize] += 1;
        self.resent += u64::from(attempts.saturating_sub(1));
        if outcome == Outcome::Answered {
            self.in_time += u64::from(time <= self.target);
            self.latencies.saturating_record(time.as_micros() as u64);
        }
    }

    /// Returns the results of `class`, whose target requires the share `reliability` in time.
    pub fn row(&self, class: &str, reliability: f64) -> Row {
        let sent = self.counts.iter().sum();
        let ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
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

/// Results of one class, as one line of the output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the class.
    pub class: String,
    /// Requests that were due, each counted once, including those not sent.
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
    /// Median latency of answered requests in milliseconds, from the time at which they were due.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency.
    pub p999_ms: f64,
    /// Requests answered within the latency target.
    pub in_time: u64,
    /// Whether the share of requests answered in time reaches the required reliability.
    pub target_met: bool,
}

/// Formats the rows as a table.
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
