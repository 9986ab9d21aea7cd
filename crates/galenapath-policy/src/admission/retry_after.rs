//! The retry-after time of rejected requests.
//!
//! Load pattern: the end of an overload. If all callers get the same retry-after time, their
//! retries arrive in one burst and are rejected again. Here each rejection reserves the next slot
//! of a schedule that runs at a fraction of the observed drain rate, so that retries arrive at a
//! rate that can be served in addition to new requests. Jitter spreads the retries to which several
//! instances have given the same time.

use galenapath_protocol::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Schedule of the retries of rejected requests.
#[derive(Debug)]
pub struct RetrySchedule {
    min: Micros,
    max: Micros,
    /// Time of the last reserved retry.
    last_reserved: Micros,
    rng: StdRng,
}

impl RetrySchedule {
    /// Fraction of the drain rate that is scheduled for retries; the rest serves new requests.
    const RETRY_SHARE: f64 = 0.25;
    /// Maximum jitter as a fraction of the retry-after time.
    const MAX_JITTER: f64 = 0.25;

    /// Creates an empty schedule with retry-after times from `min` to `max`, before jitter.
    pub fn new(min: Micros, max: Micros, seed: u64) -> Self {
        Self { min, max, last_reserved: Micros::ZERO, rng: StdRng::seed_from_u64(seed) }
    }

    /// Reserves the next retry and returns its retry-after time; `per_micro` is the observed drain
    /// rate, above zero.
    pub fn reserve(&mut self, now: Micros, per_micro: f64) -> Micros {
        let gap = 1.0 / (per_micro * Self::RETRY_SHARE);
        let earliest = self.last_reserved.max(now + self.min) + Micros(gap as u64);
        self.last_reserved = earliest.min(now + self.max);
        let after = (self.last_reserved - now).0 as f64;
        let jitter = self.rng.random_range(0.0..Self::MAX_JITTER);
        Micros((after * (1.0 + jitter)) as u64)
    }
}
