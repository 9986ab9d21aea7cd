//! When a running request gets a second copy on another server.
//!
//! Load pattern: a server that was slow when the request began, or is silent. What it began slowly
//! it ends slowly; a request that may be repeated is done sooner by a copy elsewhere. Copies come
//! out of the retry budget, so one goes out only when the first answer is later than usual, and
//! where possible while the copy can still meet the target.

use galenapath_protocol::Micros;

/// Latency over the usual work time from which a copy may go out early, while the retry budget is
/// well filled: one answer in ten takes longer although nothing is wrong.
const EARLY: f32 = 1.4;

/// Latency over the usual work time from which a copy goes out as long as there is a budget: one
/// answer in a hundred takes longer although nothing is wrong.
const LATE: f32 = 2.0;

/// Part of the work time that a copy needs beyond it, to be placed and to come back.
const COPY_NEEDS: f32 = 1.15;

/// Latency over the usual work time after which a server that tells nothing counts as silent.
const SILENT: f32 = 3.0;

/// Time after which a request that has no answer may get an early copy, which still meets the target:
/// by the mean `work` and the time `left` until an answer is worth less. Never later than
/// [`late_after`].
pub fn early_after(work: Micros, left: Micros) -> Micros {
    let last = left - scaled(work, COPY_NEEDS);
    last.clamp(scaled(work, EARLY), late_after(work))
}

/// Time after which a request that has no answer gets a copy.
pub fn late_after(work: Micros) -> Micros {
    scaled(work, LATE)
}

/// Time after which a server that has told nothing counts as silent.
pub fn silent_after(work: Micros) -> Micros {
    scaled(work, SILENT)
}

fn scaled(span: Micros, factor: f32) -> Micros {
    Micros((span.0 as f32 * factor) as u64)
}
