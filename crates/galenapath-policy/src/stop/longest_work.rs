//! A bound on the time that the work of a service takes.
//!
//! Load pattern: routes whose timeout is much longer than their work, at an instance that stops. By
//! the timeout alone none of their requests could be sure to end in time, and the instance would
//! reject its callers from the first moment of its stop. A mean does not help: work that takes ten
//! times as long is lost. The bound is twice the longest work of the last minute.

use super::RecentMax;
use galenapath_protocol::Micros;

/// Work may take this many times as long as the longest that was seen: a server that slows down
/// takes twice as long, and one that slows down further is avoided.
const FACTOR: u64 = 2;

/// The longest work of a service in the last half to whole minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongestWork(RecentMax);

impl LongestWork {
    /// Returns the maximum with the work of one more request included.
    #[must_use]
    pub fn with_sample(self, now: Micros, took: Micros) -> Self {
        Self(self.0.with_sample(now, took))
    }

    /// Upper bound on the work of the next request; `None` without a recent one.
    pub fn bound(self, now: Micros) -> Option<Micros> {
        let longest = self.0.get(now);
        (longest > Micros::ZERO).then_some(Micros(longest.0.saturating_mul(FACTOR)))
    }
}
