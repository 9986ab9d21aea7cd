//! The balancer of one service: its backend servers and the observed state of each.

use super::baseline::Candidate;
use super::config::BalancerConfig;
use super::handle::BackendHandle;
use super::health::HealthEvent;
use super::latency::{Lateness, ServiceLatency};
use super::path::PathLatencies;
use super::server::{EndedRequest, Server};
use super::spec::{BackendSpec, BackendState};
use crate::Outcome;
use crate::measure::ProbeBudget;
use galenapath_protocol::{BackendId, DomainId, FastMap, FastSet, LoadReport, Micros};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Weight of one report in the typical load, a moving average.
const TYPICAL_LOAD_WEIGHT: f32 = 1.0 / 64.0;

/// Moving average of the requests of other dispatchers on a server, over the servers whose reports
/// are trusted.
#[derive(Debug, Default)]
pub(super) struct TypicalOthersLoad {
    pub local: f32,
    pub remote: f32,
}

/// Chooses a backend server of one service for each request of one instance.
#[derive(Debug)]
pub struct Balancer {
    pub(super) cfg: BalancerConfig,
    domain: DomainId,
    pub(super) rng: SmallRng,
    /// Server table; an entry that is `None` is free.
    pub(super) servers: Vec<Option<Server>>,
    /// Generation of the next server in each table entry.
    generations: Vec<u32>,
    by_id: FastMap<BackendId, usize>,
    pub(super) latency: ServiceLatency,
    pub(super) paths: PathLatencies,
    /// Number of failure domains with servers of the service.
    pub(super) domains: usize,
    pub(super) typical_others: TypicalOthersLoad,
    /// Requests waiting at this instance; `None` when `set_waiting` is not used.
    pub(super) waiting: Option<u32>,
    /// Whether a non-empty list of servers was set. Servers that are added later ramp up.
    has_list: bool,
    pub(super) round_robin_position: usize,
    next_probe_index: usize,
    /// Instances that share the probe budget of a server; at least `cfg.dispatchers`.
    probe_sharers: u32,
    pub(super) candidates: Vec<Candidate>,
}

