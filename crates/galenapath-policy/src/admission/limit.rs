//! How many requests the instance may have in flight for the service.
//!
//! Load pattern: load near or above capacity. What the balancer says is the instance's own requests
//! in flight and the slots that look free. That alone leaves slots idle, each for the round trip
//! between the end of one request and the start of the next, and it builds up a queue at the
//! backend servers, where nothing can be taken back, when reports are late or lie.
//!
//! The limit is what the balancer says, but at least a level that the instance finds by itself,
//! and at most twice that level while latency or refusals speak against what the balancer says:
//! - The level rises while it is used up and latency is near the class's baseline. Before there is a
//!   baseline it stays at one, so that the baseline is taken without a queue.
//! - Latency well above the baseline means a queue at the backend servers, or slower work. It lowers
//!   the level, but not below a number in flight that was fine in the last minutes: slower work
//!   does not get faster with fewer requests, and would otherwise drive the level down to one.
//! - Requests shed or timed out mean that slots do not exist. They lower the level without a
//!   floor, and what was fine before is forgotten.

use super::config::{LimitConfig, LimitRule};
use super::recent::RecentExtreme;
use galenapath_protocol::Micros;

/// The adaptive limit on requests in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    cfg: LimitConfig,
    /// What the balancer says the instance may use. At least one.
    told: f64,
    /// All slots of the service, once known. At least one.
    service_slots: Option<f64>,
    /// What the instance found. At least one.
    level: f64,
    /// Until when what the balancer says is doubted, because latency or refusals speak against it.
    doubted_until: Micros,
    /// The time of the last call.
    now: Micros,
    /// Most requests in flight of the windows with latency near the baseline.
    proven: RecentExtreme,
    window: Window,
}

/// What was seen since the level last moved.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Micros,
    /// Sum of the logarithms of latency over baseline.
    excess: f64,
    /// Latencies in `excess`; those without a baseline are not.
    compared: u32,
    answered: u32,
    /// Requests shed or timed out.
    refused: u32,
    /// Most requests in flight.
    peak: u32,
}

impl Window {
    /// Spread of the logarithm of exponential work; one window's mean strays by it over the root
    /// of the count.
    const LN_SPREAD: f64 = 1.28;

    /// Mean latency over baseline, less what chance explains. One without latencies.
    fn inflation(&self) -> f64 {
        let count = f64::from(self.compared.max(1));
        (self.excess / count - Self::LN_SPREAD / count.sqrt()).exp()
    }
}

impl ConcurrencyLimit {
    /// Shortest time between two moves: several round trips, so that a move shows its effect.
    const WINDOW: Micros = Micros::from_millis(50);
    /// Time after a loss of slots in which nothing is learned: the latency does not show it yet.
    const SETTLE: Micros = Micros::from_millis(100);
    /// Fewest ended requests between two moves.
    const MIN_ENDED: u32 = 10;
    /// Share of refused requests that is let pass. With a tenth, what backend servers with short
    /// queues shed by chance is retried within the retry budget; with a fiftieth, a quarter of
    /// their slots stayed empty.
    const REFUSED_TOLERATED: f64 = 0.1;
    /// Part of the level from which it counts as used up.
    const USED_UP: f64 = 0.9;
    /// How far what the balancer says may exceed the level, as a multiple of it: room for a burst
    /// into slots that are known to be free.
    const TOLD_BEYOND: f64 = 2.0;
    /// Latency over baseline that speaks against what the balancer says. More than what moves the
    /// level, because a wrong doubt holds back an instance whose load has just grown.
    const DOUBTED_INFLATION: f64 = 2.0;
    /// How long a doubt lasts.
    const DOUBT_LASTS: Micros = Micros::from_secs(1);

    /// A limit that starts at the given number of slots.
    pub fn new(cfg: LimitConfig, slots: u32) -> Self {
        Self {
            cfg,
            told: f64::from(slots.max(1)),
            service_slots: None,
            level: 1.0,
            doubted_until: Micros::ZERO,
            now: Micros::ZERO,
            proven: RecentExtreme::greatest(),
            window: Window::default(),
        }
    }

