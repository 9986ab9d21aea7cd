//! Requests of callers, drawn before the simulation starts, so that all simulations with one seed
//! get the same requests.

use crate::deployment::Deployment;
use galenapath_protocol::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Time of its first send.
    pub(crate) at: Micros,
    /// The caller's failure domain.
    pub(crate) domain: usize,
    /// Time that it takes at the usual speed of a server.
    pub(crate) work: Micros,
}

/// Converts milliseconds to microseconds; negative values become zero.
pub(crate) fn micros_from_ms(ms: f64) -> Micros {
    Micros((ms * 1_000.0).max(0.0) as u64)
}

/// Draws all requests of a simulation, in the order of their times.
pub(crate) fn arrivals(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let spec = &deployment.servers;
    // The mean of a log-normal distribution is above its median, so the location parameter is
    // reduced to give a mean of `work_ms`.
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
            at: micros_from_ms(at_s * 1_000.0),
            domain: rng.random_range(0..spec.per_domain.len()),
            work: micros_from_ms(work.sample(&mut rng)),
        });
    }
}
