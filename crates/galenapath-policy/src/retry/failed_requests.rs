//! Recognizes requests that a caller sends again after they have failed on this instance.
//!
//! Load pattern: an overload or a fault in which many requests are rejected and their callers send
//! them again, once or a few times. Nothing marks such a request as a repetition, but its content
//! is the same. If it is not recognized, a request that has used up most of its time counts as new,
//! and its last attempt gets no more of the retry budget than the first attempt of another request.

use galenapath_protocol::{FastMap, Micros};

/// How long a request is remembered after it has failed. Callers wait a few seconds at most before
/// they repeat it.
const RETENTION: Micros = Micros::from_secs(15);

/// Time from its first attempt after which a request with the same content is a new one. Some callers
/// send the same request for as long as they run, and during an outage each of them fails.
const LONGEST: Micros = Micros::from_secs(60);

/// Maximum number of remembered requests; at 64 bytes each, a quarter of a megabyte.
const MAX_ENTRIES: usize = 4_096;

/// Times of a request that has failed.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// When its first attempt arrived.
    first_at: Micros,
    /// When its last attempt failed.
    failed_at: Micros,
}

/// Fingerprints of the requests that have failed on this instance in the last 15 seconds.
#[derive(Debug, Default)]
pub struct FailedRequests {
    /// By fingerprint.
    ///
    /// Invariant: at most `MAX_ENTRIES` entries.
    failures: FastMap<u128, Failure>,
}

impl FailedRequests {
    /// Records a request that has failed and that the caller may send again. `first_at` is the
    /// arrival time of its first attempt.
    pub fn record(&mut self, now: Micros, request: u128, first_at: Micros) {
        if self.failures.len() >= MAX_ENTRIES {
            self.failures.retain(|_, failure| now - failure.failed_at < RETENTION);
        }
        if self.failures.len() < MAX_ENTRIES {
            self.failures.insert(request, Failure { first_at, failed_at: now });
        }
    }

    /// Removes a request and returns the arrival time of its first attempt, if it has failed on
    /// this instance before.
    pub fn take(&mut self, now: Micros, request: u128) -> Option<Micros> {
        let failure = self.failures.remove(&request)?;
        let is_repeated = now - failure.failed_at < RETENTION && now - failure.first_at < LONGEST;
        is_repeated.then_some(failure.first_at)
    }
}