    /// The limit; at least one.
    pub fn get(&self) -> u32 {
        match self.cfg.rule {
            LimitRule::Fixed => self.told as u32,
            LimitRule::Adaptive => self.told.clamp(self.level, self.most()) as u32,
        }
    }

    fn most(&self) -> f64 {
        if self.has_doubt(self.now) { self.level * Self::TOLD_BEYOND } else { f64::INFINITY }
    }

    fn has_doubt(&self, now: Micros) -> bool {
        now < self.doubted_until
    }

    /// The part of the limit that stands for slots the balancer knows of; at least one.
    pub fn known_slots(&self) -> u32 {
        self.told.min(f64::from(self.get())) as u32
    }

    /// Takes over what the balancer says.
    pub fn set_told(&mut self, now: Micros, slots: u32) {
        self.now = now;
        self.told = f64::from(slots.max(1));
    }

    /// Takes over how many slots the service has altogether. When they become fewer, so does what
    /// was fine before.
    pub fn set_service_slots(&mut self, now: Micros, slots: u32) {
        let slots = f64::from(slots.max(1));
        let part = self.service_slots.map_or(1.0, |before| slots / before);
        self.service_slots = Some(slots);
        if part < 1.0 {
            self.level = (self.level * part).max(1.0);
            self.proven.scale(part);
            self.window = Window { started: now + Self::SETTLE, ..Window::default() };
        }
    }

    /// A request was answered; `excess` is the logarithm of its latency over the baseline if there
    /// is one, `in_flight` counts it as well.
    pub fn answered(&mut self, now: Micros, excess: Option<f64>, in_flight: u32) {
        self.window.answered += 1;
        self.window.compared += u32::from(excess.is_some());
        self.window.excess += excess.unwrap_or(0.0);
        self.ended(now, in_flight);
    }

    /// A request was shed or timed out; `in_flight` counts it as well.
    pub fn refused(&mut self, now: Micros, in_flight: u32) {
        self.window.refused += 1;
        self.ended(now, in_flight);
    }

    fn ended(&mut self, now: Micros, in_flight: u32) {
        if now < self.window.started {
            self.window = Window { started: self.window.started, ..Window::default() };
            return;
        }
        self.window.peak = self.window.peak.max(in_flight);
        let ended = self.window.answered + self.window.refused;
        if now - self.window.started < Self::WINDOW || ended < Self::MIN_ENDED {
            return;
        }
        let window = self.window;
        self.window = Window { started: now, ..Window::default() };
        self.move_level(now, &window);
    }

    fn move_level(&mut self, now: Micros, window: &Window) {
        let peak = f64::from(window.peak);
        let refused = f64::from(window.refused) / f64::from(window.answered + window.refused);
        let inflation = window.inflation();
        if refused > Self::REFUSED_TOLERATED {
            self.proven.clear();
            self.doubt(now, peak);
            self.level = (self.level.min(peak) * (1.0 - refused / 2.0)).max(1.0);
        } else if inflation > self.cfg.tolerated_inflation {
            if inflation > Self::DOUBTED_INFLATION {
                self.doubt(now, peak);
            }
            let floor = self.proven.get().unwrap_or(1.0);
            self.level = (self.level * self.cfg.decrease).max(floor);
        } else if window.compared > 0 {
            self.proven.note(now, peak);
            self.grow(peak);
        }
    }

    /// From the first doubt on, the level counts; until then it may not have been learned.
    fn doubt(&mut self, now: Micros, peak: f64) {
        if !self.has_doubt(now) {
            self.level = self.level.max(peak);
        }
        self.doubted_until = now + Self::DOUBT_LASTS;
    }

    fn grow(&mut self, peak: f64) {
        if peak >= self.level * Self::USED_UP {
            self.level = self.level.max(peak);
            self.level += (self.level * self.cfg.increase).max(1.0);
        }
    }
}
