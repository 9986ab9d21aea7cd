//! Streaming estimate of one quantile in constant space.

/// Estimates one quantile of a stream of positive values by stochastic approximation.
///
/// A larger value raises the estimate by a step times the quantile, any other value lowers it by
/// the step times one minus the quantile. The two balance where the given share of the values lies
/// below the estimate. The step is a fixed fraction of the estimate, so that a change of the
/// distribution is followed within a few hundred values.
#[derive(Clone, Debug)]
pub struct QuantileEstimate {
    /// The estimated quantile; above 0, below 1.
    quantile: f64,
    /// The estimate; zero until the first value.
    value: f64,
    /// Number of values observed, saturating.
    samples: u32,
}

impl QuantileEstimate {
    /// Step as a fraction of the estimate.
    const STEP_RATIO: f64 = 0.05;

    /// Creates an estimate without values.
    pub fn new(quantile: f64) -> Self {
        Self { quantile, value: 0.0, samples: 0 }
    }

    /// Adds a value.
    pub fn observe(&mut self, x: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = x;
            return;
        }
        let step = self.value.max(1.0) * Self::STEP_RATIO;
        if x > self.value {
            self.value += step * self.quantile;
        } else {
            self.value -= step * (1.0 - self.quantile);
        }
    }

    /// Returns the estimate; zero before the first value.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the number of values observed.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
