//! What callers got.

use serde::Serialize;

/// Length of a window, in seconds.
const WINDOW_S: f64 = 2.0;

/// What a caller got in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// An answer within the target.
    InTarget,
    /// A later answer.
    Late,
    /// Turned away, again where it had come back.
    Refused,
    /// No answer before the caller left.
    Failed,
}

/// Counts of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Answers within the target.
    pub in_target: usize,
    /// Later answers.
    pub late: usize,
    /// Requests that were turned away for good.
    pub refused: usize,
    /// Requests without an answer.
    pub failed: usize,
}

impl Totals {
    pub(crate) fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::InTarget => self.in_target += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Number of requests.
    pub const fn asked(&self) -> usize {
        self.in_target + self.late + self.refused + self.failed
    }

    /// Part of the requests that was answered within the target.
    pub fn share_in_target(&self) -> f64 {
        self.in_target as f64 / self.asked().max(1) as f64
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

/// The result of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Outcomes of all requests.
    pub totals: Totals,
    /// Outcomes by the time of the first send.
    pub windows: Vec<Window>,
    /// Questions before a send.
    pub questions: usize,
    /// Probes.
    pub probes: usize,
    /// Sends that a server did not take.
    pub shed: usize,
}

impl Report {
    /// Counts a request that was first sent at `at_s` seconds.
    pub(crate) fn add(&mut self, at_s: f64, outcome: Outcome) {
        self.totals.add(outcome);
        let index = (at_s / WINDOW_S) as usize;
        while self.windows.len() <= index {
            let from_s = self.windows.len() as f64 * WINDOW_S;
            self.windows.push(Window { from_s, totals: Totals::default() });
        }
        self.windows[index].totals.add(outcome);
    }

    /// The window with the smallest part in target.
    pub fn worst(&self) -> Option<&Window> {
        let share = |window: &&Window| window.totals.share_in_target();
        self.windows.iter().min_by(|a, b| share(a).total_cmp(&share(b)))
    }
}
