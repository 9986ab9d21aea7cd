//! Errors of calls to the platform.

use galenapath_protocol::Verdict;
use std::time::Duration;
use thiserror::Error;

/// A failed call to the platform.
#[derive(Debug, Error)]
#[error("{call}: {cause} (verdict {verdict})")]
pub struct PlatformError {
    /// Method and path of the call.
    pub call: String,
    /// Why it failed.
    pub cause: Cause,
    /// Whether the call may have taken effect; never [`Verdict::Answered`].
    pub verdict: Verdict,
}

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum Cause {
    /// The connection to the platform could not be established.
    #[error("cannot connect: {0}")]
    Unreachable(String),
    /// No complete answer arrived within the timeout.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The connection broke before the answer was complete.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The platform rejected the call because of its rate limit.
    #[error("rejected by the platform's rate limit")]
    RateLimited,
    /// The platform answered with an error status other than its rate limit.
    #[error("status {status}: {text}")]
    ErrorStatus {
        /// HTTP status.
        status: u16,
        /// Beginning of the answer's body.
        text: String,
    },
    /// The answer could not be parsed.
    #[error("invalid answer: {0}")]
    BadAnswer(String),
    /// The call could not be encoded, for example because of its path or value.
    #[error("cannot encode the call: {0}")]
    BadCall(String),
}
