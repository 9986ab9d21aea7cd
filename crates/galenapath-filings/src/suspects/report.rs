//! What instances tell each other about suspects.

use crate::Fingerprint;

/// One fact about suspects. Ages instead of times, since instances share no clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuspectReport {
    /// A backend server crashed with these requests in flight.
    Crash {
        /// Hash of the backend server's name.
        backend: u64,
        /// Milliseconds since the crash.
        age_ms: u64,
        /// Requests that were in flight and were not answered since.
        members: Vec<Fingerprint>,
    },
    /// A request was answered completely.
    Answered {
        /// The request.
        fp: Fingerprint,
        /// Milliseconds since the answer.
        age_ms: u64,
    },
}
