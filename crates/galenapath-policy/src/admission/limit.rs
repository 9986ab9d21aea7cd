//! How many requests the instance may have in flight for the service.
//!
//! Load pattern: load near or above capacity, and capacity that differs from what the instance was
//! told. The slots it was told are stale and it sees a sixteenth of the traffic. With the bare
//! number as the limit, rounding and uneven arrivals leave slots idle while requests wait; with no
//! limit, the queue builds up at the backend servers, where nothing can be taken back.
//!
//! The limit therefore moves around the told slots by two signals:
//! - Latency above the class's baseline means a queue at the backend servers. It moves the limit
//!   between the told slots and [`LimitConfig::headroom`] times as many, never below: a slow slot
//!   is still a slot, and cutting below would leave it idle.
//! - Requests shed or timed out mean that the told slots do not exist. These move the limit below,
//!   down to one.

use super::config::{LimitConfig, LimitRule};
use galenapath_protocol::Micros;

/// The adaptive limit on requests in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    cfg: LimitConfig,
    /// What the balancer says the instance may use. At least one.
    slots: f64,
    /// From one to `slots * cfg.headroom`.
    limit: f64,
    window: Window,
}

/// What was seen since the limit last moved.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Micros,
    /// Sum of the logarithms of latency over baseline.
    excess: f64,
    answered: u32,
    /// Requests shed or timed out.
    refused: u32,
    /// Whether the limit was reached.
    used_up: bool,
}

impl ConcurrencyLimit {
    /// Shortest time between two moves: several round trips, so that a move shows its effect.
    const WINDOW: Micros = Micros::from_millis(50);
    /// Fewest ended requests between two moves.
    const MIN_ENDED: u32 = 10;
    /// Spread of the logarithm of exponential work; one window's mean strays by it over the root
    /// of the count.
    const LN_SPREAD: f64 = 1.28;
    /// Share of refused requests that is taken for one bad server rather than lacking capacity.
    const REFUSED_TOLERATED: f64 = 0.1;

    /// A limit that starts at the given number of slots.
    pub fn new(cfg: LimitConfig, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self { cfg, slots, limit: slots, window: Window::default() }
    }

    /// The limit; at least one.
    pub fn get(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// The slots that the balancer says, or the limit if that is lower; at least one.
    pub fn slots(&self) -> u32 {
        self.slots.min(self.limit) as u32
    }

    /// Takes over what the balancer says; the limit keeps its ratio to it.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.limit = (self.limit * slots / self.slots).clamp(1.0, self.ceiling(slots));
        self.slots = slots;
    }

    /// Notes that a request had to wait because of the limit.
    pub fn used_up(&mut self) {
        self.window.used_up = true;
    }

    /// A request was answered; `excess` is the logarithm of its latency over the baseline.
    pub fn answered(&mut self, now: Micros, excess: f64) {
        self.window.answered += 1;
        self.window.excess += excess;
        self.move_if_due(now);
    }

    /// A request was shed or timed out.
    pub fn refused(&mut self, now: Micros) {
        self.window.refused += 1;
        self.move_if_due(now);
    }

    fn move_if_due(&mut self, now: Micros) {
        let ended = self.window.answered + self.window.refused;
        if now - self.window.started < Self::WINDOW || ended < Self::MIN_ENDED {
            return;
        }
        let window = self.window;
        self.window = Window { started: now, ..Window::default() };
        if self.cfg.rule == LimitRule::Adaptive {
            self.limit = self.moved(&window);
        }
    }

    fn moved(&self, window: &Window) -> f64 {
        let ended = f64::from(window.answered + window.refused);
        let refused = f64::from(window.refused) / ended;
        if refused > Self::REFUSED_TOLERATED {
            return (self.limit * (1.0 - refused / 2.0)).max(1.0);
        }
        if self.is_inflated(window) {
            let reduced = (self.limit * self.cfg.decrease).max(self.slots);
            return reduced.min(self.limit);
        }
        if !window.used_up {
            return self.limit;
        }
        let step = (self.limit * self.cfg.increase).max(1.0);
        (self.limit + step).min(self.ceiling(self.slots))
    }

    fn is_inflated(&self, window: &Window) -> bool {
        let count = f64::from(window.answered.max(1));
        let mean = window.excess / count;
        let noise = Self::LN_SPREAD / count.sqrt();
        mean > self.cfg.tolerated_inflation.ln() + noise
    }

    fn ceiling(&self, slots: f64) -> f64 {
        slots * self.cfg.headroom
    }
}
