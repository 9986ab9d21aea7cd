//! What the way to a backend server costs.

use galenapath_protocol::Micros;

/// Round trip inside a failure domain, in microseconds.
const HOME_ROUND_TRIP: f32 = 200.0;
/// Extra round trip to another failure domain before it has been measured, and at most, in
/// microseconds.
const ASSUMED_CROSSING: f32 = 1_000.0;
const MOST_CROSSING: f32 = 20_000.0;
/// Samples of each kind before the measured crossing is used.
const LEAST_SAMPLES: f32 = 8.0;
const MEAN_SAMPLES: f32 = 64.0;
/// Relative drift of a minimum with each sample, so that it can rise again.
const DRIFT: f32 = 1.0 / 4096.0;

/// Learns the extra cost of crossing to another failure domain as the difference between the
/// shortest latencies there and at home, in which the work cancels out.
#[derive(Debug, Default)]
pub(super) struct Paths {
    home: Shortest,
    foreign: Shortest,
}

/// The shortest of the latencies seen.
#[derive(Debug, Default)]
struct Shortest {
    least: f32,
    mean: f32,
    samples: f32,
}

impl Shortest {
    fn add(&mut self, x: f32) {
        self.samples += 1.0;
        self.mean += (x - self.mean) / self.samples.min(MEAN_SAMPLES);
        let drifted = if self.samples > 1.0 { self.least * (1.0 + DRIFT) } else { x };
        self.least = drifted.min(x);
    }

    /// The least latency of many samples, from few: the least of `n` random parts is on average an
    /// `n`th of their mean.
    fn corrected(&self) -> f32 {
        self.least - (self.mean - self.least) / self.samples
    }
}

impl Paths {
    /// Takes the latency of an answered request.
    pub fn add(&mut self, home: bool, latency: Micros) {
        let shortest = if home { &mut self.home } else { &mut self.foreign };
        shortest.add(latency.0 as f32);
    }

    /// Extra cost of a foreign server in microseconds.
    pub fn crossing(&self) -> f32 {
        if self.home.samples < LEAST_SAMPLES || self.foreign.samples < LEAST_SAMPLES {
            return ASSUMED_CROSSING;
        }
        (self.foreign.corrected() - self.home.corrected()).clamp(0.0, MOST_CROSSING)
    }

    /// Round trip to a server.
    pub fn round_trip(&self, home: bool) -> Micros {
        let crossing = if home { 0.0 } else { self.crossing() };
        Micros((HOME_ROUND_TRIP + crossing) as u64)
    }
}
