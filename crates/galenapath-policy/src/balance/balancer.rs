//! The choice of the backend server.
//!
//! Load pattern: many requests in the same few milliseconds, arriving at several dispatchers that
//! cannot see each other's. What goes wrong without it: they herd onto the server that looked idle
//! last, while a straggler keeps its share of the work.
//!
//! A request goes to the server with the least cost: the crossing to another failure domain, plus
//! the wait for a slot there. Suspect servers come last, ejected ones get single trials.

use super::baseline::{self, Candidate};
use super::config::{BalancerConfig, ChoicePolicy};
use super::health::{Sign, Standing};
use super::latency::ServiceLatency;
use super::server::Server;
use super::slot::Slot;
use super::spec::{BackendSpec, BackendState};
use crate::Outcome;
use crate::measure::ProbeBudget;
use galenapath_protocol::{BackendId, DomainId, FastMap, FastSet, LoadReport, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Cost of a suspect server beside healthy ones, in microseconds: more than any wait.
const SUSPECT_COST: f32 = 1e9;

/// Chooses a backend server of one service for each request of one instance.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerConfig,
    domain: DomainId,
    rng: SmallRng,
    /// Places of servers; a place that is `None` is free.
    servers: Vec<Option<Server>>,
    /// Generation that the next server in each place gets.
    generations: Vec<u32>,
    by_id: FastMap<BackendId, usize>,
    latency: ServiceLatency,
    /// Whether `set_backends` was called: later servers are new and ramp up.
    listed: bool,
    turn: usize,
    probe_turn: usize,
    candidates: Vec<Candidate>,
}

impl Balancer {
    /// A balancer without servers, for an instance in failure domain `domain`.
    pub fn new(cfg: BalancerConfig, domain: DomainId, seed: u64) -> Self {
        Self {
            cfg,
            domain,
            rng: SmallRng::seed_from_u64(seed),
            servers: Vec::new(),
            generations: Vec::new(),
            by_id: FastMap::default(),
            latency: ServiceLatency::default(),
            listed: false,
            turn: 0,
            probe_turn: 0,
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
        let probes = ProbeBudget::new(now, self.cfg.probe_rate, self.cfg.dispatchers);
        let generation = self.generations[index];
        let mut server = Server::new(id.clone(), generation, self.cfg.assumed_slots, probes);
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
            server.probes.set_share(now, self.cfg.probe_rate, self.cfg.dispatchers);
        }
    }

    /// Chooses a server for one request, or `None` when no server may be given work now. Servers
    /// in `exclude` (those that the request has tried) and leaving ones are never chosen.
    pub fn choose(&mut self, now: Micros, exclude: &[Slot]) -> Option<Slot> {
        self.note_late(now);
        let index = match self.cfg.policy {
            ChoicePolicy::Galenapath => self.choose_least_cost(now, exclude),
            _ => self.choose_baseline(exclude),
        }?;
        self.slot(index)
    }

    fn choose_baseline(&mut self, exclude: &[Slot]) -> Option<usize> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if server.is_open() && !exclude.contains(&Slot::new(index, server.generation)) {
                candidates.push(Candidate { index, in_flight: server.in_flight() });
            }
        }
        let chosen = match self.cfg.policy {
            ChoicePolicy::RoundRobin => baseline::round_robin(&candidates, &mut self.turn),
            ChoicePolicy::LeastInFlight => baseline::least_in_flight(&candidates, &mut self.rng),
            ChoicePolicy::PowerOfTwo => baseline::power_of_two(&candidates, &mut self.rng),
            ChoicePolicy::Random | ChoicePolicy::Galenapath => {
                baseline::random(&candidates, &mut self.rng)
            }
        };
        self.candidates = candidates;
        chosen
    }

    fn choose_least_cost(&mut self, now: Micros, exclude: &[Slot]) -> Option<usize> {
        let mut best = None;
        let mut least = f32::INFINITY;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if !server.is_open() || exclude.contains(&Slot::new(index, server.generation)) {
                continue;
            }
            let cost = match server.health.standing(now) {
                Standing::Ejected => SUSPECT_COST * 2.0,
                Standing::TrialDue => return Some(index),
                Standing::Suspect => SUSPECT_COST + self.wait(now, server),
                Standing::Healthy => self.wait(now, server),
            };
            let cost = cost + self.rng.random::<f32>();
            if cost < least {
                least = cost;
                best = Some(index);
            }
        }
        best
    }

    /// Expected wait for a slot in microseconds; among servers with free slots, lower for those
    /// with more of them.
    fn wait(&self, now: Micros, server: &Server) -> f32 {
        let slots = server.usable_slots(now, self.cfg.ramp);
        let load = server.in_flight() as f32 + server.others(now);
        self.latency.mean().max(1.0) * load / slots
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
            server.health.started(now);
        }
    }

    /// A request ended, `latency` after it started.
    pub fn finish(&mut self, now: Micros, slot: Slot, outcome: Outcome, latency: Micros) {
        let limit = self.latency.slow_limit();
        let Some(server) = self.server_mut(slot) else { return };
        let Some(was_late) = server.finish(now - latency) else { return };
        let is_late = limit.is_some_and(|limit| latency > limit);
        let sign = match outcome {
            Outcome::Answered if is_late => Some(Sign::Slow),
            Outcome::Answered => Some(Sign::InTime),
            Outcome::FastFailure | Outcome::Failure => Some(Sign::Failed),
            Outcome::TimedOut => Some(Sign::Slow),
            Outcome::Shed | Outcome::Cancelled => None,
        };
        let counted = was_late && sign == Some(Sign::Slow);
        if let Some(sign) = sign.filter(|_| !counted) {
            server.health.note(now, sign);
        }
        if outcome == Outcome::Answered {
            server.fresh_at = now;
            if !was_late {
                self.latency.add(latency);
            }
        }
    }

    /// Takes the load report that came with an answer or a probe.
    pub fn report(&mut self, now: Micros, slot: Slot, report: LoadReport) {
        if let Some(server) = self.server_mut(slot) {
            server.take_report(now, report);
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

    /// Estimate of the slots that are free for this instance. The caller queues when it is zero.
    pub fn free_slots(&self, now: Micros) -> u32 {
        let free = |server: &Server| {
            let used = server.in_flight() as f32 + server.others(now);
            (server.usable_slots(now, self.cfg.ramp) - used).max(0.0).round() as u32
        };
        let is_usable = |s: &&Server| s.is_open() && s.health.standing(now) == Standing::Healthy;
        self.servers.iter().flatten().filter(is_usable).map(free).sum()
    }

    /// Counts requests in flight that have become late.
    fn note_late(&mut self, now: Micros) {
        let Some(limit) = self.latency.slow_limit() else { return };
        for server in self.servers.iter_mut().flatten() {
            for _ in 0..server.newly_late(now, limit) {
                server.health.note(now, Sign::Slow);
                self.latency.add_beyond();
            }
        }
    }

    fn slot(&self, index: usize) -> Option<Slot> {
        let server = self.servers.get(index)?.as_ref()?;
        Some(Slot::new(index, server.generation))
    }

    fn server_mut(&mut self, slot: Slot) -> Option<&mut Server> {
        let server = self.servers.get_mut(slot.index())?.as_mut()?;
        (server.generation == slot.generation()).then_some(server)
    }
}
