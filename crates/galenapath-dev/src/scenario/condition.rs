//! Numeric conditions of the steps `expect` and `wait`.

use super::error::ScenarioError;
use super::line::Line;
use std::fmt;
use std::str::FromStr;

/// Comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Compare {
    /// `==`
    Equal,
    /// `!=`
    Different,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
}

impl FromStr for Compare {
    type Err = ScenarioError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "==" => Ok(Self::Equal),
            "!=" => Ok(Self::Different),
            "<=" => Ok(Self::AtMost),
            ">=" => Ok(Self::AtLeast),
            _ => Err(ScenarioError::bad(format!("unknown comparison operator `{text}`"))),
        }
    }
}

/// `NAME.FIELD COMPARISON NUMBER`, such as `b1.executions == 1`.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Name of a process, request or load.
    pub name: String,
    /// Name of the counter, metric or figure.
    pub field: String,
    /// Comparison operator.
    pub compare: Compare,
    /// Number to compare with.
    pub value: f64,
}

impl Condition {
    /// Parses a condition from the three words that start at index `first`.
    ///
    /// # Errors
    ///
    /// The words are not a condition.
    pub fn read(line: &Line, first: usize) -> Result<Self, ScenarioError> {
        let bad = || ScenarioError::bad("expected NAME.FIELD COMPARISON NUMBER");
        let (name, field) = line.word(first).split_once('.').ok_or_else(bad)?;
        Ok(Self {
            name: name.to_owned(),
            field: field.to_owned(),
            compare: line.word(first + 1).parse()?,
            value: line.word(first + 2).parse().map_err(|_| bad())?,
        })
    }

    /// Returns whether `seen` meets the condition.
    pub fn holds(&self, seen: f64) -> bool {
        match self.compare {
            Compare::Equal => seen == self.value,
            Compare::Different => seen != self.value,
            Compare::AtMost => seen <= self.value,
            Compare::AtLeast => seen >= self.value,
        }
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{} {:?} {}", self.name, self.field, self.compare, self.value)
    }
}
