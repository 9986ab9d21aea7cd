//! Distributes the requests of a route over its services.
//!
//! Load pattern: a few hundred requests, spread over many instances, whose shares have to be close
//! to the weights. Random choice would need far more requests than each instance gets; weighted
//! round robin keeps each instance within one request of its share.

use crate::WeightedService;

/// Smooth weighted round robin over the services of one route.
///
/// Invariant: there is one credit for each service. Between two choices the credits add up to zero,
/// apart from the random start.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Starts at an offset derived from `seed`, so that instances do not all begin with the same
    /// service.
    pub fn new(services: &[WeightedService], seed: u64) -> Self {
        let total: i64 = services.iter().map(|service| i64::from(service.weight)).sum();
        let mut round_robin = Self { credits: vec![0; services.len()] };
        for _ in 0..seed % u64::try_from(total.max(1)).unwrap_or(1) {
            round_robin.next(services);
        }
        round_robin
    }

    /// Index of the service that gets the next request.
    pub fn next(&mut self, services: &[WeightedService]) -> usize {
        let mut best = 0;
        let mut total = 0;
        for (index, service) in services.iter().enumerate() {
            self.credits[index] += i64::from(service.weight);
            total += i64::from(service.weight);
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total;
        best
    }
}
