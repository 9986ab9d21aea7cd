//! Errors of the platform edge.

use galenapath_protocol::Verdict;
use std::time::Duration;
use thiserror::Error;

/// A call on the platform that failed.
#[derive(Debug, Error)]
#[error("{call}: {cause} (verdict {verdict})")]
pub struct PlatformError {
    /// The call, as method and path.
    pub call: String,
    /// Why it failed.
    pub cause: Cause,
    /// Whether the call may have taken effect. Never [`Verdict::Answered`].
    pub verdict: Verdict,
}

/// Why a call on the platform failed.
#[derive(Debug, Error)]
pub enum Cause {
    /// No connection to the platform.
    #[error("cannot connect: {0}")]
    Unreachable(String),
    /// No answer in time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The connection broke before the answer was complete.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The platform's rate limit; the call was turned away.
    #[error("turned away by the platform's rate limit")]
    RateLimited,
    /// The platform answered with an error status.
    #[error("status {status}: {text}")]
    ErrorStatus {
        /// HTTP status.
        status: u16,
        /// Start of the answer's body.
        text: String,
    },
    /// An answer that cannot be read.
    #[error("answer cannot be read: {0}")]
    BadAnswer(String),
    /// A key or value that the call cannot carry.
    #[error("call cannot be made: {0}")]
    BadCall(String),
}
