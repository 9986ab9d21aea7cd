//! Errors of scenarios.

use super::line::ParseError;
use crate::wire::WireError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Error that ends a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The scenario has a syntax error.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A program is missing in the output directory of the build.
    #[error("program {0} is missing: run `cargo build --workspace --bins --examples` first")]
    MissingProgram(PathBuf),
    /// A step is unknown, incomplete or cannot be run.
    #[error("bad step: {0}")]
    BadStep(String),
    /// A process, file or socket of the scenario failed.
    #[error("{what}: {source}")]
    Io {
        /// Attempted operation.
        what: String,
        /// The cause.
        source: io::Error,
    },
    /// A call to a process of the scenario failed.
    #[error("{what}: {source}")]
    Call {
        /// Attempted operation.
        what: String,
        /// The cause.
        source: WireError,
    },
    /// A condition did not hold within its limit.
    #[error("timed out after {limit_ms} ms waiting for: {condition}; last seen: {seen}")]
    Timeout {
        /// The condition.
        condition: String,
        /// Last state that was observed.
        seen: String,
        /// The limit in milliseconds.
        limit_ms: u128,
    },
    /// A result differs from the expected one.
    #[error("expected {expected}, got {got}")]
    Unexpected {
        /// Expected result.
        expected: String,
        /// Actual result.
        got: String,
    },
}

impl ScenarioError {
    /// Returns a function that adds the attempted operation to an I/O error.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        |source| Self::Io { what: what.into(), source }
    }

    /// Returns a function that adds the attempted operation to a failed call.
    pub fn call(what: impl Into<String>) -> impl FnOnce(WireError) -> Self {
        |source| Self::Call { what: what.into(), source }
    }

    /// Creates a [`ScenarioError::BadStep`].
    pub fn bad(text: impl Into<String>) -> Self {
        Self::BadStep(text.into())
    }
}
