//! Adaptive limit on the requests that the instance may have in flight for the service.
//!
//! Load pattern: load near or above capacity. The balancer states a number of slots: the instance's
//! own requests in flight plus the slots that appear to be free. Used as the limit, this number
//! leaves each slot idle for the round trip between the end of one request and the start of the
//! next. When load reports are late or wrong, it also builds up a queue at the backend servers,
//! from which requests cannot be taken back.
//!
//! The limit is the balancer's number, but at least a limit that the instance learns itself, and at
//! most twice the learned limit while latency or shed requests contradict the balancer:
//! - The learned limit grows while it is used up and latency is near the class's baseline. It stays
//!   at one until there is a baseline, so that the baseline is observed without a queue.
//! - Latency well above the baseline means a queue at the backend servers, or slower work. It
//!   lowers the learned limit, but not below a number of requests in flight that had normal latency
//!   in the last minutes: slower work does not get faster with fewer requests, and without this
//!   floor it would lower the limit to one.
//! - Requests that are shed or time out mean that the slots do not exist. They lower the learned
//!   limit without a floor, and the floor is reset.

use super::config::{LimitConfig, LimitRule};
use super::recent::RecentExtreme;
use galenapath_protocol::Micros;

/// The adaptive limit on requests in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    cfg: LimitConfig,
    /// Number of slots that the balancer states. At least one.
    balancer_slots: f64,
    /// Number of slots of the service on all backend servers, once known. At least one.
    service_slots: Option<f64>,
    /// The limit that the instance has learned. At least one.
    learned: f64,
    /// Time until which the limit is capped because latency or shed requests contradict the
    /// balancer.
    capped_until: Micros,
    /// Time of the last call of [`Self::set_balancer_slots`].
    now: Micros,
    /// Maximum number of requests in flight over the windows with latency near the baseline.
    normal_peak: RecentExtreme,
    window: Window,
}

/// Observations since the learned limit was last updated.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_at: Micros,
    /// Sum of the logarithms of the ratio of latency to baseline.
    excess_sum: f64,
    /// Number of latencies in `excess_sum`: those of classes that have a baseline.
    compared: u32,
    answered: u32,
    /// Number of requests that were shed or timed out.
    shed: u32,
    /// Maximum number of requests in flight.
    peak: u32,
}

impl Window {
    /// Standard deviation of the logarithm of exponential work. The standard error of a window's
    /// mean is this divided by the square root of the count.
    const LN_STD_DEV: f64 = 1.28;

    /// Returns the mean ratio of latency to baseline, reduced by one standard error. Without
    /// latencies it is below one.
    fn inflation(&self) -> f64 {
        let count = f64::from(self.compared.max(1));
        (self.excess_sum / count - Self::LN_STD_DEV / count.sqrt()).exp()
    }
}

impl ConcurrencyLimit {
    /// Minimum time between two updates: several round trips, so that the effect of an update is
    /// observed before the next.
    const MIN_WINDOW: Micros = Micros::from_millis(50);
    /// Time after a loss of slots in which observations are ignored, because the latency does not
    /// reflect the loss yet.
    const SETTLE_TIME: Micros = Micros::from_millis(100);
    /// Minimum number of ended requests between two updates.
    const MIN_ENDED: u32 = 10;
    /// Tolerated share of requests that are shed or time out. A tenth allows for what backend
    /// servers with short queues shed by chance, which the retry budget can cover. With a fiftieth,
    /// a quarter of their slots stayed empty.
    const TOLERATED_SHED_SHARE: f64 = 0.1;
    /// Fraction of the learned limit from which it counts as used up.
    const USED_UP_RATIO: f64 = 0.9;
    /// Cap of the limit as a multiple of the learned limit. It allows for a burst into slots that
    /// are known to be free.
    const CAP_RATIO: f64 = 2.0;
    /// Ratio of latency to baseline above which the limit is capped. It is higher than the ratio
    /// that lowers the learned limit, because an unjustified cap restricts an instance whose load
    /// has just grown.
    const CAP_INFLATION: f64 = 2.0;
    /// How long the limit stays capped.
    const CAP_DURATION: Micros = Micros::from_secs(1);

    /// Creates a limit that starts at the given number of slots.
    pub fn new(cfg: LimitConfig, slots: u32) -> Self {
        Self {
            cfg,
            balancer_slots: f64::from(slots.max(1)),
            service_slots: None,
            learned: 1.0,
            capped_until: Micros::ZERO,
            now: Micros::ZERO,
            normal_peak: RecentExtreme::max(),
            window: Window::default(),
        }
    }

