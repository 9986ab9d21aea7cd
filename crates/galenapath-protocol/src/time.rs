//! Time values for code that does not read a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time or a duration, in microseconds. Points in time are counted from an origin that
/// the caller chooses, such as the start of the process or of a simulation. Addition and conversion
/// saturate at the maximum, subtraction at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The origin, or an empty duration.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// The duration in milliseconds, including the fraction.
    pub const fn as_millis_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Micros {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl From<Duration> for Micros {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Micros> for Duration {
    fn from(t: Micros) -> Self {
        Self::from_micros(t.0)
    }
}
