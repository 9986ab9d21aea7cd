//! The clock of an instance.

use galenapath_protocol::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. It is read off the wall clock once, at the start, and counts from the Unix
/// epoch, so that the key windows of instances with clocks that agree roughly have the same
/// numbers. A step of the wall clock does not move it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Wall-clock time at the origin, since the Unix epoch.
    at_origin: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let at_origin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), at_origin }
    }

    /// Time since the Unix epoch, as the clock counts it.
    pub fn now(self) -> Micros {
        (self.at_origin + self.origin.elapsed()).into()
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; 0 where the clock is set before it.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
