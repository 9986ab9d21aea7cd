//! Arrival times of requests.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Arrival times of a Poisson process, counted from the start of the run, up to an end.
pub struct Arrivals {
    rng: StdRng,
    rate: f64,
    at: f64,
    end: f64,
}

impl Arrivals {
    /// Creates arrivals with a mean rate of `rate` per second until `end`.
    pub fn new(seed: u64, rate: f64, end: Duration) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), rate, at: 0.0, end: end.as_secs_f64() }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let unit: f64 = self.rng.random();
        // In (0, 1], so that the logarithm is finite.
        self.at -= (1.0 - unit).ln() / self.rate;
        (self.at < self.end).then(|| Duration::from_secs_f64(self.at))
    }
}
