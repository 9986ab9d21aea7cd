//! Choice of the dispatcher whose address a caller receives.
//!
//! Load pattern: callers reuse an address for some time, and failure domains have different numbers
//! of slots. With random addresses for a few hundred callers, the load of the dispatchers differs
//! by a tenth or more: the most loaded one queues requests or sends them to other domains while the
//! others have free slots.
//!
//! A caller receives the better of two random dispatchers, by load per slot of their failure
//! domains. The best of all dispatchers is not used, because the known loads of peers are out of
//! date and all instances would send every caller to the same dispatcher.

use rand::RngExt;
use rand::rngs::SmallRng;

/// Last known load of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherLoad {
    /// Requests per second that it receives for the service.
    pub rate: f64,
    /// Slots of the service's servers in its failure domain, divided by the number of dispatchers
    /// there.
    pub slots: f64,
}

impl DispatcherLoad {
    fn per_slot(&self) -> f64 {
        self.rate / self.slots.max(1.0)
    }
}

/// Chooses the dispatcher for a caller. Returns its index in `loads`; `None` when `loads` is empty.
pub fn choose_dispatcher(loads: &[DispatcherLoad], rng: &mut SmallRng) -> Option<usize> {
    if loads.len() < 2 {
        return loads.first().map(|_| 0);
    }
    let first = rng.random_range(0..loads.len());
    let step = rng.random_range(1..loads.len());
    let second = (first + step) % loads.len();
    let is_better = loads[second].per_slot() < loads[first].per_slot();
    Some(if is_better { second } else { first })
}
