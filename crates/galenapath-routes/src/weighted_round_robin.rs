//! Sharing a route's requests out among its parts.
//!
//! Load pattern: a few hundred requests, spread over many instances, whose shares have to lie close
//! to the weights. Chance would need far more requests than each instance sees; taking turns keeps
//! each instance within one request of its share.

use crate::WeightedService;

/// Whose turn it is on one route (smooth weighted round robin).
///
/// Invariant: one credit for each part; the credits add up to zero between two turns, but for the
/// random start.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// A turn that starts at a place drawn from `seed`, so that instances do not all begin with the
    /// same part.
    pub fn new(parts: &[WeightedService], seed: u64) -> Self {
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut turn = Self { credits: vec![0; parts.len()] };
        for _ in 0..seed % u64::try_from(total.max(1)).unwrap_or(1) {
            turn.next(parts);
        }
        turn
    }

    /// Index of the part that the next request goes to.
    pub fn next(&mut self, parts: &[WeightedService]) -> usize {
        let mut best = 0;
        let mut total = 0;
        for (index, part) in parts.iter().enumerate() {
            self.credits[index] += i64::from(part.weight);
            total += i64::from(part.weight);
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total;
        best
    }
}
