//! Which log lines about requests are written.
//!
//! Load pattern: a second with more requests than a reader of the log can use or the processor can
//! write. Failures are what the log is read for, so lines about answers that went well have a budget of
//! their own, which can use up none of theirs; with one budget for both, 200 good answers in a second
//! left no line for a failure in it. Both are bounded, since a burst of refusals is a thousand lines a
//! second.

use galenapath_protocol::Micros;

/// Lines about failures for each line about a request that went well.
const FAILURES_PER_LINE: u32 = 10;

const SECOND: Micros = Micros::from_secs(1);

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A request that was answered well and in time.
    Good,
    /// A request that failed, was refused or was late.
    Failure,
    /// What others have found out about an instance: all of them write it, and hundreds may come or go at
    /// the same moment.
    Peer,
}

/// The lines of one second.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    /// Lines about good answers in a second.
    per_second: u32,
    /// When the second began.
    began: Micros,
    good: u32,
    failures: u32,
    peers: u32,
}

impl LineBudget {
    /// A budget of `per_second` lines about good answers, as many about instances and ten times as many about
    /// failures.
    pub fn new(per_second: u32) -> Self {
        Self { per_second, began: Micros::ZERO, good: 0, failures: 0, peers: 0 }
    }

    /// Changes the budget.
    pub fn set(&mut self, per_second: u32) {
        self.per_second = per_second;
    }

    /// Whether one more line is written.
    pub fn take(&mut self, now: Micros, kind: LineKind) -> bool {
        if now - self.began >= SECOND {
            *self = Self { began: now, good: 0, failures: 0, peers: 0, ..*self };
        }
        let (used, most) = match kind {
            LineKind::Good => (&mut self.good, self.per_second),
            LineKind::Peer => (&mut self.peers, self.per_second),
            LineKind::Failure => {
                (&mut self.failures, self.per_second.saturating_mul(FAILURES_PER_LINE))
            }
        };
        let fits = *used < most;
        *used += u32::from(fits);
        fits
    }
}
