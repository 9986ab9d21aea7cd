//! When a rejected caller is told to come back.
//!
//! Load pattern: the end of an overload. Callers who were all told the same time come back in one
//! burst and are turned away again. Here each rejection books the next place in a schedule that
//! runs at a part of the measured drain rate, so that those who come back arrive at a rate that
//! can be served beside the new requests, and jitter breaks up those told the same by several
//! instances.

use galenapath_protocol::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Places for callers who come back.
#[derive(Debug)]
pub struct ReturnSchedule {
    min: Micros,
    max: Micros,
    /// The last place booked.
    horizon: Micros,
    rng: StdRng,
}

impl ReturnSchedule {
    /// Part of the drain rate left to those who come back; the rest serves new requests.
    const SHARE: f64 = 0.25;
    /// Longest addition to a time, as a part of it.
    const JITTER: f64 = 0.25;

    /// An empty schedule that tells times from `min` to `max`, and jitter on top.
    pub fn new(min: Micros, max: Micros, seed: u64) -> Self {
        Self { min, max, horizon: Micros::ZERO, rng: StdRng::seed_from_u64(seed) }
    }

    /// Books a place; `per_micro` is the measured drain rate, above zero.
    pub fn book(&mut self, now: Micros, per_micro: f64) -> Micros {
        let gap = 1.0 / (per_micro * Self::SHARE);
        let earliest = self.horizon.max(now + self.min) + Micros(gap as u64);
        self.horizon = earliest.min(now + self.max);
        let after = (self.horizon - now).0 as f64;
        let jitter = self.rng.random_range(0.0..Self::JITTER);
        Micros((after * (1.0 + jitter)) as u64)
    }
}