impl Balancer {
    /// Creates a balancer without servers, for an instance in failure domain `domain`.
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
            paths: PathLatencies::default(),
            domains: 0,
            typical_others: TypicalOthersLoad::default(),
            waiting: None,
            has_list: false,
            round_robin_position: 0,
            next_probe_index: 0,
            probe_sharers,
            candidates: Vec::new(),
        }
    }

    /// Replaces the list of servers. Servers in both lists keep their state, and a server that is
    /// known to be leaving remains so even if the list has it as live.
    pub fn set_backends(&mut self, now: Micros, specs: &[BackendSpec]) {
        let listed: FastSet<&BackendId> = specs.iter().map(|s| &s.id).collect();
        for entry in &mut self.servers {
            if let Some(removed) = entry.take_if(|s| !listed.contains(&s.id)) {
                self.by_id.remove(&removed.id);
            }
        }
        for spec in specs {
            self.set_backend(now, spec);
        }
        self.has_list |= !specs.is_empty();
        self.domains = specs.iter().map(|s| &s.domain).collect::<FastSet<_>>().len();
    }

    fn set_backend(&mut self, now: Micros, spec: &BackendSpec) {
        let Some(index) = self.by_id.get(&spec.id).copied().or_else(|| self.add(now, &spec.id))
        else {
            return;
        };
        let is_local = spec.domain == self.domain;
        if let Some(server) = &mut self.servers[index] {
            server.is_local = is_local;
            server.connection_share = spec.connection_share;
            server.leaving |= spec.state == BackendState::Leaving;
        }
    }

    /// Adds a server and returns its index; `None` when the table is full.
    fn add(&mut self, now: Micros, id: &BackendId) -> Option<usize> {
        let index = match self.servers.iter().position(Option::is_none) {
            Some(free) => free,
            None if self.servers.len() <= BackendHandle::MAX_INDEX => {
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
        server.ramp_started_at = self.has_list.then_some(now);
        self.generations[index] = BackendHandle::next_generation(generation);
        self.servers[index] = Some(server);
        self.by_id.insert(id.clone(), index);
        Some(index)
    }

    /// Sets the number of instances that dispatch for the service, including this one.
    pub fn set_dispatchers(&mut self, now: Micros, dispatchers: u32) {
        self.cfg.dispatchers = dispatchers.max(1);
        for server in self.servers.iter_mut().flatten() {
            server.health.dispatchers = self.cfg.dispatchers;
        }
        self.set_probe_sharers(now, self.probe_sharers);
    }

    /// Sets the number of instances that may probe the servers, including this one. These are all
    /// instances that may send them requests, even those that only serve callers with an outdated
    /// address. It is never lower than the number of dispatchers, which is its initial value.
    pub fn set_probe_sharers(&mut self, now: Micros, sharers: u32) {
        self.probe_sharers = sharers.max(self.cfg.dispatchers);
        for server in self.servers.iter_mut().flatten() {
            server.probes.set_share(now, self.cfg.probe_rate, self.probe_sharers);
        }
    }

    /// Sets the number of requests waiting at this instance. Once it is set, requests wait for a
    /// local server as long as the expected wait costs less than a cross-domain send.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = Some(waiting);
    }

    /// Returns the name of a server; `None` when the handle is no longer valid.
    pub fn backend(&self, handle: BackendHandle) -> Option<&BackendId> {
        let server = self.servers.get(handle.index())?.as_ref()?;
        (server.generation == handle.generation()).then_some(&server.id)
    }

    /// Records that a request is sent to the server.
    pub fn start(&mut self, now: Micros, handle: BackendHandle) {
        if let Some(server) = self.server_mut(handle) {
            server.start(now);
        }
    }

    /// Records that a request ended, `latency` after it started.
    pub fn finish(
        &mut self,
        now: Micros,
        handle: BackendHandle,
        outcome: Outcome,
        latency: Micros,
    ) {
        let limits = self.latency.limits();
        let mean = self.latency.mean();
        let Some(server) = self.server_mut(handle) else { return };
        let Some(EndedRequest { started, counted }) = server.finish(now - latency) else { return };
        match outcome {
            Outcome::Answered => {
                let lateness = limits.map_or(Lateness::OnTime, |l| l.lateness(latency));
                server.health.record(now, started, HealthEvent::Ended { counted, lateness });
                server.others.record_answer(latency, mean, server.slots);
                server.record_answer(now);
                let is_local = server.is_local;
                self.paths.add(is_local, latency);
                self.latency.add(latency);
            }
            Outcome::Shed => {
                server.record_rejection(now);
                server.health.record_inconclusive(now, started);
            }
            Outcome::FastFailure | Outcome::Failure => {
                server.health.record(now, started, HealthEvent::Failed);
            }
            Outcome::TimedOut => {
                let lateness = Lateness::VeryLate;
                server.health.record(now, started, HealthEvent::Ended { counted, lateness });
            }
            Outcome::Cancelled => server.health.record_inconclusive(now, started),
        }
    }

    /// Records the load report that came with an answer or a probe. For an answer, call
    /// [`Self::finish`] first, because the report no longer counts the answered request.
    pub fn report(&mut self, now: Micros, handle: BackendHandle, report: LoadReport) {
        let Some(is_local) = self.server_mut(handle).map(|s| s.is_local) else { return };
        let written_at = now - self.paths.round_trip(is_local);
        let Some(server) = self.server_mut(handle) else { return };
        server.record_report(now, written_at, report);
        if server.others.is_trusted() {
            let average = server.others.average();
            let typical_others = if is_local {
                &mut self.typical_others.local
            } else {
                &mut self.typical_others.remote
            };
            *typical_others += TYPICAL_LOAD_WEIGHT * (average - *typical_others);
        }
    }

    /// Marks the server as leaving; it is never chosen again.
    pub fn mark_leaving(&mut self, handle: BackendHandle) {
        if let Some(server) = self.server_mut(handle) {
            server.leaving = true;
        }
    }

    /// Returns a server to probe now and charges the probe to its budget; `None` when no server is
    /// stale and within its budget.
    pub fn next_probe(&mut self, now: Micros) -> Option<BackendHandle> {
        let entries = self.servers.len();
        for step in 0..entries {
            let index = (self.next_probe_index + step) % entries;
            let stale_after = self.cfg.stale_after;
            let Some(server) = &mut self.servers[index] else { continue };
            if server.leaving
                || now - server.last_contact_at < stale_after
                || !server.probes.take(now)
            {
                continue;
            }
            self.next_probe_index = index + 1;
            return self.handle(index);
        }
        None
    }

    /// Updates the health of the servers with requests in flight that have become late.
    pub(super) fn record_late_requests(&mut self, now: Micros) {
        let Some(limits) = self.latency.limits() else { return };
        for server in self.servers.iter_mut().flatten() {
            server.record_late_requests(now, &limits);
        }
    }

    pub(super) fn handle(&self, index: usize) -> Option<BackendHandle> {
        let server = self.servers.get(index)?.as_ref()?;
        Some(BackendHandle::new(index, server.generation))
    }

    fn server_mut(&mut self, handle: BackendHandle) -> Option<&mut Server> {
        let server = self.servers.get_mut(handle.index())?.as_mut()?;
        (server.generation == handle.generation()).then_some(server)
    }
}
