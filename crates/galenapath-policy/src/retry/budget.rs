//! How many retries and hedges a service may send.
//!
//! Load pattern: a fault or an overload that makes a large part of the requests fail. Without a
//! budget every failure is sent again, the load doubles or trebles just when capacity is missing,
//! and stays there after the cause has gone.

use galenapath_protocol::Micros;

/// Thresholds of the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each first try, 0 to 1.
    pub share: f64,
    /// Retries per second allowed whatever the number of first tries.
    pub floor_per_second: f64,
    /// Most retries that may be saved up. At least one.
    pub burst: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self { share: 0.1, floor_per_second: 1.0, burst: 20.0 }
    }
}

/// Time for which part of a budget is left to callers who have come back, after one of them needed a retry.
const RESERVED_FOR: Micros = Micros::from_secs(2);

/// Part of the burst that is left to them: a retry on a first attempt gains less, since its caller may
/// come back.
const RESERVED_PART: f64 = 0.5;

/// What a retry means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chance {
    /// Its caller has not been here yet, and may come back.
    First,
    /// Its caller has come back: it is the last one.
    Last,
}

/// The retry budget of one service: a share of the first tries, and a small floor.
pub struct RetryBudget {
    cfg: RetryConfig,
    /// Retries that may be sent now; from 0 to `cfg.burst`.
    tokens: f64,
    /// When the floor was last added.
    filled_at: Micros,
    /// Until when part of the budget is left to callers who have come back.
    reserved_until: Micros,
}

impl RetryBudget {
    /// A budget that starts with one second of its floor.
    pub fn new(cfg: RetryConfig) -> Self {
        let tokens = cfg.floor_per_second.min(cfg.burst);
        Self { cfg, tokens, filled_at: Micros::ZERO, reserved_until: Micros::ZERO }
    }

    /// Changes the thresholds.
    pub fn set_config(&mut self, now: Micros, cfg: RetryConfig) {
        self.add_floor(now);
        self.tokens = self.tokens.min(cfg.burst);
        self.cfg = cfg;
    }

    /// A request was sent for the first time.
    pub fn first_try(&mut self, now: Micros) {
        self.add_floor(now);
        self.add(self.cfg.share);
    }

    /// Whether a retry or hedge may be sent now; if so it is counted.
    pub fn try_retry(&mut self, now: Micros) -> bool {
        self.try_retry_for(now, Chance::First)
    }

    /// The same for a request whose caller has come back, or has not.
    pub fn try_retry_for(&mut self, now: Micros, chance: Chance) -> bool {
        self.add_floor(now);
        let reserved = match chance {
            Chance::Last => {
                self.reserved_until = now + RESERVED_FOR;
                0.0
            }
            Chance::First if now < self.reserved_until => self.cfg.burst * RESERVED_PART,
            Chance::First => 0.0,
        };
        if self.tokens < 1.0 + reserved {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether the budget is so well filled that a retry that gains little may be sent.
    pub fn is_ample(&mut self, now: Micros) -> bool {
        self.add_floor(now);
        self.tokens >= self.cfg.burst * 0.6
    }

    fn add_floor(&mut self, now: Micros) {
        let elapsed = now - self.filled_at;
        self.filled_at = self.filled_at.max(now);
        self.add(elapsed.0 as f64 / 1e6 * self.cfg.floor_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.cfg.burst);
    }
}
