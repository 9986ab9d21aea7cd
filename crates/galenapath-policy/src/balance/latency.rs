//! Running estimates of a service's latency, in constant memory.

use galenapath_protocol::Micros;

/// Share of requests that are beyond the estimated percentile.
const BEYOND: f32 = 0.1;
/// Relative move of the percentile for one sample.
const PERCENTILE_STEP: f32 = 0.05;
const MEAN_WEIGHT: f32 = 1.0 / 64.0;

/// Mean and 90th percentile of the latency of all requests of a service.
///
/// The percentile moves up by a fixed part of itself for each sample beyond it and down for each
/// one within, so that one enormous sample cannot move it further than a slightly late one.
#[derive(Debug, Default)]
pub(super) struct ServiceLatency {
    mean: f32,
    percentile: f32,
}

impl ServiceLatency {
    /// Limit beyond which a request counts as slow; `None` before the first sample.
    pub fn slow_limit(&self) -> Option<Micros> {
        (self.percentile > 0.0).then_some(Micros(self.percentile as u64))
    }

    /// Mean latency in microseconds.
    pub fn mean(&self) -> f32 {
        self.mean
    }

    /// Takes the latency of a request that ended.
    pub fn add(&mut self, latency: Micros) {
        let x = latency.0 as f32;
        if self.percentile <= 0.0 {
            self.mean = x;
            self.percentile = (x * 2.0).max(1.0);
            return;
        }
        self.mean += MEAN_WEIGHT * (x - self.mean);
        if x > self.percentile {
            self.add_beyond();
        } else {
            self.percentile *= 1.0 - PERCENTILE_STEP * BEYOND;
        }
    }

    /// Takes a request that is still in flight and beyond the percentile.
    pub fn add_beyond(&mut self) {
        self.percentile *= 1.0 + PERCENTILE_STEP * (1.0 - BEYOND);
    }
}
