//! Limits the retries and hedges that an instance sends to a service.
//!
//! Load pattern: a fault or an overload makes a large part of the requests fail. Without a budget
//! every failed request is retried, which doubles or triples the load while capacity is short, and
//! keeps the load high after the cause is gone.

use galenapath_protocol::Micros;

/// Settings of the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed per first attempt, 0 to 1.
    pub ratio: f64,
    /// Retries allowed per second regardless of the number of first attempts.
    pub floor_per_second: f64,
    /// Maximum number of accumulated retries. At least one.
    pub burst: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self { ratio: 0.1, floor_per_second: 1.0, burst: 20.0 }
    }
}

/// How long part of the budget stays reserved for repeated requests after one of them needed a
/// retry.
const RESERVATION_TIME: Micros = Micros::from_secs(2);

/// Fraction of the burst that is reserved for repeated requests. A retry of a request that the
/// caller sent for the first time is worth less, because the caller may still send it again.
const RESERVED_FRACTION: f64 = 0.5;

/// Whether the caller sends a request for the first time or again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerAttempt {
    /// The caller has not sent the request before and may send it again if it fails.
    First,
    /// The caller has sent the request before; it is not expected to send it again.
    Repeated,
}

/// Token bucket for the retries of one service, filled by first attempts and at a small constant
/// rate.
pub struct RetryBudget {
    cfg: RetryConfig,
    /// Retries that may be sent now, from 0 to `cfg.burst`.
    tokens: f64,
    /// When tokens were last added at the constant rate.
    refilled_at: Micros,
    /// End of the period in which part of the budget is reserved for repeated requests.
    reserved_until: Micros,
}

impl RetryBudget {
    /// Creates a budget that starts with one second's worth of `floor_per_second`.
    pub fn new(cfg: RetryConfig) -> Self {
        let tokens = cfg.floor_per_second.min(cfg.burst);
        Self { cfg, tokens, refilled_at: Micros::ZERO, reserved_until: Micros::ZERO }
    }

    /// Replaces the settings; accumulated retries beyond the new burst are dropped.
    pub fn set_config(&mut self, now: Micros, cfg: RetryConfig) {
        self.add_floor(now);
        self.tokens = self.tokens.min(cfg.burst);
        self.cfg = cfg;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.add_floor(now);
        self.add(self.cfg.ratio);
    }

    /// Returns whether a retry or hedge may be sent now, and takes it from the budget if so.
    pub fn try_retry(&mut self, now: Micros) -> bool {
        self.try_retry_for(now, CallerAttempt::First)
    }

    /// Like [`Self::try_retry`], but lets repeated requests use the reserved part of the budget.
    pub fn try_retry_for(&mut self, now: Micros, attempt: CallerAttempt) -> bool {
        self.add_floor(now);
        let reserved = match attempt {
            CallerAttempt::Repeated => {
                self.reserved_until = now + RESERVATION_TIME;
                0.0
            }
            CallerAttempt::First if now < self.reserved_until => self.cfg.burst * RESERVED_FRACTION,
            CallerAttempt::First => 0.0,
        };
        if self.tokens < 1.0 + reserved {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns whether enough budget is left for retries of low value.
    pub fn is_ample(&mut self, now: Micros) -> bool {
        self.add_floor(now);
        self.tokens >= self.cfg.burst * 0.6
    }

    fn add_floor(&mut self, now: Micros) {
        let elapsed = now - self.refilled_at;
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.0 as f64 / 1e6 * self.cfg.floor_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.cfg.burst);
    }
}
