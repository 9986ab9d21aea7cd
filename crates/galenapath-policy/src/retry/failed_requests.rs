//! Recognizes requests that a caller sends again after they have failed on this instance.
//!
//! Load pattern: an overload or a fault in which many requests are rejected and their callers send
//! them again, once or a few times. Nothing marks such a request as a repetition, but its content
//! is the same. If it is not recognized, a request that has used up most of its time counts as new,
//! and its last attempt gets no more of the retry budget than the first attempt of another request.

use galenapath_protocol::{FastMap, Micros};

/// How long a failed request is remembered. Callers wait a few seconds at most before they repeat
/// it.
const RETENTION: Micros = Micros::from_secs(15);

/// Maximum number of remembered requests; at 64 bytes each, a quarter of a megabyte.
const MAX_ENTRIES: usize = 4_096;

/// Fingerprints of the requests that have failed on this instance in the last 15 seconds.
#[derive(Debug, Default)]
pub struct FailedRequests {
    /// Arrival time of the first attempt, by fingerprint.
    ///
    /// Invariant: at most `MAX_ENTRIES` entries.
    first_arrivals: FastMap<u128, Micros>,
}

impl FailedRequests {
    /// Records a request that has failed and that the caller may send again. `first_at` is the
    /// arrival time of its first attempt.
    pub fn record(&mut self, now: Micros, request: u128, first_at: Micros) {
        if self.first_arrivals.len() >= MAX_ENTRIES {
            self.first_arrivals.retain(|_, at| now - *at < RETENTION);
        }
        if self.first_arrivals.len() < MAX_ENTRIES {
            self.first_arrivals.insert(request, first_at);
        }
    }

    /// Removes a request and returns the arrival time of its first attempt, if it has failed on
    /// this instance before.
    pub fn take(&mut self, now: Micros, request: u128) -> Option<Micros> {
        let first_at = self.first_arrivals.remove(&request)?;
        (now - first_at < RETENTION).then_some(first_at)
    }
}
