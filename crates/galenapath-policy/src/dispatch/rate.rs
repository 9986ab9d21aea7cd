//! Estimate of the rate of a service's requests over all instances.
//!
//! Load pattern: callers spread evenly over the dispatching instances, so one of them sees its part
//! of the load, and multiplies it by their number. Between two estimates the last one holds: a
//! change among the instances needs a rate at once, and a period that is too short gives none. With
//! zero in its place, the number of dispatchers falls to its minimum under full load.

use galenapath_protocol::Micros;

/// Estimate of the rate of a service's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateEstimate {
    /// Requests since the last estimate.
    requests: u64,
    /// The last estimate, in requests per second.
    rate: f64,
}

impl RateEstimate {
    /// Counts a request.
    pub fn count(&mut self) {
        self.requests += 1;
    }

    /// Returns the rate over all instances in requests per second.
    ///
    /// `elapsed` is the period in which the counted requests arrived; if it is zero, the last
    /// estimate is returned. `dispatchers` is the number of instances that share the requests, zero
    /// if this one is none of them, sees no share and cannot know.
    pub fn update(&mut self, elapsed: Micros, dispatchers: usize) -> f64 {
        if elapsed == Micros::ZERO {
            return self.rate;
        }
        let requests = std::mem::take(&mut self.requests) as f64;
        self.rate = requests * 1e6 / elapsed.0 as f64 * dispatchers as f64;
        self.rate
    }
}
