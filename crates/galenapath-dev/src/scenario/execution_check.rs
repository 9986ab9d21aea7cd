//! Compares what callers were told with what backend servers ran.

use super::error::ScenarioError;
use crate::load::{Outcome, Told};
use galenapath_protocol::FastMap;
use std::path::Path;

/// What backend servers noted.
#[derive(Default)]
pub struct Executions {
    by_key: FastMap<String, u32>,
    by_path: FastMap<String, u32>,
}

impl Executions {
    /// Adds the notes of one process; a file that does not exist holds none.
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

    /// Executions of a request.
    pub fn of(&self, key: &str, path: &str) -> u32 {
        let counts = if key.is_empty() { &self.by_path } else { &self.by_key };
        counts.get(if key.is_empty() { path } else { key }).copied().unwrap_or(0)
    }

    /// A key that ran more than once.
    pub fn repeated(&self) -> Option<(&str, u32)> {
        let mut repeated = self.by_key.iter().filter(|(_, n)| **n > 1);
        repeated.next().map(|(key, n)| (key.as_str(), *n))
    }
}

/// Fails where a key ran twice, a caller was told "not run" of something that ran, an answered
/// request did not run, or a body was wrong.
///
/// A key's last word counts: a filing that was told "not run" and sent again may have run since.
/// A request without a key may run once for each attempt, so all of them must be told "not run".
pub fn check(executions: &Executions, told: &[Told]) -> Result<(), ScenarioError> {
    if let Some((key, n)) = executions.repeated() {
        return Err(lie(format!("key {key} runs at most once"), format!("it ran {n} times")));
    }
    for told in told {
        let ran = executions.of(&told.key, &told.path);
        let name = if told.key.is_empty() { &told.path } else { &told.key };
        let last_word = !told.key.is_empty() && told.outcome == Outcome::NotRun;
        if (told.never_ran || last_word) && ran > 0 {
            let expected = format!("{name} did not run, as its caller was told");
            return Err(lie(expected, format!("it ran {ran} times")));
        }
        if told.answered && ran == 0 {
            return Err(lie(format!("{name} ran, since it was answered"), "it did not".to_owned()));
        }
        if told.outcome == Outcome::Wrong {
            return Err(lie(format!("{name} gets its own answer"), "another body".to_owned()));
        }
    }
    Ok(())
}

fn lie(expected: String, got: String) -> ScenarioError {
    ScenarioError::Unexpected { expected, got }
}
