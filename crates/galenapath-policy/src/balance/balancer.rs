//! The balancer of one service: the list of its backend servers and what is learned about them.

use super::baseline::Candidate;
use super::config::BalancerConfig;
use super::health::Sign;
use super::latency::{Lateness, ServiceLatency};
use super::path::Paths;
use super::server::{Ended, Server};
use super::slot::Slot;
use super::spec::{BackendSpec, BackendState};
use crate::Outcome;
use crate::measure::ProbeBudget;
use galenapath_protocol::{BackendId, DomainId, FastMap, FastSet, LoadReport, Micros};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Weight of one report in the typical load.
const TYPICAL_WEIGHT: f32 = 1.0 / 64.0;

/// Average requests of other dispatchers on a server, over the servers whose reports are believed.
#[derive(Debug, Default)]
pub(super) struct TypicalOthers {
    pub home: f32,
    pub foreign: f32,
}

/// Chooses a backend server of one service for each request of one instance.
#[derive(Debug)]
pub struct Balancer {
    pub(super) cfg: BalancerConfig,
    domain: DomainId,
    pub(super) rng: SmallRng,
    /// Places of servers; a place that is `None` is free.
    pub(super) servers: Vec<Option<Server>>,
    /// Generation that the next server in each place gets.
    generations: Vec<u32>,
    by_id: FastMap<BackendId, usize>,
    pub(super) latency: ServiceLatency,
    pub(super) paths: Paths,
    /// Failure domains that hold servers.
    pub(super) domains: usize,
    pub(super) typical: TypicalOthers,
    /// Requests that wait at this instance; `None` when the instance does not tell.
    pub(super) waiting: Option<u32>,
    /// Whether `set_backends` was called: later servers are new and ramp up.
    listed: bool,
    pub(super) turn: usize,
    probe_turn: usize,
    /// Instances among which the probes to a server are split; at least `cfg.dispatchers`.
    probe_sharers: u32,
    pub(super) candidates: Vec<Candidate>,
}

impl Balancer {
    /// A balancer without servers, for an instance in failure domain `domain`.
    pub fn new(cfg: BalancerConfig, domain: DomainId, seed: u64) -> Self {
        let probe_sharers = cfg.dispatchers;
        Self {
            cfg,
            domain,
            rng: SmallRng::seed_from_u64(seed),
            servers: Vec::new(),
            generations: Vec::new(),
            by_id: FastMap::default(),
            latency: ServiceLatency::default(),
            paths: Paths::default(),
            domains: 0,
            typical: TypicalOthers::default(),
            waiting: None,
            listed: false,
            turn: 0,
            probe_turn: 0,
            probe_sharers,
            candidates: Vec::new(),
        }
    }

    /// Takes a new list of servers. Servers that stay keep their state, and one that is known to
    /// be leaving stays so whatever the list says.
    pub fn set_backends(&mut self, now: Micros, specs: &[BackendSpec]) {
        let listed: FastSet<&BackendId> = specs.iter().map(|s| &s.id).collect();
        for place in &mut self.servers {
            if let Some(gone) = place.take_if(|s| !listed.contains(&s.id)) {
                self.by_id.remove(&gone.id);
            }
        }
        for spec in specs {
            self.set_backend(now, spec);
        }
        self.listed |= !specs.is_empty();
        self.domains = specs.iter().map(|s| &s.domain).collect::<FastSet<_>>().len();
    }

    fn set_backend(&mut self, now: Micros, spec: &BackendSpec) {
        let Some(index) = self.by_id.get(&spec.id).copied().or_else(|| self.add(now, &spec.id))
        else {
            return;
        };
        let home = spec.domain == self.domain;
        if let Some(server) = &mut self.servers[index] {
            server.home = home;
            server.connection_share = spec.connection_share;
            server.leaving |= spec.state == BackendState::Leaving;
        }
    }

    /// Returns the place of the new server, `None` when the table is full.
    fn add(&mut self, now: Micros, id: &BackendId) -> Option<usize> {
        let index = match self.servers.iter().position(Option::is_none) {
            Some(free) => free,
            None if self.servers.len() <= Slot::MAX_INDEX => {
                self.servers.push(None);
                self.generations.push(0);
                self.servers.len() - 1
            }
            None => return None,
        };
        let probes = ProbeBudget::new(now, self.cfg.probe_rate, self.probe_sharers);
        let generation = self.generations[index];
        let mut server = Server::new(id.clone(), generation, self.cfg.assumed_slots, probes);
        server.health.dispatchers = self.cfg.dispatchers;
        server.ramp_from = self.listed.then_some(now);
        self.generations[index] = Slot::next_generation(generation);
        self.servers[index] = Some(server);
        self.by_id.insert(id.clone(), index);
        Some(index)
    }

