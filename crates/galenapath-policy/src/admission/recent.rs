//! Minimum or maximum of the values of the last minutes.

use galenapath_protocol::Micros;

/// Minimum or maximum of the values of the last five to ten minutes, kept in two spans.
///
/// Older values are dropped, so that a service that has changed permanently is compared with its
/// current state. They are not dropped sooner, because an overload that lasts longer than the spans
/// is taken for the normal state.
#[derive(Clone, Debug)]
pub struct RecentExtreme {
    /// `f64::min` or `f64::max`.
    select: fn(f64, f64) -> f64,
    /// Extreme of the current span.
    current: Option<f64>,
    /// Extreme of the previous span.
    previous: Option<f64>,
    span_started: Micros,
}

impl RecentExtreme {
    const SPAN: Micros = Micros::from_secs(300);

    /// Creates a tracker of the minimum.
    pub fn min() -> Self {
        Self::new(f64::min)
    }

    /// Creates a tracker of the maximum.
    pub fn max() -> Self {
        Self::new(f64::max)
    }

    fn new(select: fn(f64, f64) -> f64) -> Self {
        Self { select, current: None, previous: None, span_started: Micros::ZERO }
    }

    /// Adds a value.
    pub fn observe(&mut self, now: Micros, x: f64) {
        if now - self.span_started >= Self::SPAN {
            self.previous = self.current.take();
            self.span_started = now;
        }
        self.current = Some(self.current.map_or(x, |extreme| (self.select)(extreme, x)));
    }

    /// Returns the extreme; `None` before the first value.
    pub fn get(&self) -> Option<f64> {
        match (self.current, self.previous) {
            (Some(a), Some(b)) => Some((self.select)(a, b)),
            (a, b) => a.or(b),
        }
    }

    /// Multiplies all values.
    pub fn scale(&mut self, factor: f64) {
        self.current = self.current.map(|x| x * factor);
        self.previous = self.previous.map(|x| x * factor);
    }

    /// Drops all values.
    pub fn clear(&mut self) {
        (self.current, self.previous) = (None, None);
    }
}
