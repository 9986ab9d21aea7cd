//! Service targets of classes.

/// Parts per million of a share of 1.
const WHOLE_PPM: u32 = 1_000_000;

/// The service target of a class: `share` of its requests must be answered within `latency_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Latency in milliseconds; never zero.
    pub latency_ms: u32,
    /// Share of the requests that must be answered within that latency.
    pub share: Share,
}

/// A share between 0 and 1, exclusive, in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u32);

impl Share {
    /// Returns the share nearest to `value`, or `None` unless it lies between 0 and 1, exclusive.
    pub fn from_f64(value: f64) -> Option<Self> {
        let ppm = (value * f64::from(WHOLE_PPM)).round();
        let inside = ppm >= 1.0 && ppm < f64::from(WHOLE_PPM);
        inside.then_some(Self(ppm as u32))
    }

    /// Returns the share as a number between 0 and 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE_PPM)
    }
}
