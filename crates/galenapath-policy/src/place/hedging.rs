//! When a running request is hedged on another server.
//!
//! Load pattern: a server that was slow when the request began, or that does not respond. A request
//! that begins slowly also ends slowly; if it is idempotent, a hedge on another server completes
//! sooner. Hedges are charged to the retry budget, so they are sent only when the first answer is
//! later than usual, and where possible while the hedge can still meet the target.

use galenapath_protocol::Micros;

/// Ratio of latency to mean work time from which an early hedge may be sent while the retry budget
/// is well filled. One answer in ten takes longer without any fault.
const EARLY_RATIO: f32 = 1.4;

/// Ratio of latency to mean work time from which a hedge is sent as long as the retry budget allows
/// it. One answer in a hundred takes longer without any fault.
const LATE_RATIO: f32 = 2.0;

/// Time that a hedge needs, placement and network included, in units of the mean work time.
const HEDGE_TIME_RATIO: f32 = 1.15;

/// Ratio of latency to mean work time after which a server without any response counts as silent.
const SILENT_RATIO: f32 = 3.0;

/// Returns the time after which an unanswered request may get an early hedge that still meets the
/// target, given the mean `work` time and the `time_left` until the target. Never later than
/// [`late_after`].
pub fn early_after(work: Micros, time_left: Micros) -> Micros {
    let last = time_left - scaled(work, HEDGE_TIME_RATIO);
    last.clamp(scaled(work, EARLY_RATIO), late_after(work))
}

/// Returns the time after which an unanswered request is hedged.
pub fn late_after(work: Micros) -> Micros {
    scaled(work, LATE_RATIO)
}

/// Returns the time after which a server without any response counts as silent.
pub fn silent_after(work: Micros) -> Micros {
    scaled(work, SILENT_RATIO)
}

fn scaled(duration: Micros, factor: f32) -> Micros {
    Micros((duration.0 as f32 * factor) as u64)
}
