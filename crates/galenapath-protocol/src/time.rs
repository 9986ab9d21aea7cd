//! Time as the pure parts of the workspace see it.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment or a span in microseconds, counted from an origin that the caller chooses (the start
/// of the process, or of a simulation). Subtraction saturates at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The origin, or an empty span.
    pub const ZERO: Self = Self(0);

    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// A span of whole seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s * 1_000_000)
    }

    /// The span in milliseconds, with its fraction.
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
