//! Distributes the requests of a route over its services.
//!
//! Load pattern: a few hundred requests, spread over many instances, whose shares have to be close
//! to the weights. Random choice would need far more requests than each instance gets; weighted
//! round robin keeps each instance close to its share. Instances start at different points, so that
//! they do not all begin with the same service, and the shares hold from the first request on.
//!
//! Operators choose the unit of the weights. The work must therefore not grow with their values: a
//! start and a choice take as many steps as there are services.

use crate::WeightedService;
use galenapath_protocol::hash64;

/// Weighted round robin over the services of one route.
///
/// Each service divides the requests that the services before it left into its own and those of all
/// behind it. Its divider gains its weight with each request; when it reaches the sum of the
/// weights from it on, the request is its own.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    /// One divider for each service.
    dividers: Vec<Divider>,
}

#[derive(Clone, Copy, Debug)]
struct Divider {
    weight: u64,
    /// Sum of the weights from this service on.
    rest: u64,
    /// Invariant: less than `rest`, or zero.
    value: u64,
}

impl WeightedRoundRobin {
    /// Starts at an offset derived from `seed`: each divider anywhere in its range.
    pub fn new(services: &[WeightedService], seed: u64) -> Self {
        let mut rest: u64 = services.iter().map(|service| u64::from(service.weight)).sum();
        let mut dividers = Vec::with_capacity(services.len());
        for (index, service) in services.iter().enumerate() {
            let weight = u64::from(service.weight);
            let value = hash64(seed, &index.to_le_bytes()) % rest.max(1);
            dividers.push(Divider { weight, rest, value });
            rest -= weight;
        }
        Self { dividers }
    }

    /// Index of the service that gets the next request.
    pub fn next_index(&mut self) -> usize {
        for (index, divider) in self.dividers.iter_mut().enumerate() {
            divider.value += divider.weight;
            if divider.value >= divider.rest {
                divider.value -= divider.rest;
                return index;
            }
        }
        0
    }
}
