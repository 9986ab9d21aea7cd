//! Estimate of the rate at which a queue drains.

use galenapath_protocol::Micros;

/// Requests per microsecond that leave a queue while it is not empty.
///
/// The rate is observed rather than computed from the slots, because the throughput of a slot
/// depends on the backend servers, the mix of work and the other instances. Only periods with a
/// non-empty queue count, since an idle service shows nothing about its capacity. Observations
/// decay with the time constant [`DrainRate::DECAY_MICROS`]. The rate computed from the slots and
/// the mean latency is used as a prior until there are enough observations.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    /// Number of requests that left the queue, decayed.
    departures: f64,
    /// Microseconds during which the queue was not empty, decayed.
    busy_micros: f64,
    /// Time up to which `busy_micros` is counted; `None` while the queue is empty.
    counted_to: Option<Micros>,
}

impl DrainRate {
    /// Time after which an observation has decayed to 37%: long enough to cover tens of requests,
    /// short enough to detect a loss of capacity before the wait in the queue exceeds a target.
    const DECAY_MICROS: f64 = 100_000.0;
    /// Weight of the prior, in requests.
    const PRIOR_REQUESTS: f64 = 4.0;

    /// Records that the queue became non-empty (`true`) or empty.
    pub fn set_busy(&mut self, now: Micros, busy: bool) {
        self.count_to(now);
        self.counted_to = busy.then_some(now);
    }

    /// Records that a request left the queue for a backend server.
    pub fn record_departure(&mut self, now: Micros) {
        self.count_to(now);
        self.departures += 1.0;
    }

    /// Returns the requests per microsecond, with the rate of `slots` slots at the `mean` latency
    /// as the prior. Above zero.
    pub fn per_micro(&self, now: Micros, slots: u32, mean: Micros) -> f64 {
        let prior_rate = f64::from(slots.max(1)) / mean.0.max(1) as f64;
        let uncounted = self.counted_to.map_or(0, |at| (now - at).0) as f64;
        (self.departures + Self::PRIOR_REQUESTS)
            / (self.busy_micros + uncounted + Self::PRIOR_REQUESTS / prior_rate)
    }

    fn count_to(&mut self, now: Micros) {
        let Some(from) = self.counted_to else { return };
        let span = (now - from).0 as f64;
        let decay = (-span / Self::DECAY_MICROS).exp();
        self.departures *= decay;
        self.busy_micros = self.busy_micros * decay + span;
        self.counted_to = Some(now);
    }
}
