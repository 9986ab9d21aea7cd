//! When a lookup is hedged: sent to a second backend server before the first has answered.
//!
//! Load pattern: one slow backend server among healthy ones. Without hedging, each lookup that was
//! sent to it before the balancer detected the slowness has to wait for it. Hedges are taken from
//! the retry budget, so that they do not slow down a service that is already slow. They are only
//! sent while admission has free slots ([`Admission::has_room`](crate::Admission::has_room)),
//! because in an overload each hedge would take the slot of a first attempt.
//!
//! The delay is the 95th percentile of the latency: one lookup in twenty is then sent twice. This
//! uses half of the retry budget and leaves the other half for retries.

use super::budget::RetryBudget;
use super::rule::RequestKind;
use crate::quantile::QuantileEstimate;
use galenapath_protocol::Micros;

/// Settings of hedging.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Latency quantile after which the hedge is sent, 0 to 1.
    pub quantile: f64,
    /// Number of answers needed before any request is hedged.
    pub min_samples: u32,
    /// Minimum delay before a hedge.
    pub min_delay: Micros,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self { quantile: 0.95, min_samples: 100, min_delay: Micros::from_millis(1) }
    }
}

/// Decides when a lookup is hedged. There is one policy per service and class.
pub struct HedgePolicy {
    cfg: HedgeConfig,
    latency: QuantileEstimate,
}

impl HedgePolicy {
    /// Creates a policy that hedges nothing until it has observed enough latencies.
    pub fn new(cfg: HedgeConfig) -> Self {
        let latency = QuantileEstimate::new(cfg.quantile);
        Self { cfg, latency }
    }

    /// Records the latency of an answer. The latency of a send that was cancelled is recorded too,
    /// up to the time at which the other send was answered.
    pub fn observe(&mut self, latency: Micros) {
        self.latency.observe(latency.0 as f64);
    }

    /// Returns the time from the start of a request to its hedge; `None` if it is not hedged.
    pub fn delay(&self, kind: RequestKind) -> Option<Micros> {
        let is_lookup = kind == RequestKind::Lookup;
        let delay = Micros(self.latency.value() as u64).max(self.cfg.min_delay);
        (is_lookup && self.latency.samples() >= self.cfg.min_samples).then_some(delay)
    }

    /// Returns whether the hedge may be sent now: the delay has passed, the deadline has not, and
    /// the retry budget allows it. If so, the hedge is taken from the budget.
    pub fn try_hedge(
        &self,
        now: Micros,
        started: Micros,
        deadline: Micros,
        kind: RequestKind,
        budget: &mut RetryBudget,
    ) -> bool {
        let Some(delay) = self.delay(kind) else { return false };
        now >= started + delay && now < deadline && budget.try_retry(now)
    }
}
