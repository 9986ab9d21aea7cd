//! Distinguishes a lasting overload from a burst.
//!
//! Load pattern: more load than capacity, for longer than a burst. Arrivals then fill the queue up
//! to its limit, and every admitted request waits as long as allowed, although no more requests are
//! served than with a short queue. A burst, on the other hand, needs the whole allowed
//! wait, and so does a small service at normal load, where a queue of a few requests can by chance
//! last for tens of milliseconds. As in CoDel, an overload is detected when the wait does not fall
//! below a small fraction of the allowed wait for a whole interval.
//!
//! The interval is shorter than the allowed wait, so that the queue is cut before it has grown to
//! that, and longer than a burst that drains by itself.

use galenapath_protocol::Micros;

/// Detects a lasting overload from the predicted wait of a queue.
#[derive(Clone, Debug, Default)]
pub struct OverloadDetector {
    /// Start of the current period with a wait above the limit; `None` while it is below.
    above_since: Option<Micros>,
    /// Last time at which the wait was above the limit.
    last_above: Micros,
    /// Set once the wait has been above the limit for the interval, cleared once it has been below
    /// for as long.
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Returns whether there is a lasting overload.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Records whether the wait is above the limit at `now`. The state changes after the wait has
    /// stayed above or below for `interval`.
    pub fn observe(&mut self, now: Micros, is_above: bool, interval: Micros) {
        if is_above {
            self.last_above = now;
            let since = *self.above_since.get_or_insert(now);
            self.is_overloaded |= now - since >= interval;
        } else {
            self.above_since = None;
            self.is_overloaded &= now - self.last_above < interval;
        }
    }
}
