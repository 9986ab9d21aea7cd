//! Outcomes of the simulated requests.

use serde::Serialize;

/// Length of a window, in seconds.
const WINDOW_S: f64 = 2.0;

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// An answer within the target.
    InTarget,
    /// A later answer.
    Late,
    /// Rejected, also after a retry.
    #[serde(rename = "Refused")]
    Rejected,
    /// No answer before the caller gave up.
    Failed,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Answers within the target.
    pub in_target: usize,
    /// Later answers.
    pub late: usize,
    /// Rejected requests.
    pub refused: usize,
    /// Requests without an answer.
    pub failed: usize,
}

impl Totals {
    pub(crate) fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::InTarget => self.in_target += 1,
            Outcome::Late => self.late += 1,
            Outcome::Rejected => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Number of requests.
    pub const fn request_count(&self) -> usize {
        self.in_target + self.late + self.refused + self.failed
    }

    /// Fraction of the requests that were answered within the target.
    pub fn share_in_target(&self) -> f64 {
        self.in_target as f64 / self.request_count().max(1) as f64
    }
}

/// Requests that callers first sent within two seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Start, in seconds.
    pub from_s: f64,
    /// Their outcomes.
    pub totals: Totals,
}

/// The result of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Outcomes of all requests.
    pub totals: Totals,
    /// Outcomes by time of the first send.
    pub windows: Vec<Window>,
    /// Load queries.
    pub questions: usize,
    /// Probes.
    pub probes: usize,
    /// Requests that servers shed.
    pub shed: usize,
}

impl Report {
    /// Counts a request that was first sent at `at_s` seconds.
    pub(crate) fn record(&mut self, at_s: f64, outcome: Outcome) {
        self.totals.record(outcome);
        let index = (at_s / WINDOW_S) as usize;
        while self.windows.len() <= index {
            let from_s = self.windows.len() as f64 * WINDOW_S;
            self.windows.push(Window { from_s, totals: Totals::default() });
        }
        self.windows[index].totals.record(outcome);
    }

    /// The window with the smallest fraction of requests answered within the target.
    pub fn worst(&self) -> Option<&Window> {
        let share = |window: &&Window| window.totals.share_in_target();
        self.windows.iter().min_by(|a, b| share(a).total_cmp(&share(b)))
    }
}
