//! Compares the results that callers received with the requests that backend servers ran.

use super::error::ScenarioError;
use crate::load::{CallerResult, Outcome};
use galenapath_protocol::FastMap;
use std::path::Path;

/// Requests that backend servers ran, from their execution logs.
#[derive(Default)]
pub struct Executions {
    by_key: FastMap<String, u32>,
    by_path: FastMap<String, u32>,
}

impl Executions {
    /// Adds the execution log of one process. A missing file counts as an empty log.
    pub fn add(&mut self, path: &Path) {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        for line in text.lines() {
            let mut fields = line.split('\t').skip(1);
            let (key, path) = (fields.next().unwrap_or(""), fields.next().unwrap_or(""));
            if !key.is_empty() {
                *self.by_key.entry(key.to_owned()).or_default() += 1;
            }
            *self.by_path.entry(path.to_owned()).or_default() += 1;
        }
    }

    /// Number of executions of a request, by its key or, without a key, by its path.
    pub fn count(&self, key: &str, path: &str) -> u32 {
        let counts = if key.is_empty() { &self.by_path } else { &self.by_key };
        counts.get(if key.is_empty() { path } else { key }).copied().unwrap_or(0)
    }

    /// Returns a key that ran more than once and its number of executions.
    pub fn repeated(&self) -> Option<(&str, u32)> {
        let mut repeated = self.by_key.iter().filter(|(_, n)| **n > 1);
        repeated.next().map(|(key, n)| (key.as_str(), *n))
    }
}

/// Fails if a key ran more than once, a request that was reported as "not run" did run, an answered
/// request did not run, or a caller received a wrong body.
///
/// For a request with a key, only the result of its last attempt counts: after "not run", a retry
/// may have run it. A request without a key may run once per attempt, so it must not have run only
/// if all its attempts were reported as "not run".
pub fn check(executions: &Executions, results: &[CallerResult]) -> Result<(), ScenarioError> {
    if let Some((key, n)) = executions.repeated() {
        return Err(mismatch(format!("key {key} runs at most once"), format!("it ran {n} times")));
    }
    for result in results {
        let ran = executions.count(&result.key, &result.path);
        let name = if result.key.is_empty() { &result.path } else { &result.key };
        let is_finally_not_run = !result.key.is_empty() && result.outcome == Outcome::NotRun;
        if (result.never_ran || is_finally_not_run) && ran > 0 {
            let expected = format!("{name} did not run, as reported to its caller");
            return Err(mismatch(expected, format!("it ran {ran} times")));
        }
        if result.answered && ran == 0 {
            return Err(mismatch(
                format!("{name} ran, since it was answered"),
                "it did not".to_owned(),
            ));
        }
        if result.outcome == Outcome::Wrong {
            return Err(mismatch(
                format!("{name} is answered with its own body"),
                "a wrong body".to_owned(),
            ));
        }
    }
    Ok(())
}

fn mismatch(expected: String, got: String) -> ScenarioError {
    ScenarioError::Unexpected { expected, got }
}
