//! Baseline policies for comparison. They use only this instance's own requests in flight.

use rand::RngExt;
use rand::rngs::SmallRng;

/// A server that a baseline may choose.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index in the balancer's server table.
    pub index: usize,
    /// Requests of this instance in flight.
    pub in_flight: u32,
}

/// Chooses a candidate uniformly at random.
pub(super) fn random(candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.random_range(0..candidates.len())].index)
}

/// Chooses the candidate after the previous choice, whose position in the list is `position`.
pub(super) fn round_robin(candidates: &[Candidate], position: &mut usize) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    *position = (*position + 1) % candidates.len();
    Some(candidates[*position].index)
}

/// Chooses the candidate with the fewest requests in flight, breaking ties at random.
pub(super) fn least_in_flight(candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    let least = candidates.iter().map(|c| c.in_flight).min()?;
    let ties = candidates.iter().filter(|c| c.in_flight == least);
    let skip = rng.random_range(0..ties.clone().count());
    ties.skip(skip).map(|c| c.index).next()
}

/// Of two distinct random candidates, chooses the one with fewer requests in flight.
pub(super) fn power_of_two(candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    if candidates.len() < 2 {
        return candidates.first().map(|c| c.index);
    }
    let first = rng.random_range(0..candidates.len());
    let step = rng.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    let (a, b) = (candidates[first], candidates[second]);
    Some(if b.in_flight < a.in_flight { b.index } else { a.index })
}
