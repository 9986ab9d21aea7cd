//! Time that a caller has spent on earlier attempts.
//!
//! Load pattern: callers that retry after a rejection and state only their remaining deadline. A
//! retried request has less time until its target and takes a slot in which a first attempt could
//! still meet its target. But the timeouts of the callers of one route vary: without a tolerance,
//! first attempts would be credited with too little time and be rejected.

use galenapath_protocol::Micros;

/// Fraction of the longest timeout on the route from which a caller counts as having spent no time.
/// Caller timeouts vary by about a seventh; twice that, 0.3, leaves room for others. Crediting a
/// caller with too much time costs one slot, crediting it with too little costs it the answer.
const FIRST_ATTEMPT_RATIO: f64 = 0.7;

/// Returns the time that a caller has spent, given its stated remaining deadline and the longest
/// timeout of the callers of its route.
pub fn time_spent(longest: Micros, remaining: Micros) -> Micros {
    let is_first_attempt = remaining.0 as f64 >= FIRST_ATTEMPT_RATIO * longest.0 as f64;
    if is_first_attempt { Micros::ZERO } else { longest - remaining }
}
