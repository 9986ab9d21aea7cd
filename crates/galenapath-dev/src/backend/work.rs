//! Distribution of the work times of requests.

use rand::{Rng, RngExt};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Shape of the heavy-tailed distribution (Pareto): finite mean, infinite variance.
const HEAVY_SHAPE: f64 = 1.5;
/// Largest heavy-tailed work time, as a multiple of the mean; bounds the duration of runs.
const HEAVY_CAP: f64 = 30.0;

/// Distribution of work times. Text form: `constant:MS`, `exponential:MS` or `heavy:MS`, with the
/// mean in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// Constant time.
    Constant(f64),
    /// Exponential distribution.
    Exponential(f64),
    /// Pareto distribution with shape 1.5, cut off at 30 times the mean.
    Heavy(f64),
}

/// Error of parsing a [`Work`].
#[derive(Debug, Error, PartialEq, Eq)]
#[error("invalid work time `{0}`: expected `constant:MS`, `exponential:MS` or `heavy:MS`")]
pub struct ParseWorkError(String);

impl Work {
    /// Draws a random work time.
    pub fn sample(self, rng: &mut impl Rng) -> Duration {
        let unit: f64 = rng.random();
        // In (0, 1], because zero would give an infinite time.
        let unit = 1.0 - unit;
        let ms = match self {
            Self::Constant(mean) => mean,
            Self::Exponential(mean) => -mean * unit.ln(),
            Self::Heavy(mean) => {
                let scale = mean * (HEAVY_SHAPE - 1.0) / HEAVY_SHAPE;
                (scale / unit.powf(1.0 / HEAVY_SHAPE)).min(mean * HEAVY_CAP)
            }
        };
        Duration::from_secs_f64(ms / 1_000.0)
    }
}

impl FromStr for Work {
    type Err = ParseWorkError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseWorkError(text.to_owned());
        let (kind, mean) = text.split_once(':').ok_or_else(error)?;
        let mean: f64 = mean.parse().map_err(|_| error())?;
        if !(mean.is_finite() && mean >= 0.0) {
            return Err(error());
        }
        match kind {
            "constant" => Ok(Self::Constant(mean)),
            "exponential" => Ok(Self::Exponential(mean)),
            "heavy" => Ok(Self::Heavy(mean)),
            _ => Err(error()),
        }
    }
}
