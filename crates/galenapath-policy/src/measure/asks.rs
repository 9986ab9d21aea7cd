//! The budget of questions that requests ask a backend server before they go there.
//!
//! Load pattern: requests come in bunches, and each is worth a question while the server's pace
//! changes within a request. [`ProbeBudget`](super::ProbeBudget) spaces regular probes evenly, which
//! would refuse the second request of a bunch its question although the second before was quiet. This
//! one saves up a second of its part, so that the sum over a second and more stays within the budget.

use galenapath_protocol::Micros;

/// Seconds of its part that a budget saves up.
const SAVED: f32 = 1.0;

/// One instance's part of the questions to one backend server, or of the requests that one can take which is
/// cold or names a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct AskBudget {
    /// Questions a second.
    rate: f32,
    /// Seconds of its part that it saves up.
    saved: f32,
    /// Questions that may be asked now; from 0 to `saved` times `rate`, at least one.
    tokens: f32,
    filled_at: Micros,
}

impl AskBudget {
    /// A part of `rate` questions a second, from `now` on. It starts with one question.
    pub fn new(now: Micros, rate: f64) -> Self {
        Self::saving(now, rate, SAVED)
    }

    /// The same, where `saved` seconds of the part are saved up.
    pub fn saving(now: Micros, rate: f64, saved: f32) -> Self {
        Self { rate: rate as f32, saved, tokens: 1.0, filled_at: now }
    }

    /// The same without a question to start with.
    pub fn empty(now: Micros, rate: f64, saved: f32) -> Self {
        Self { tokens: 0.0, ..Self::saving(now, rate, saved) }
    }

    /// Changes the part.
    pub fn set_rate(&mut self, now: Micros, rate: f64) {
        self.fill(now);
        self.rate = rate as f32;
        self.tokens = self.tokens.min(self.most());
    }

    /// Takes one question out of the budget; false when there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether there is one in the budget.
    pub fn has(&self, now: Micros) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Time until there is one in the budget; the longest there is where there will be none.
    pub fn next_in(&self, now: Micros) -> Micros {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        if missing > 0.0 && self.rate <= 0.0 {
            return Micros(u64::MAX);
        }
        // A whole microsecond on, so that the one is there by then.
        Micros((missing / self.rate.max(f32::MIN_POSITIVE) * 1e6).ceil() as u64)
    }

    fn most(&self) -> f32 {
        (self.rate * self.saved).max(1.0)
    }

    fn fill(&mut self, now: Micros) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
    }

    fn tokens_at(&self, now: Micros) -> f32 {
        let seconds = (now - self.filled_at).0 as f32 / 1e6;
        (self.tokens + seconds * self.rate).min(self.most())
    }
}
