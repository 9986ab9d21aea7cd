//! When a lookup is sent to a second backend server before the first has answered.
//!
//! Load pattern: a straggler among healthy backend servers. Without hedging each lookup that was
//! sent there before the balancer noticed waits for it. Hedges come out of the retry budget, so
//! that a slow service is not made slower by them; and they are only sent while admission has room
//! ([`Admission::has_room`](crate::Admission::has_room)), because in an overload each of them would
//! take the place of a first try.
//!
//! The delay is the 95th percentile of the latency: one lookup in twenty is then sent twice, half of
//! what the retry budget yields, and the other half is left for retries.

use super::budget::RetryBudget;
use super::rule::RequestKind;
use crate::quantile::QuantileEstimate;
use galenapath_protocol::Micros;

/// Thresholds of hedging.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Quantile of the latency after which the second copy is sent, 0 to 1.
    pub quantile: f64,
    /// Answers needed before anything is hedged.
    pub min_samples: u32,
    /// Shortest delay before a second copy.
    pub min_delay: Micros,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self { quantile: 0.95, min_samples: 100, min_delay: Micros::from_millis(1) }
    }
}

/// Decides when a lookup is hedged; one per service and class.
pub struct HedgePolicy {
    cfg: HedgeConfig,
    latency: QuantileEstimate,
}

impl HedgePolicy {
    /// A policy without latencies, which hedges nothing yet.
    pub fn new(cfg: HedgeConfig) -> Self {
        let latency = QuantileEstimate::new(cfg.quantile);
        Self { cfg, latency }
    }

    /// Takes in the latency of an answer, in full: that of a copy that was cancelled counts up to
    /// the answer of the other one.
    pub fn observe(&mut self, latency: Micros) {
        self.latency.observe(latency.0 as f64);
    }

    /// How long after its start a request gets a second copy; none means never.
    pub fn delay(&self, kind: RequestKind) -> Option<Micros> {
        let is_lookup = kind == RequestKind::Lookup;
        let delay = Micros(self.latency.value() as u64).max(self.cfg.min_delay);
        (is_lookup && self.latency.samples() >= self.cfg.min_samples).then_some(delay)
    }

    /// Whether the second copy may go out now: the delay has passed, the rest of the time suffices
    /// and the budget agrees; if so it is counted there.
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
