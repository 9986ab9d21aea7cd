//! Requests a second.

use galenapath_protocol::Micros;

/// Length of one counting window: about as long as callers keep an address answer.
const WINDOW: Micros = Micros::from_secs(1);

/// Request counts of the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    window_start: Micros,
    count: u32,
    previous_count: u32,
}

impl Rate {
    /// Counts one request.
    pub(crate) fn with_request(self, now: Micros) -> Self {
        let advanced = self.advanced(now);
        Self { count: advanced.count + 1, ..advanced }
    }

    /// Requests a second: the larger of the previous window's count and the count so far.
    pub(crate) fn per_second(self, now: Micros) -> u32 {
        let advanced = self.advanced(now);
        advanced.previous_count.max(advanced.count)
    }

    fn advanced(self, now: Micros) -> Self {
        let age = now - self.window_start;
        if age < WINDOW {
            return self;
        }
        let previous_count = if age < Micros(WINDOW.0 * 2) { self.count } else { 0 };
        Self { window_start: now, count: 0, previous_count }
    }
}
