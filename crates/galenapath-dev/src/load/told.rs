//! What a caller was told about one request.

use super::attempt::{Attempt, RequestSpec};
use super::tally::Outcome;

/// The end of a request and what makes it comparable with what backend servers ran.
#[derive(Clone, Debug)]
pub struct Told {
    /// Path with query; unique to the request.
    pub path: String,
    /// Idempotency key; empty where it has none.
    pub key: String,
    /// How the last attempt ended.
    pub outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether every attempt was told that it did not run.
    pub never_ran: bool,
    /// Whether an attempt was answered.
    pub answered: bool,
}

impl Told {
    /// Nothing was sent yet.
    pub fn new(spec: &RequestSpec) -> Self {
        Self {
            path: spec.path.clone(),
            key: spec.key.clone(),
            outcome: Outcome::Broken,
            attempts: 0,
            never_ran: true,
            answered: false,
        }
    }

    /// Takes the end of an attempt.
    pub fn record(&mut self, end: Attempt) {
        self.outcome = end.outcome();
        self.attempts += 1;
        self.never_ran &= self.outcome == Outcome::NotRun;
        self.answered |= self.outcome == Outcome::Answered;
    }
}
