//! How many requests a second a workspace sends to one instance.

use galenapath_protocol::Micros;

/// Time constant of the average: long enough for a few requests, and short enough to follow a shift
/// of callers within a second.
pub(super) const TIME_CONSTANT_SECS: f64 = 0.5;

/// Exponential moving average of a request rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    per_second: f64,
    at: Micros,
}

impl Demand {
    /// Counts a request.
    pub(super) fn record(&mut self, now: Micros) {
        self.per_second = self.per_second(now) + 1.0 / TIME_CONSTANT_SECS;
        self.at = now;
    }

    /// Requests per second.
    pub(super) fn per_second(&self, now: Micros) -> f64 {
        let seconds = (now - self.at).0 as f64 / 1e6;
        self.per_second * (-seconds / TIME_CONSTANT_SECS).exp()
    }
}
