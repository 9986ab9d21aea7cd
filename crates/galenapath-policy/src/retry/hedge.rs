//! When a lookup is sent to a second backend server before the first has answered.
//!
//! Load pattern: a straggler among healthy backend servers. Without hedging each lookup that was
//! sent there before the balancer noticed waits for it. Hedges come out of the retry budget, so
//! that a slow service is not made slower by them.

use super::budget::RetryBudget;
use super::rule::RequestKind;
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
    samples: u32,
    /// Estimate of the quantile, in microseconds.
    estimate: f64,
}

impl HedgePolicy {
    /// Part of the estimate by which one sample may move it.
    const STEP: f64 = 0.02;

    /// A policy without samples, which hedges nothing yet.
    pub fn new(cfg: HedgeConfig) -> Self {
        Self { cfg, samples: 0, estimate: 0.0 }
    }

    /// Takes in the latency of an answer. Leave out those of cancelled copies.
    pub fn observe(&mut self, latency: Micros) {
        let x = latency.0 as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.estimate = x;
        }
        let step = self.estimate.max(1.0) * Self::STEP;
        if x > self.estimate {
            self.estimate += step * self.cfg.quantile;
        } else {
            self.estimate -= step * (1.0 - self.cfg.quantile);
        }
    }

    /// How long after its start a request gets a second copy; none means never.
    pub fn delay(&self, kind: RequestKind) -> Option<Micros> {
        let is_lookup = kind == RequestKind::Lookup;
        let delay = Micros(self.estimate as u64).max(self.cfg.min_delay);
        (is_lookup && self.samples >= self.cfg.min_samples).then_some(delay)
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
