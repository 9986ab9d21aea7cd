//! Callers that come back with a request that has failed here.
//!
//! Load pattern: an overload or a fault in which many callers are refused and come back, each once or a few
//! times. They do not say that they do, but the request is the same. Without knowing them, one that has
//! spent most of its time counts as new, and the last chance of one is worth no more than the first of
//! another.

use galenapath_protocol::{FastMap, Micros};

/// Time for which a failed request is remembered: callers wait for some seconds at the most.
const KEPT_FOR: Micros = Micros::from_secs(15);

/// Requests remembered; at 64 bytes each, a quarter of a megabyte.
const MOST: usize = 4_096;

/// Requests that have failed here lately, by their fingerprints.
#[derive(Debug, Default)]
pub struct FailedRequests {
    /// When the first attempt of each arrived.
    ///
    /// Invariant: at most `MOST` entries.
    first: FastMap<u128, Micros>,
}

impl FailedRequests {
    /// Takes note of a request that has failed, whose caller may come back. `first_at` is when its first
    /// attempt arrived.
    pub fn note(&mut self, now: Micros, request: u128, first_at: Micros) {
        if self.first.len() >= MOST {
            self.first.retain(|_, at| now - *at < KEPT_FOR);
        }
        if self.first.len() < MOST {
            self.first.insert(request, first_at);
        }
    }

    /// When the first attempt of a request arrived, if it has failed here before; forgets it.
    pub fn take(&mut self, now: Micros, request: u128) -> Option<Micros> {
        let first_at = self.first.remove(&request)?;
        (now - first_at < KEPT_FOR).then_some(first_at)
    }
}