    /// Returns the limit; at least one.
    pub fn get(&self) -> u32 {
        match self.cfg.rule {
            LimitRule::Fixed => self.balancer_slots as u32,
            LimitRule::Adaptive => self.balancer_slots.clamp(self.learned, self.cap()) as u32,
        }
    }

    fn cap(&self) -> f64 {
        if self.is_capped(self.now) { self.learned * Self::CAP_RATIO } else { f64::INFINITY }
    }

    fn is_capped(&self, now: Micros) -> bool {
        now < self.capped_until
    }

    /// Returns the part of the limit that is backed by slots known to the balancer; at least one.
    pub fn known_slots(&self) -> u32 {
        self.balancer_slots.min(f64::from(self.get())) as u32
    }

    /// Sets the number of slots that the balancer states.
    pub fn set_balancer_slots(&mut self, now: Micros, slots: u32) {
        self.now = now;
        self.balancer_slots = f64::from(slots.max(1));
    }

    /// Sets the number of slots of the service on all backend servers. When it shrinks, the learned
    /// limit and its floor shrink in proportion.
    pub fn set_service_slots(&mut self, now: Micros, slots: u32) {
        let slots = f64::from(slots.max(1));
        let ratio = self.service_slots.map_or(1.0, |before| slots / before);
        self.service_slots = Some(slots);
        if ratio < 1.0 {
            self.learned = (self.learned * ratio).max(1.0);
            self.normal_peak.scale(ratio);
            self.window = Window { started_at: now + Self::SETTLE_TIME, ..Window::default() };
        }
    }

    /// Records an answered request. `excess` is the logarithm of the ratio of its latency to the
    /// baseline, if there is one; `in_flight` includes the request.
    pub fn record_answer(&mut self, now: Micros, excess: Option<f64>, in_flight: u32) {
        self.window.answered += 1;
        self.window.compared += u32::from(excess.is_some());
        self.window.excess_sum += excess.unwrap_or(0.0);
        self.record_end(now, in_flight);
    }

    /// Records a request that was shed or timed out; `in_flight` includes the request.
    pub fn record_shed(&mut self, now: Micros, in_flight: u32) {
        self.window.shed += 1;
        self.record_end(now, in_flight);
    }

    fn record_end(&mut self, now: Micros, in_flight: u32) {
        if now < self.window.started_at {
            self.window = Window { started_at: self.window.started_at, ..Window::default() };
            return;
        }
        self.window.peak = self.window.peak.max(in_flight);
        let ended = self.window.answered + self.window.shed;
        if now - self.window.started_at < Self::MIN_WINDOW || ended < Self::MIN_ENDED {
            return;
        }
        let window = self.window;
        self.window = Window { started_at: now, ..Window::default() };
        self.update(now, &window);
    }

    fn update(&mut self, now: Micros, window: &Window) {
        let peak = f64::from(window.peak);
        let shed_share = f64::from(window.shed) / f64::from(window.answered + window.shed);
        let inflation = window.inflation();
        if shed_share > Self::TOLERATED_SHED_SHARE {
            self.normal_peak.clear();
            self.start_cap(now, peak);
            self.learned = (self.learned.min(peak) * (1.0 - shed_share / 2.0)).max(1.0);
        } else if inflation > self.cfg.tolerated_inflation {
            if inflation > Self::CAP_INFLATION {
                self.start_cap(now, peak);
            }
            let floor = self.normal_peak.get().unwrap_or(1.0);
            self.learned = (self.learned * self.cfg.decrease).max(floor);
        } else if window.compared > 0 {
            self.normal_peak.observe(now, peak);
            self.grow(peak);
        }
    }

    /// Caps the limit for [`Self::CAP_DURATION`].
    ///
    /// Without a cap the learned limit may have had no effect and lag behind the requests in
    /// flight, so it is first raised to their peak.
    fn start_cap(&mut self, now: Micros, peak: f64) {
        if !self.is_capped(now) {
            self.learned = self.learned.max(peak);
        }
        self.capped_until = now + Self::CAP_DURATION;
    }

    fn grow(&mut self, peak: f64) {
        if peak >= self.learned * Self::USED_UP_RATIO {
            self.learned = self.learned.max(peak);
            self.learned += (self.learned * self.cfg.increase).max(1.0);
        }
    }
}
