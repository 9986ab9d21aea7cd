//! Latency statistics of a request class.

use super::recent::RecentExtreme;
use crate::quantile::QuantileEstimate;
use galenapath_protocol::Micros;

/// Weight of one latency in the moving average.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Quantile for [`ClassLatency::tail`]: waits are limited so that this share of requests meets the
/// target.
const TAIL_QUANTILE: f64 = 0.99;

/// Latencies of one class, counted from the start of each request.
#[derive(Clone, Debug)]
pub struct ClassLatency {
    mean_micros: f64,
    tail: QuantileEstimate,
    baseline: Baseline,
}

impl ClassLatency {
    /// Creates statistics without latencies.
    pub fn new() -> Self {
        Self {
            mean_micros: 0.0,
            tail: QuantileEstimate::new(TAIL_QUANTILE),
            baseline: Baseline::new(),
        }
    }

    /// Records a latency and returns the logarithm of its ratio to the baseline; `None` while there
    /// is no baseline.
    pub fn observe(&mut self, now: Micros, latency: Micros) -> Option<f64> {
        let x = latency.0.max(1) as f64;
        let weight = if self.tail.samples() == 0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_micros += (x - self.mean_micros) * weight;
        self.tail.observe(x);
        let excess = self.baseline.ln().map(|base| x.ln() - base);
        self.baseline.observe(now, x.ln());
        excess
    }

    /// Returns the mean latency; zero while unknown.
    pub fn mean(&self) -> Micros {
        Micros(self.mean_micros as u64)
    }

    /// Returns the latency that one request in a hundred exceeds; zero while unknown.
    pub fn tail(&self) -> Micros {
        Micros(self.tail.value() as u64)
    }
}

/// Latency of the unloaded service: the minimum over the last minutes of the mean logarithm of the
/// latency per window.
///
/// The logarithm is used because otherwise a single request of a heavy-tailed distribution would
/// dominate the mean of a window.
#[derive(Clone, Debug)]
struct Baseline {
    window: Window,
    min: RecentExtreme,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum: f64,
    count: u32,
    started_at: Micros,
}

impl Baseline {
    const MIN_WINDOW: Micros = Micros::from_millis(50);
    /// Minimum number of values per window. With exponential work, the mean of 100 logarithms is
    /// accurate to within 13%.
    const MIN_COUNT: u32 = 100;

    fn new() -> Self {
        Self { window: Window::default(), min: RecentExtreme::min() }
    }

    fn observe(&mut self, now: Micros, ln: f64) {
        self.window.sum += ln;
        self.window.count += 1;
        let is_full = self.window.count >= Self::MIN_COUNT;
        if is_full && now - self.window.started_at >= Self::MIN_WINDOW {
            let mean = self.window.sum / f64::from(self.window.count);
            self.window = Window { started_at: now, ..Window::default() };
            self.min.observe(now, mean);
        }
    }

    fn ln(&self) -> Option<f64> {
        self.min.get()
    }
}
