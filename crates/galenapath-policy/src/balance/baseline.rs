//! The choices that galenapath's is compared with. They know the instance's own requests in flight
//! and nothing else.

use rand::RngExt;
use rand::rngs::SmallRng;

/// A server that a baseline may choose: its place in the table and its requests in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Place in the balancer's table.
    pub index: usize,
    /// Requests of this instance in flight.
    pub in_flight: u32,
}

/// Any candidate, evenly.
pub(super) fn random(candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.random_range(0..candidates.len())].index)
}

/// The candidate that follows the one chosen last; `turn` counts the choices.
pub(super) fn round_robin(candidates: &[Candidate], turn: &mut usize) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    *turn = (*turn + 1) % candidates.len();
    Some(candidates[*turn].index)
}

/// The candidate with the fewest requests in flight, ties broken at random.
pub(super) fn least_in_flight(candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    let least = candidates.iter().map(|c| c.in_flight).min()?;
    let ties = candidates.iter().filter(|c| c.in_flight == least);
    let skip = rng.random_range(0..ties.clone().count());
    ties.skip(skip).map(|c| c.index).next()
}

/// The better of two different random candidates.
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
