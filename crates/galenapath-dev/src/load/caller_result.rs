//! Result of one request as received by its caller.

use super::attempt::{Attempt, RequestSpec};
use super::tally::Outcome;

/// Result of a request over all attempts, with the key and path that identify its executions on
/// the backend servers.
#[derive(Clone, Debug)]
pub struct CallerResult {
    /// Path and query; unique to the request.
    pub path: String,
    /// Idempotency key; empty if the request has none.
    pub key: String,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether the answer to every attempt stated that the request did not run.
    pub never_ran: bool,
    /// Whether any attempt was answered with success.
    pub answered: bool,
}

impl CallerResult {
    /// Creates the result of a request that was not sent yet.
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

    /// Records how an attempt ended.
    pub fn record(&mut self, end: Attempt) {
        self.outcome = end.outcome();
        self.attempts += 1;
        self.never_ran &= self.outcome == Outcome::NotRun;
        self.answered |= self.outcome == Outcome::Answered;
    }
}
