//! The least or greatest value of the last minutes.

use galenapath_protocol::Micros;

/// The extreme of the values of the last five to ten minutes, in two spans.
///
/// Forgotten after that, so that a service that has changed for good is judged by what it is now.
/// Not sooner, because an overload that lasts longer would pass for the normal state.
#[derive(Clone, Debug)]
pub struct RecentExtreme {
    /// The better of two values: `f64::min` or `f64::max`.
    better: fn(f64, f64) -> f64,
    /// Extreme of the span that runs.
    current: Option<f64>,
    /// Extreme of the span before.
    previous: Option<f64>,
    span_started: Micros,
}

impl RecentExtreme {
    const SPAN: Micros = Micros::from_secs(300);

    /// Follows the least value.
    pub fn least() -> Self {
        Self::new(f64::min)
    }

    /// Follows the greatest value.
    pub fn greatest() -> Self {
        Self::new(f64::max)
    }

    fn new(better: fn(f64, f64) -> f64) -> Self {
        Self { better, current: None, previous: None, span_started: Micros::ZERO }
    }

    /// Takes in a value.
    pub fn note(&mut self, now: Micros, x: f64) {
        if now - self.span_started >= Self::SPAN {
            self.previous = self.current.take();
            self.span_started = now;
        }
        self.current = Some(self.current.map_or(x, |best| (self.better)(best, x)));
    }

    /// The extreme; none before the first value.
    pub fn get(&self) -> Option<f64> {
        match (self.current, self.previous) {
            (Some(a), Some(b)) => Some((self.better)(a, b)),
            (a, b) => a.or(b),
        }
    }

    /// Multiplies all values.
    pub fn scale(&mut self, factor: f64) {
        self.current = self.current.map(|x| x * factor);
        self.previous = self.previous.map(|x| x * factor);
    }

    /// Forgets all values.
    pub fn clear(&mut self) {
        (self.current, self.previous) = (None, None);
    }
}
