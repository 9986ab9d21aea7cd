//! Token bucket for load queries and for requests that a server accepts only at a limited rate.
//!
//! Load pattern: requests arrive in bunches, and each is worth a load query while a server's
//! slowdown changes within a request. [`ProbeBudget`](super::ProbeBudget) spaces probes evenly and
//! would deny the query of the second request in a bunch even after an idle second. This bucket
//! holds one second of its rate, so that the sum over a second or longer stays within the budget.

use galenapath_protocol::Micros;

/// Seconds of its rate that the bucket holds.
const BURST_SECS: f32 = 1.0;

/// One instance's share of the load queries to one backend server, or of the requests to a server
/// that is cold or rate-limited.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f32,
    /// Seconds of `rate` that the bucket holds.
    burst_secs: f32,
    /// Tokens available at `filled_at`: at least 0, at most `rate` times `burst_secs` or 1,
    /// whichever is more.
    tokens: f32,
    filled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket of `rate` tokens per second, filled with one token.
    pub fn new(now: Micros, rate: f64) -> Self {
        Self::with_burst(now, rate, BURST_SECS)
    }

    /// Like [`Self::new`], with room for `burst_secs` seconds of `rate`.
    pub fn with_burst(now: Micros, rate: f64, burst_secs: f32) -> Self {
        Self { rate: rate as f32, burst_secs, tokens: 1.0, filled_at: now }
    }

    /// Like [`Self::with_burst`], with no token at the start.
    pub fn empty(now: Micros, rate: f64, burst_secs: f32) -> Self {
        Self { tokens: 0.0, ..Self::with_burst(now, rate, burst_secs) }
    }

    /// Fills it with the tokens of `seconds`, as far as they fit.
    #[must_use]
    pub fn filled(self, seconds: f32) -> Self {
        Self { tokens: (self.rate * seconds).min(self.capacity()), ..self }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Micros, rate: f64) {
        self.refill(now);
        self.rate = rate as f32;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes one token; returns false when there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether a token is available.
    pub fn has_token(&self, now: Micros) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Number of whole tokens available.
    pub fn tokens(&self, now: Micros) -> usize {
        self.tokens_at(now) as usize
    }

    /// Time until a token is available; the maximum where the rate is zero and none will be.
    pub fn time_until_token(&self, now: Micros) -> Micros {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        if missing > 0.0 && self.rate <= 0.0 {
            return Micros(u64::MAX);
        }
        // Rounded up to a whole microsecond, so that the token is there by then.
        Micros((missing / self.rate.max(f32::MIN_POSITIVE) * 1e6).ceil() as u64)
    }

    fn capacity(&self) -> f32 {
        (self.rate * self.burst_secs).max(1.0)
    }

    fn refill(&mut self, now: Micros) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
    }

    fn tokens_at(&self, now: Micros) -> f32 {
        let seconds = (now - self.filled_at).0 as f32 / 1e6;
        (self.tokens + seconds * self.rate).min(self.capacity())
    }
}
