//! Limits the number of log lines written per second.
//!
//! Load pattern: more requests per second than the processor can log or an operator can read. The
//! log is read mainly for failures, so successful requests have a separate budget: with a shared
//! one, 200 successful answers in a second left no line for a failure in the same second. Failures
//! are bounded too, because a burst of rejections would write a thousand lines per second.

use galenapath_protocol::Micros;

/// Ratio of the failure budget to the success budget.
const FAILURES_PER_SUCCESS: u32 = 10;

const SECOND: Micros = Micros::from_secs(1);

/// The subject of a log line; each kind has its own budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLineKind {
    /// A request that was answered successfully and in time.
    Success,
    /// A request that failed, was rejected or was late.
    Failure,
    /// A state change of a peer instance. Every instance logs it, and hundreds of instances may
    /// join or leave at the same moment.
    Peer,
}

/// Log lines written in the current second, and the limits for each kind.
#[derive(Clone, Copy, Debug)]
pub struct LogLineBudget {
    /// Lines per second about successful requests.
    per_second: u32,
    /// Start of the current second.
    started_at: Micros,
    successes: u32,
    failures: u32,
    peers: u32,
}

impl LogLineBudget {
    /// Creates a budget of `per_second` lines about successful requests, the same number about peer
    /// instances and ten times as many about failures.
    pub fn new(per_second: u32) -> Self {
        Self { per_second, started_at: Micros::ZERO, successes: 0, failures: 0, peers: 0 }
    }

    /// Changes the budget; lines already written in the current second still count.
    pub fn set(&mut self, per_second: u32) {
        self.per_second = per_second;
    }

    /// Returns whether one more line may be written, and counts it if so.
    pub fn take(&mut self, now: Micros, kind: LogLineKind) -> bool {
        if now - self.started_at >= SECOND {
            *self = Self { started_at: now, successes: 0, failures: 0, peers: 0, ..*self };
        }
        let (used, limit) = match kind {
            LogLineKind::Success => (&mut self.successes, self.per_second),
            LogLineKind::Peer => (&mut self.peers, self.per_second),
            LogLineKind::Failure => {
                (&mut self.failures, self.per_second.saturating_mul(FAILURES_PER_SUCCESS))
            }
        };
        let fits = *used < limit;
        *used += u32::from(fits);
        fits
    }
}
