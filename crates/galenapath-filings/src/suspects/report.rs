//! Reports about crash suspects that instances send each other.

use crate::Fingerprint;

/// A crash or an answer. Contains ages instead of times, since instances do not share a clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuspectReport {
    /// A backend server crashed with these requests in flight.
    Crash {
        /// Hash of the backend server's name.
        backend: u64,
        /// Milliseconds since the crash.
        age_ms: u64,
        /// Requests that were in flight and have not been answered since.
        members: Vec<Fingerprint>,
    },
    /// A request was answered completely.
    Answered {
        /// Fingerprint of the request.
        fp: Fingerprint,
        /// Milliseconds since the answer.
        age_ms: u64,
    },
}
