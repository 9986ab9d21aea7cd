//! The clock of an instance.

use galenapath_protocol::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix epoch. It reads the wall clock once, at the start,
/// so a later step of the wall clock does not affect it. Because all instances count from the
/// epoch, their key windows have the same numbers if their wall clocks roughly agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Wall-clock time at `origin`, since the Unix epoch.
    unix_time_at_origin: Duration,
}

impl Clock {
    /// Starts a clock from the current wall-clock time.
    pub fn start() -> Self {
        let unix_time_at_origin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix_time_at_origin }
    }

    /// Returns the time since the Unix epoch according to this clock.
    pub fn now(self) -> Micros {
        (self.unix_time_at_origin + self.origin.elapsed()).into()
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the wall clock is set
/// to a time before it.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
