//! What a class's requests take once started.

use super::recent::RecentExtreme;
use crate::quantile::QuantileEstimate;
use galenapath_protocol::Micros;

/// Weight of one latency in the running mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// The quantile that is kept free of waiting, see [`ClassLatency::tail`].
const TAIL: f64 = 0.99;

/// Latencies of one class, counted from the start of a request.
#[derive(Clone, Debug)]
pub struct ClassLatency {
    mean: f64,
    tail: QuantileEstimate,
    baseline: Baseline,
}

impl ClassLatency {
    /// No latencies yet.
    pub fn new() -> Self {
        Self { mean: 0.0, tail: QuantileEstimate::new(TAIL), baseline: Baseline::new() }
    }

    /// Takes in a latency and returns by how much it exceeds the baseline, as the logarithm of the
    /// ratio; none while there is no baseline.
    pub fn observe(&mut self, now: Micros, latency: Micros) -> Option<f64> {
        let x = latency.0.max(1) as f64;
        let weight = if self.tail.samples() == 0 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (x - self.mean) * weight;
        self.tail.observe(x);
        let excess = self.baseline.ln().map(|base| x.ln() - base);
        self.baseline.observe(now, x.ln());
        excess
    }

    /// Mean latency; zero while unknown.
    pub fn mean(&self) -> Micros {
        Micros(self.mean as u64)
    }

    /// The latency that one request in a hundred exceeds; zero while unknown.
    pub fn tail(&self) -> Micros {
        Micros(self.tail.value() as u64)
    }
}

/// Mean logarithm of the latency when the service was last unloaded: the least over windows of the
/// last minutes.
///
/// The logarithm, because one work item of a heavy tail would otherwise decide a window.
#[derive(Clone, Debug)]
struct Baseline {
    window: Window,
    least: RecentExtreme,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum: f64,
    count: u32,
    started: Micros,
}

impl Baseline {
    const MIN_WINDOW: Micros = Micros::from_millis(50);
    /// Values per window: with exponential work the mean of so many logarithms is within 13%.
    const MIN_COUNT: u32 = 100;

    fn new() -> Self {
        Self { window: Window::default(), least: RecentExtreme::least() }
    }

    fn observe(&mut self, now: Micros, ln: f64) {
        self.window.sum += ln;
        self.window.count += 1;
        let full = self.window.count >= Self::MIN_COUNT;
        if full && now - self.window.started >= Self::MIN_WINDOW {
            let mean = self.window.sum / f64::from(self.window.count);
            self.window = Window { started: now, ..Window::default() };
            self.least.note(now, mean);
        }
    }

    fn ln(&self) -> Option<f64> {
        self.least.get()
    }
}
