//! Running estimates of a service's latency, in constant memory.

use galenapath_protocol::Micros;

/// Relative move of a percentile for one sample.
const PERCENTILE_STEP: f32 = 0.05;
const MEAN_SAMPLES: f32 = 64.0;
/// Samples before requests are judged; the percentiles start from the mean of these, as for work of
/// exponential length.
const LEAST_SAMPLES: f32 = 32.0;
const FIRST_P90: f32 = 2.3;
const FIRST_P99: f32 = 4.6;
/// Least limits as multiples of the mean. With work of constant length the percentiles lie so close
/// to the mean that the way through the network alone would cross them.
const LEAST_LATE: f32 = 2.0;
const LEAST_VERY_LATE: f32 = 4.0;

/// How long a request took, or has been taking, beside the others of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    InTime,
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
    pub fn lateness(&self, latency: Micros) -> Lateness {
        if latency > self.very_late {
            Lateness::VeryLate
        } else if latency > self.late {
            Lateness::Late
        } else {
            Lateness::InTime
        }
    }
}

/// Mean, 90th and 99th percentile of the latency of all requests of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceLatency {
    mean: f32,
    /// Counts up to `MEAN_SAMPLES`.
    samples: f32,
    p90: Percentile<10>,
    p99: Percentile<1>,
}

impl ServiceLatency {
    /// `None` while there are too few samples.
    pub fn limits(&self) -> Option<LateLimits> {
        let late = self.p90.value.max(LEAST_LATE * self.mean);
        let very_late = self.p99.value.max(LEAST_VERY_LATE * self.mean);
        (self.mean > 0.0).then_some(LateLimits {
            late: Micros(late as u64),
            very_late: Micros(very_late as u64),
        })
    }

    /// Mean latency in microseconds; zero before the first sample.
    pub fn mean(&self) -> f32 {
        self.mean
    }

    /// Takes the latency of a request that ended.
    pub fn add(&mut self, latency: Micros) {
        let x = latency.0.max(1) as f32;
        self.samples = (self.samples + 1.0).min(MEAN_SAMPLES);
        self.mean += (x - self.mean) / self.samples;
        if self.samples <= LEAST_SAMPLES {
            self.p90.value = FIRST_P90 * self.mean;
            self.p99.value = FIRST_P99 * self.mean;
            return;
        }
        self.p90.add(x);
        self.p99.add(x);
    }
}

/// A value that `BEYOND` of a hundred samples exceed.
///
/// It moves up by a fixed part of itself for each sample beyond it and down for each one within,
/// so that one enormous sample cannot move it further than a slightly late one.
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
