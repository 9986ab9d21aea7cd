//! Streaming estimates of a service's latency, in constant memory.

use galenapath_protocol::Micros;

/// Relative step of a percentile estimate for one sample.
const PERCENTILE_STEP: f32 = 0.05;
/// Samples after which the mean becomes a moving average.
const MAX_MEAN_SAMPLES: f32 = 64.0;
/// Samples from whose mean the percentiles are initialized, assuming exponentially distributed
/// work.
const MIN_SAMPLES: f32 = 32.0;
const INITIAL_P90_FACTOR: f32 = 2.3;
const INITIAL_P99_FACTOR: f32 = 4.6;
/// Minimum limits as multiples of the mean. With work of constant length the percentiles are so
/// close to the mean that network delay alone would exceed them.
const MIN_LATE_FACTOR: f32 = 2.0;
const MIN_VERY_LATE_FACTOR: f32 = 4.0;

/// Latency, or age while in flight, of a request relative to the other requests of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    OnTime,
    /// Beyond the 90th percentile.
    Late,
    /// Beyond the 99th percentile.
    VeryLate,
}

/// Ages at which a request in flight becomes late and very late.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateLimits {
    pub late: Micros,
    pub very_late: Micros,
}

impl LateLimits {
    /// Classifies a latency or an age.
    pub fn lateness(&self, latency: Micros) -> Lateness {
        if latency > self.very_late {
            Lateness::VeryLate
        } else if latency > self.late {
            Lateness::Late
        } else {
            Lateness::OnTime
        }
    }
}

/// Mean, 90th and 99th percentile of the latency of all requests of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceLatency {
    mean: f32,
    /// Number of samples, at most `MAX_MEAN_SAMPLES`.
    samples: f32,
    p90: Percentile<10>,
    p99: Percentile<1>,
}

impl ServiceLatency {
    /// Limits for late requests; `None` before the first sample.
    pub fn limits(&self) -> Option<LateLimits> {
        let late = self.p90.value.max(MIN_LATE_FACTOR * self.mean);
        let very_late = self.p99.value.max(MIN_VERY_LATE_FACTOR * self.mean);
        (self.mean > 0.0).then_some(LateLimits {
            late: Micros(late as u64),
            very_late: Micros(very_late as u64),
        })
    }

    /// Mean latency in microseconds; zero before the first sample.
    pub fn mean(&self) -> f32 {
        self.mean
    }

    /// Adds the latency of a request that ended.
    pub fn add(&mut self, latency: Micros) {
        let x = latency.0.max(1) as f32;
        self.samples = (self.samples + 1.0).min(MAX_MEAN_SAMPLES);
        self.mean += (x - self.mean) / self.samples;
        if self.samples <= MIN_SAMPLES {
            self.p90.value = INITIAL_P90_FACTOR * self.mean;
            self.p99.value = INITIAL_P99_FACTOR * self.mean;
            return;
        }
        self.p90.add(x);
        self.p99.add(x);
    }
}

/// Estimate of the value that `BEYOND` percent of the samples exceed.
///
/// A sample above the estimate raises it by a fixed fraction and a sample below lowers it, so an
/// extreme outlier has no more effect than a sample just above the estimate.
#[derive(Debug, Default)]
struct Percentile<const BEYOND: u32> {
    value: f32,
}

impl<const BEYOND: u32> Percentile<BEYOND> {
    fn add(&mut self, x: f32) {
        let beyond = BEYOND as f32 / 100.0;
        if x > self.value {
            self.value *= 1.0 + PERCENTILE_STEP * (1.0 - beyond);
        } else {
            self.value *= 1.0 - PERCENTILE_STEP * beyond;
        }
    }
}
