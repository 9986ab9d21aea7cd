//! What the way to a backend server costs.

use galenapath_protocol::Micros;

/// Round trip inside a failure domain, in microseconds.
const HOME_ROUND_TRIP: f32 = 200.0;
/// Extra round trip to another failure domain before it has been measured, and at most, in
/// microseconds.
const ASSUMED_CROSSING: f32 = 1_000.0;
const MOST_CROSSING: f32 = 20_000.0;
/// Relative drift of a minimum with each sample, so that it can rise again.
const DRIFT: f32 = 1.0 / 4096.0;

/// Learns the extra cost of crossing to another failure domain as the difference between the
/// shortest latencies there and at home, in which the work cancels out.
#[derive(Debug, Default)]
pub(super) struct Paths {
    home: Option<f32>,
    foreign: Option<f32>,
}

impl Paths {
    /// Takes the latency of an answered request.
    pub fn add(&mut self, home: bool, latency: Micros) {
        let least = if home { &mut self.home } else { &mut self.foreign };
        let x = latency.0 as f32;
        let drifted = least.map_or(x, |l| l * (1.0 + DRIFT));
        *least = Some(drifted.min(x));
    }

    /// Extra cost of a foreign server in microseconds.
    pub fn crossing(&self) -> f32 {
        match (self.home, self.foreign) {
            (Some(home), Some(foreign)) => (foreign - home).clamp(0.0, MOST_CROSSING),
            _ => ASSUMED_CROSSING,
        }
    }

    /// Round trip to a server.
    pub fn round_trip(&self, home: bool) -> Micros {
        let crossing = if home { 0.0 } else { self.crossing() };
        Micros((HOME_ROUND_TRIP + crossing) as u64)
    }
}
