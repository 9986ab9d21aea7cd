//! What callers send, drawn before the play, so that all players of a seed get the same.

use crate::deployment::Deployment;
use galenapath_protocol::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// A request before anybody has decided anything about it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When its caller first sends it.
    pub(crate) at: Micros,
    /// The caller's failure domain.
    pub(crate) domain: usize,
    /// Work at the usual pace.
    pub(crate) work: Micros,
}

/// Milliseconds as a span.
pub(crate) fn millis(ms: f64) -> Micros {
    Micros((ms * 1_000.0).max(0.0) as u64)
}

/// All requests of a play, in the order of their times.
pub(crate) fn arrivals(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let spec = &deployment.servers;
    // The mean of a log-normal distribution lies above its median.
    let median = spec.work_ms.ln() - spec.spread * spec.spread / 2.0;
    let Ok(work) = LogNormal::new(median, spec.spread) else { return Vec::new() };
    let Ok(gap) = Exp::new(1.0) else { return Vec::new() };
    let mut all = Vec::new();
    let mut at_s = 0.0;
    loop {
        let next: f64 = gap.sample(&mut rng);
        at_s += next / deployment.rate_at(at_s);
        if at_s >= deployment.length_s {
            return all;
        }
        all.push(Arrival {
            at: millis(at_s * 1_000.0),
            domain: rng.random_range(0..spec.per_domain.len()),
            work: millis(work.sample(&mut rng)),
        });
    }
}
