//! A rate limit.

use std::time::Instant;

/// Token bucket that holds one second's worth of calls.
pub(super) struct RateLimit {
    per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    pub(super) fn new(per_s: u32, now: Instant) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), filled: now }
    }

    /// Takes a token; `false` where there is none.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.filled).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
