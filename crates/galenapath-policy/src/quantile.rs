//! A running estimate of one quantile in constant space.

/// Follows one quantile of a stream of positive values.
///
/// Each value moves the estimate by a small part of itself: up by the quantile, down by the rest,
/// so that it rests where the given share of the values lies below. It follows a change of the
/// distribution within a few hundred values.
#[derive(Clone, Debug)]
pub struct QuantileEstimate {
    /// The quantile followed; above 0, below 1.
    quantile: f64,
    /// The estimate; zero until the first value.
    value: f64,
    /// Values seen, saturating.
    samples: u32,
}

impl QuantileEstimate {
    /// Part of the estimate by which one value may move it.
    const STEP: f64 = 0.05;

    /// An estimate without values.
    pub fn new(quantile: f64) -> Self {
        Self { quantile, value: 0.0, samples: 0 }
    }

    /// Takes in a value.
    pub fn observe(&mut self, x: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = x;
            return;
        }
        let step = self.value.max(1.0) * Self::STEP;
        if x > self.value {
            self.value += step * self.quantile;
        } else {
            self.value -= step * (1.0 - self.quantile);
        }
    }

    /// The estimate; zero without values.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Values seen.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
