//! The clock of an instance.

use galenapath_protocol::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the start of the instance; the same origin on every thread.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Time since the start.
    pub fn now(self) -> Micros {
        self.origin.elapsed().into()
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; 0 where the clock is set before it.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
