//! Which dispatcher's address a caller is given.
//!
//! Load pattern: callers keep an address for a while, so that a few hundred callers given addresses
//! at random load the dispatchers unevenly by a tenth and more, and failure domains hold different
//! numbers of slots. The fuller dispatcher then queues or crosses to other domains while the rest
//! have slots free. So a caller gets the better of two random dispatchers, by load per slot of
//! their own failure domains. Two choices and not the best of all: the loads that an instance knows
//! of its peers are old, and all instances would send every caller to the same one.

use rand::RngExt;
use rand::rngs::SmallRng;

/// What is known of a dispatcher's load, however old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherLoad {
    /// Requests per second that it receives for the service.
    pub rate: f64,
    /// Slots of the service's servers in its failure domain, divided by the dispatchers there.
    pub slots: f64,
}

impl DispatcherLoad {
    fn per_slot(&self) -> f64 {
        self.rate / self.slots.max(1.0)
    }
}

/// Chooses the dispatcher for a caller; returns its place in `loads`, `None` when that is empty.
pub fn answer(loads: &[DispatcherLoad], rng: &mut SmallRng) -> Option<usize> {
    if loads.len() < 2 {
        return loads.first().map(|_| 0);
    }
    let first = rng.random_range(0..loads.len());
    let step = rng.random_range(1..loads.len());
    let second = (first + step) % loads.len();
    let is_better = loads[second].per_slot() < loads[first].per_slot();
    Some(if is_better { second } else { first })
}
