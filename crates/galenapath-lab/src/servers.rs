//! Simulated backend servers with slots, a queue, slow periods and contention.

use crate::callers::micros_from_ms;
use crate::deployment::Deployment;
use galenapath_protocol::{LoadReport, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::VecDeque;

/// The slowdown of a server at its usual speed; a higher value means slower work.
const USUAL_SLOWDOWN_PERCENT: f64 = 100.0;

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerRequest {
    /// Its number.
    pub(crate) request: usize,
    /// Time that it takes at the usual speed.
    pub(crate) work: Micros,
}

/// What a server did with a request that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    /// The request started and ends at `ends`.
    Started { ends: Micros },
    /// The request waits at the server.
    Queued,
    /// The server shed the request.
    Shed,
}

/// A simulated server. Its slowdowns are drawn before the simulation starts, so that all
/// simulations with one seed get the same ones.
pub(crate) struct Server {
    pub(crate) domain: usize,
    /// Start times of slowdowns, and the slowdowns in percent of the usual work time.
    slowdowns: Vec<(Micros, f64)>,
    pub(crate) running: u32,
    waiting: VecDeque<ServerRequest>,
}

impl Server {
    /// All servers of a deployment.
    pub(crate) fn all_of(deployment: &Deployment, seed: u64) -> Vec<Self> {
        let domains = deployment.servers.per_domain.iter().enumerate();
        let domains = domains.flat_map(|(domain, count)| std::iter::repeat_n(domain, *count));
        domains
            .enumerate()
            .map(|(n, domain)| Self {
                domain,
                slowdowns: draw_slowdowns(deployment, seed.wrapping_mul(1_000_003) + n as u64),
                running: 0,
                waiting: VecDeque::new(),
            })
            .collect()
    }

    /// Its slowdown at `now`, in percent.
    pub(crate) fn slowdown(&self, now: Micros) -> f64 {
        let next = self.slowdowns.partition_point(|(from, _)| *from <= now);
        self.slowdowns[..next].last().map_or(USUAL_SLOWDOWN_PERCENT, |(_, slowdown)| *slowdown)
    }

    /// Its load report.
    pub(crate) fn report(&self, now: Micros, slots: u32) -> LoadReport {
        LoadReport {
            in_flight: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots,
            leaving: false,
            pace: self.slowdown(now) as u32,
        }
    }

    /// Time that a request takes if it starts at `now`.
    pub(crate) fn service_time(
        &self,
        deployment: &Deployment,
        now: Micros,
        work: Micros,
    ) -> Micros {
        let spec = &deployment.servers;
        let fill = f64::from(self.running + 1) / f64::from(spec.slots);
        let contention = if fill > spec.crowded_from { spec.crowded_factor } else { 1.0 };
        Micros((work.0 as f64 * contention * self.slowdown(now) / USUAL_SLOWDOWN_PERCENT) as u64)
    }

    /// Starts a request, queues it or sheds it.
    pub(crate) fn receive(
        &mut self,
        deployment: &Deployment,
        now: Micros,
        request: ServerRequest,
    ) -> ReceiveOutcome {
        if self.running < deployment.servers.slots {
            return ReceiveOutcome::Started { ends: self.start(deployment, now, request) };
        }
        if self.waiting.len() >= deployment.servers.queue {
            return ReceiveOutcome::Shed;
        }
        self.waiting.push_back(request);
        ReceiveOutcome::Queued
    }

    /// Ends a request. Returns the waiting request that starts in its place, if any, and its end
    /// time.
    pub(crate) fn end(
        &mut self,
        deployment: &Deployment,
        now: Micros,
    ) -> Option<(ServerRequest, Micros)> {
        self.running -= 1;
        let request = self.waiting.pop_front()?;
        Some((request, self.start(deployment, now, request)))
    }

    fn start(&mut self, deployment: &Deployment, now: Micros, request: ServerRequest) -> Micros {
        let ends = now + self.service_time(deployment, now, request.work);
        self.running += 1;
        ends
    }
}

fn draw_slowdowns(deployment: &Deployment, seed: u64) -> Vec<(Micros, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let spec = &deployment.spells;
    let Ok(gap) = Exp::new(1.0 / spec.every_ms) else { return Vec::new() };
    // Requests still run for some seconds after the last arrival.
    let end_ms = deployment.length_s * 1_000.0 + 2.0 * deployment.callers.patience_ms;
    let mut slowdowns = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < end_ms {
        let is_slow = rng.random::<f64>() < spec.part;
        slowdowns.push((
            micros_from_ms(at_ms),
            if is_slow { USUAL_SLOWDOWN_PERCENT * spec.factor } else { USUAL_SLOWDOWN_PERCENT },
        ));
        at_ms += gap.sample(&mut rng);
    }
    slowdowns
}
