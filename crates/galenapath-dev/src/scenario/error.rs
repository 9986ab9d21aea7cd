//! Why a scenario stopped.

use super::line::ParseError;
use crate::wire::WireError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a scenario stopped, in the words of one of its lines.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is no scenario.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A program is not where the build leaves it.
    #[error("program {0} is missing: run `cargo build --workspace --bins --examples` first")]
    MissingProgram(PathBuf),
    /// A step is unknown or lacks something.
    #[error("bad step: {0}")]
    BadStep(String),
    /// A process, file or socket of the scenario failed.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// The cause.
        source: io::Error,
    },
    /// A call to a process of the scenario failed.
    #[error("{what}: {source}")]
    Call {
        /// What was tried.
        what: String,
        /// The cause.
        source: WireError,
    },
    /// A condition did not come true within its limit.
    #[error("not within {limit_ms} ms: {condition}; last seen: {seen}")]
    Timeout {
        /// The condition.
        condition: String,
        /// What held at last.
        seen: String,
        /// The limit in milliseconds.
        limit_ms: u128,
    },
    /// Something else than expected came.
    #[error("expected {expected}, got {got}")]
    Unexpected {
        /// What was expected.
        expected: String,
        /// What came.
        got: String,
    },
}

impl ScenarioError {
    /// An I/O error with what was tried.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        |source| Self::Io { what: what.into(), source }
    }

    /// A failed call with what was tried.
    pub fn call(what: impl Into<String>) -> impl FnOnce(WireError) -> Self {
        |source| Self::Call { what: what.into(), source }
    }

    /// A bad step.
    pub fn bad(text: impl Into<String>) -> Self {
        Self::BadStep(text.into())
    }
}
