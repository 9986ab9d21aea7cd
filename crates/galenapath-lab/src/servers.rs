//! The backend servers: slots, a queue, spells of slowness and crowding.

use crate::callers::millis;
use crate::deployment::Deployment;
use galenapath_protocol::{LoadReport, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::VecDeque;

/// Pace in percent that counts as usual.
const USUAL: f64 = 100.0;

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Its number.
    pub(crate) request: usize,
    /// Its work at the usual pace.
    pub(crate) work: Micros,
}

/// What came of a request that reached a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reached {
    /// It began and ends then.
    Began { ends: Micros },
    /// It waits at the server.
    Waits,
    /// The server has not taken it.
    Shed,
}

/// One server. Its pace is drawn before the play, so that all players of a seed meet the same.
pub(crate) struct Server {
    pub(crate) domain: usize,
    /// Times from which a pace in percent holds.
    paces: Vec<(Micros, f64)>,
    pub(crate) running: u32,
    waiting: VecDeque<Run>,
}

impl Server {
    /// All servers of a deployment.
    pub(crate) fn all(deployment: &Deployment, seed: u64) -> Vec<Self> {
        let domains = deployment.servers.per_domain.iter().enumerate();
        let domains = domains.flat_map(|(domain, count)| std::iter::repeat_n(domain, *count));
        domains
            .enumerate()
            .map(|(n, domain)| Self {
                domain,
                paces: paces(deployment, seed.wrapping_mul(1_000_003) + n as u64),
                running: 0,
                waiting: VecDeque::new(),
            })
            .collect()
    }

    /// Its pace in percent.
    pub(crate) fn pace(&self, now: Micros) -> f64 {
        let next = self.paces.partition_point(|(from, _)| *from <= now);
        self.paces[..next].last().map_or(USUAL, |(_, pace)| *pace)
    }

    /// What it tells of itself.
    pub(crate) fn report(&self, now: Micros, slots: u32) -> LoadReport {
        LoadReport {
            in_flight: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots,
            leaving: false,
            pace: self.pace(now) as u32,
        }
    }

    /// Time that a request takes which begins now.
    pub(crate) fn time_of(&self, deployment: &Deployment, now: Micros, work: Micros) -> Micros {
        let spec = &deployment.servers;
        let fill = f64::from(self.running + 1) / f64::from(spec.slots);
        let crowded = if fill > spec.crowded_from { spec.crowded_factor } else { 1.0 };
        Micros((work.0 as f64 * crowded * self.pace(now) / USUAL) as u64)
    }

    /// A request has come.
    pub(crate) fn reach(&mut self, deployment: &Deployment, now: Micros, run: Run) -> Reached {
        if self.running < deployment.servers.slots {
            return Reached::Began { ends: self.begin(deployment, now, run) };
        }
        if self.waiting.len() >= deployment.servers.queue {
            return Reached::Shed;
        }
        self.waiting.push_back(run);
        Reached::Waits
    }

    /// A request has ended. Returns the one that begins in its place, and when it ends.
    pub(crate) fn end(&mut self, deployment: &Deployment, now: Micros) -> Option<(Run, Micros)> {
        self.running -= 1;
        let run = self.waiting.pop_front()?;
        Some((run, self.begin(deployment, now, run)))
    }

    fn begin(&mut self, deployment: &Deployment, now: Micros, run: Run) -> Micros {
        let ends = now + self.time_of(deployment, now, run.work);
        self.running += 1;
        ends
    }
}

fn paces(deployment: &Deployment, seed: u64) -> Vec<(Micros, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let spec = &deployment.spells;
    let Ok(gap) = Exp::new(1.0 / spec.every_ms) else { return Vec::new() };
    // Answers are awaited for some seconds after the last request.
    let end_ms = deployment.length_s * 1_000.0 + 2.0 * deployment.callers.patience_ms;
    let mut paces = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < end_ms {
        let is_slow = rng.random::<f64>() < spec.part;
        paces.push((millis(at_ms), if is_slow { USUAL * spec.factor } else { USUAL }));
        at_ms += gap.sample(&mut rng);
    }
    paces
}