    /// Tells how many instances dispatch for the service, this one included.
    pub fn set_dispatchers(&mut self, now: Micros, dispatchers: u32) {
        self.cfg.dispatchers = dispatchers.max(1);
        for server in self.servers.iter_mut().flatten() {
            server.health.dispatchers = self.cfg.dispatchers;
        }
        self.set_probe_sharers(now, self.probe_sharers);
    }

    /// Tells how many instances may probe the servers, this one included: all that may send them
    /// requests, also those that only serve what came to them by an old address answer. Never
    /// fewer than dispatch; starts at the configured number of dispatchers.
    pub fn set_probe_sharers(&mut self, now: Micros, sharers: u32) {
        self.probe_sharers = sharers.max(self.cfg.dispatchers);
        for server in self.servers.iter_mut().flatten() {
            server.probes.set_share(now, self.cfg.probe_rate, self.probe_sharers);
        }
    }

    /// Tells how many requests wait at this instance. With it, requests wait for a server of the
    /// own failure domain as long as that is expected to cost less than crossing to another.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = Some(waiting);
    }

    /// The name of a server, `None` when the handle is out of date.
    pub fn backend(&self, slot: Slot) -> Option<&BackendId> {
        let server = self.servers.get(slot.index())?.as_ref()?;
        (server.generation == slot.generation()).then_some(&server.id)
    }

    /// A request is sent to the server.
    pub fn start(&mut self, now: Micros, slot: Slot) {
        if let Some(server) = self.server_mut(slot) {
            server.start(now);
        }
    }

    /// A request ended, `latency` after it started.
    pub fn finish(&mut self, now: Micros, slot: Slot, outcome: Outcome, latency: Micros) {
        let limits = self.latency.limits();
        let mean = self.latency.mean();
        let Some(server) = self.server_mut(slot) else { return };
        let Some(Ended { started, counted }) = server.finish(now - latency) else { return };
        match outcome {
            Outcome::Answered => {
                let lateness = limits.map_or(Lateness::InTime, |l| l.lateness(latency));
                server.health.note(now, started, Sign::Ended { counted, lateness });
                server.others.answered(latency, mean, server.slots);
                server.answered(now);
                let home = server.home;
                self.paths.add(home, latency);
                self.latency.add(latency);
            }
            Outcome::Shed => {
                server.refused(now);
                server.health.note_nothing(now, started);
            }
            Outcome::FastFailure | Outcome::Failure => {
                server.health.note(now, started, Sign::Failed);
            }
            Outcome::TimedOut => {
                let lateness = Lateness::VeryLate;
                server.health.note(now, started, Sign::Ended { counted, lateness });
            }
            Outcome::Cancelled => server.health.note_nothing(now, started),
        }
    }

    /// Takes the load report that came with an answer or a probe. For an answer, call
    /// [`Self::finish`] first: the report no longer counts its request.
    pub fn report(&mut self, now: Micros, slot: Slot, report: LoadReport) {
        let Some(home) = self.server_mut(slot).map(|s| s.home) else { return };
        let written = now - self.paths.round_trip(home);
        let Some(server) = self.server_mut(slot) else { return };
        server.report(now, written, report);
        if server.others.is_believed() {
            let average = server.others.average();
            let typical = if home { &mut self.typical.home } else { &mut self.typical.foreign };
            *typical += TYPICAL_WEIGHT * (average - *typical);
        }
    }

    /// The server is leaving; it is never chosen again.
    pub fn mark_leaving(&mut self, slot: Slot) {
        if let Some(server) = self.server_mut(slot) {
            server.leaving = true;
        }
    }

    /// A server to probe now, whose probe is taken out of the budget; `None` when every server is
    /// fresh or out of budget.
    pub fn next_probe(&mut self, now: Micros) -> Option<Slot> {
        let places = self.servers.len();
        for step in 0..places {
            let index = (self.probe_turn + step) % places;
            let fresh_for = self.cfg.fresh_for;
            let Some(server) = &mut self.servers[index] else { continue };
            if server.leaving || now - server.fresh_at < fresh_for || !server.probes.take(now) {
                continue;
            }
            self.probe_turn = index + 1;
            return self.slot(index);
        }
        None
    }

    /// Counts requests in flight that have become late.
    pub(super) fn note_late(&mut self, now: Micros) {
        let Some(limits) = self.latency.limits() else { return };
        for server in self.servers.iter_mut().flatten() {
            server.note_late(now, &limits);
        }
    }

    pub(super) fn slot(&self, index: usize) -> Option<Slot> {
        let server = self.servers.get(index)?.as_ref()?;
        Some(Slot::new(index, server.generation))
    }

    fn server_mut(&mut self, slot: Slot) -> Option<&mut Server> {
        let server = self.servers.get_mut(slot.index())?.as_mut()?;
        (server.generation == slot.generation()).then_some(server)
    }
}
