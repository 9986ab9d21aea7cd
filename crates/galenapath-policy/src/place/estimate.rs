//! Estimates of the work time and of the effect of contention.

use galenapath_protocol::Micros;

/// Number of answers after which each further one has the same weight. Earlier answers weigh more,
/// so that an instance that has just started does not take ordinary answers for late ones.
const WORK_WINDOW: f32 = 32.0;

/// The same for the contention ratio, a property of the servers that does not change with their
/// load. With 32, random variation raised the ratio above 1.2 where there was no contention, and a
/// third of the slots was left free.
const CONTENTION_WINDOW: f32 = 128.0;

/// Weight of the initial assumption in answers, so that an outlier among the first answers does not
/// decide alone.
const PRIOR_WEIGHT: f32 = 8.0;

/// Fraction of the target that a request is assumed to run before the first answer. Operators set
/// targets that leave room for a wait and for work that takes longer than usual.
const ASSUMED_WORK_FRACTION: f32 = 0.4;

/// Limit of the ratio of an answer's time to the mean, in both directions. A single outlier counts
/// little, while many show that the estimate is wrong.
pub(super) const MAX_RATIO: f32 = 4.0;

/// Estimates from the answers of servers that are not slow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Mean time of an answer from a server without contention.
    work: Micros,
    /// Number of answers in `work`, including the weight of the assumption.
    work_count: f32,
    /// Ratio of the time of an answer under contention to `work`.
    contention: f32,
    /// Number of answers in `contention`, including the weight of the assumption.
    contention_count: f32,
}

impl Estimate {
    pub(super) fn new(assumed: Micros) -> Self {
        Self {
            work: assumed,
            work_count: PRIOR_WEIGHT,
            contention: 1.0,
            contention_count: PRIOR_WEIGHT,
        }
    }

    pub(super) fn work(&self) -> Micros {
        self.work
    }

    pub(super) fn contention(&self) -> f32 {
        self.contention
    }

    /// Derives the work time from the `target` of a route, as long as there was no answer.
    pub(super) fn assume(&mut self, target: Micros) {
        if self.work_count <= PRIOR_WEIGHT {
            self.work = Micros((target.0 as f32 * ASSUMED_WORK_FRACTION) as u64);
        }
    }

    /// Ratio of an answer's time to the mean work time.
    pub(super) fn ratio(&self, latency: Micros) -> f32 {
        latency.0 as f32 / (self.work.0 as f32).max(1.0)
    }

    /// Adds an answer of a server that is not slow. Slow periods and contention must not raise the
    /// work time, or requests would be rejected because earlier ones were late.
    pub(super) fn learn(&mut self, latency: Micros, is_contended: bool) {
        let ratio = self.ratio(latency).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        if is_contended {
            self.contention_count = (self.contention_count + 1.0).min(CONTENTION_WINDOW);
            self.contention += (ratio - self.contention) / self.contention_count;
        } else {
            self.work_count = (self.work_count + 1.0).min(WORK_WINDOW);
            let work = self.work.0 as f32;
            self.work = Micros((work + (ratio - 1.0) * work / self.work_count) as u64);
        }
    }
}
