//! Network cost of reaching a backend server: the round trip within the failure domain and the
//! extra round trip to another one.

use galenapath_protocol::Micros;

/// Round trip within a failure domain.
const LOCAL_ROUND_TRIP_US: f32 = 200.0;
/// Extra round trip to another failure domain until there are enough samples to estimate it.
const DEFAULT_CROSS_DOMAIN_US: f32 = 1_000.0;
/// Upper bound of the estimated extra round trip.
const MAX_CROSS_DOMAIN_US: f32 = 20_000.0;
/// Local and remote samples needed, each, before the estimate is used.
const MIN_SAMPLES: f32 = 8.0;
/// Samples after which the mean becomes a moving average.
const MAX_MEAN_SAMPLES: f32 = 64.0;
/// Relative increase of a minimum with each sample, which lets it rise when latency rises.
const MIN_DRIFT: f32 = 1.0 / 4096.0;

/// Estimates the extra cost of a send to another failure domain: the difference between the minimum
/// latencies of remote and local servers. The time spent on work cancels out in it.
#[derive(Debug, Default)]
pub(super) struct PathLatencies {
    local: MinLatency,
    remote: MinLatency,
}

/// Minimum and mean of the observed latencies, in microseconds.
#[derive(Debug, Default)]
struct MinLatency {
    min: f32,
    mean: f32,
    samples: f32,
}

impl MinLatency {
    fn add(&mut self, x: f32) {
        self.samples += 1.0;
        self.mean += (x - self.mean) / self.samples.min(MAX_MEAN_SAMPLES);
        let drifted = if self.samples > 1.0 { self.min * (1.0 + MIN_DRIFT) } else { x };
        self.min = drifted.min(x);
    }

    /// Estimates the true minimum from few samples. The minimum of `n` exponentially distributed
    /// delays is on average their mean divided by `n`, which is subtracted.
    fn bias_corrected(&self) -> f32 {
        self.min - (self.mean - self.min) / self.samples
    }
}

impl PathLatencies {
    /// Adds the latency of an answered request.
    pub fn add(&mut self, is_local: bool, latency: Micros) {
        let shortest = if is_local { &mut self.local } else { &mut self.remote };
        shortest.add(latency.0 as f32);
    }

    /// Extra cost of a remote server, in microseconds.
    pub fn cross_domain_cost(&self) -> f32 {
        if self.local.samples < MIN_SAMPLES || self.remote.samples < MIN_SAMPLES {
            return DEFAULT_CROSS_DOMAIN_US;
        }
        (self.remote.bias_corrected() - self.local.bias_corrected()).clamp(0.0, MAX_CROSS_DOMAIN_US)
    }

    /// Estimated round trip to a local or remote server.
    pub fn round_trip(&self, is_local: bool) -> Micros {
        let cross_domain_cost = if is_local { 0.0 } else { self.cross_domain_cost() };
        Micros((LOCAL_ROUND_TRIP_US + cross_domain_cost) as u64)
    }
}
