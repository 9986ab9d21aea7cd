//! Rate limit of calls.

use std::time::Instant;

/// Token bucket that holds the calls of one second.
pub(super) struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    pub(super) fn new(per_s: u32, now: Instant) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), refilled_at: now }
    }

    /// Takes a token; returns `false` if there is none.
    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        let added = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + added).min(self.per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
