//! How fast a queue drains.

use galenapath_protocol::Micros;

/// Requests per microsecond that leave a queue while it holds any.
///
/// Measured, because what a slot yields depends on the backend servers, on the mix of the work and
/// on the other instances. Only the time during which something waited counts: an idle service
/// says nothing about what it can do. Older measurements fade within [`DrainRate::MEMORY`], and
/// what the slots and the mean latency promise stands in until enough is measured.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    /// Requests that left, faded.
    left: f64,
    /// Microseconds during which something waited, faded.
    busy: f64,
    /// Up to when `busy` is counted; none while nothing waits.
    counted_to: Option<Micros>,
}

impl DrainRate {
    /// Time after which a measurement has faded to 37%: long enough for tens of requests, short
    /// enough to see a loss of capacity before the queue's wait has used up a target.
    const MEMORY: f64 = 100_000.0;
    /// Requests for which the promise stands in.
    const PROMISED: f64 = 4.0;

    /// Something started to wait, or nothing waits any more.
    pub fn set_busy(&mut self, now: Micros, busy: bool) {
        self.count_to(now);
        self.counted_to = busy.then_some(now);
    }

    /// A request left the queue for a backend server.
    pub fn left(&mut self, now: Micros) {
        self.count_to(now);
        self.left += 1.0;
    }

    /// Requests per microsecond, given what `slots` slots of `mean` latency promise. Above zero.
    pub fn per_micro(&self, now: Micros, slots: u32, mean: Micros) -> f64 {
        let promised = f64::from(slots.max(1)) / mean.0.max(1) as f64;
        let uncounted = self.counted_to.map_or(0, |at| (now - at).0) as f64;
        (self.left + Self::PROMISED) / (self.busy + uncounted + Self::PROMISED / promised)
    }

    fn count_to(&mut self, now: Micros) {
        let Some(from) = self.counted_to else { return };
        let span = (now - from).0 as f64;
        let fade = (-span / Self::MEMORY).exp();
        self.left *= fade;
        self.busy = self.busy * fade + span;
        self.counted_to = Some(now);
    }
}
