//! Choice of the backend server for a request.
//!
//! Load pattern: many requests arrive within a few milliseconds at several dispatchers that do not
//! see each other's requests. Without this policy they all herd onto the server that last appeared
//! idle, while a straggler keeps its share of the work.
//!
//! A request goes to the server with the lowest cost: the extra latency of a cross-domain send plus
//! the expected wait for a slot. Suspect servers are used last and ejected servers receive only
//! single trials. If most servers appear unhealthy, the health estimate is not reliable and no
//! server is passed over.

use super::balancer::Balancer;
use super::baseline::{self, Candidate};
use super::config::ChoicePolicy;
use super::handle::BackendHandle;
use super::health::HealthStatus;
use super::server::Server;
use galenapath_protocol::Micros;
use rand::RngExt;

/// Extra cost of a server without a free slot. A request that waits at the instance takes the first
/// slot that becomes free on any server, whereas one that waits at a server is tied to that server.
const FULL_PENALTY: f32 = 1e6;
/// Extra cost of a suspect server, in microseconds: more than any wait.
const SUSPECT_PENALTY: f32 = 1e9;
/// Extra cost of an ejected server, or of one in backoff after a rejection, in microseconds.
const EJECTED_PENALTY: f32 = 2e9;
/// Fraction of the mean latency that load adds to the cost of a server whose slots are all taken.
/// It is small, so that it only orders servers of equal cost and never outweighs a cross-domain
/// send.
const SPREAD_FACTOR: f32 = 0.1;
/// Fraction of the mean latency that is added at random, so that ties are broken by chance.
const JITTER_FACTOR: f32 = 0.01;

/// Requests beyond a remote server's slots that may wait there, so that a slot that becomes free
/// has work at once instead of being idle for a round trip.
const MAX_WAITING_CROSS_DOMAIN: f32 = 1.0;
/// Local wait, as a multiple of the cross-domain cost, from which requests that already wait are
/// sent to other domains too. Below it only new requests are, because a waiting one would pay for
/// both the wait and the cross-domain send.
const CROSS_DOMAIN_WAIT_FACTOR: f32 = 4.0;

/// Whether a request may be used as the trial of an ejected server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialRule {
    Allowed,
    Forbidden,
}

/// The server with the lowest cost so far.
#[derive(Clone, Copy, Debug)]
struct Best {
    index: Option<usize>,
    cost: f32,
}

impl Best {
    const NONE: Self = Self { index: None, cost: f32::INFINITY };

    /// Replaces the current best if `cost` is lower.
    fn consider(&mut self, index: usize, cost: f32) {
        if cost < self.cost {
            *self = Self { index: Some(index), cost };
        }
    }
}

impl Balancer {
    /// Chooses a server for one request; `None` when no server can take one now. Servers in
    /// `exclude` (those that the request has already tried) and leaving servers are never chosen.
    pub fn choose(&mut self, now: Micros, exclude: &[BackendHandle]) -> Option<BackendHandle> {
        self.choose_with(now, exclude, TrialRule::Allowed)
    }

    /// Like [`Self::choose`], but never uses the request as a trial of an ejected server. For
    /// requests that cannot be retried after a failure.
    pub fn choose_without_trial(
        &mut self,
        now: Micros,
        exclude: &[BackendHandle],
    ) -> Option<BackendHandle> {
        self.choose_with(now, exclude, TrialRule::Forbidden)
    }

    fn choose_with(
        &mut self,
        now: Micros,
        exclude: &[BackendHandle],
        trial_rule: TrialRule,
    ) -> Option<BackendHandle> {
        self.record_late_requests(now);
        let index = match self.cfg.policy {
            ChoicePolicy::Galenapath => self.choose_least_cost(now, exclude, trial_rule),
            _ => self.choose_baseline(exclude),
        }?;
        self.handle(index)
    }

    fn choose_baseline(&mut self, exclude: &[BackendHandle]) -> Option<usize> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if server.is_open() && !exclude.contains(&BackendHandle::new(index, server.generation))
            {
                candidates.push(Candidate { index, in_flight: server.in_flight() });
            }
        }
        let chosen = match self.cfg.policy {
            ChoicePolicy::RoundRobin => {
                baseline::round_robin(&candidates, &mut self.round_robin_position)
            }
            ChoicePolicy::LeastInFlight => baseline::least_in_flight(&candidates, &mut self.rng),
            ChoicePolicy::PowerOfTwo => baseline::power_of_two(&candidates, &mut self.rng),
            ChoicePolicy::Random | ChoicePolicy::Galenapath => {
                baseline::random(&candidates, &mut self.rng)
            }
        };
        self.candidates = candidates;
        chosen
    }

    fn choose_least_cost(
        &mut self,
        now: Micros,
        exclude: &[BackendHandle],
        trial_rule: TrialRule,
    ) -> Option<usize> {
        let exclude_unhealthy = self.excludes_unhealthy(now);
        let jitter = JITTER_FACTOR * self.latency.mean();
        let mut best = Best::NONE;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if !server.is_open() || exclude.contains(&BackendHandle::new(index, server.generation))
            {
                continue;
            }
            let status = server.health.status(now, server.in_flight() == 0);
            if status == HealthStatus::TrialDue && trial_rule == TrialRule::Allowed {
                return Some(index);
            }
            let full_penalty =
                if self.free_slots_of(now, server) == 0 { FULL_PENALTY } else { 0.0 };
            let penalty = match status {
                HealthStatus::Ejected | HealthStatus::TrialDue if exclude_unhealthy => {
                    EJECTED_PENALTY
                }
                HealthStatus::Suspect if exclude_unhealthy => SUSPECT_PENALTY,
                _ if server.is_backing_off(now) => EJECTED_PENALTY,
                _ => 0.0,
            };
            let tie_break = jitter * self.rng.random::<f32>();
            best.consider(index, self.cost(now, server) + full_penalty + penalty + tie_break);
        }
        best.index
    }

    /// Whether unhealthy servers are passed over, which applies while at most half are unhealthy.
    fn excludes_unhealthy(&self, now: Micros) -> bool {
        let open = self.servers.iter().flatten().filter(|s| !s.leaving);
        let is_unhealthy =
            |s: &&Server| s.health.status(now, s.in_flight() == 0) != HealthStatus::Healthy;
        open.clone().filter(is_unhealthy).count() * 2 <= open.count()
    }

    /// Expected cost of a request in microseconds, without its own work.
    fn cost(&self, now: Micros, server: &Server) -> f32 {
        let mean = self.latency.mean().max(1.0);
        let slots = server.usable_slots(now, self.cfg.ramp);
        let load = self.load(now, server);
        let waiting = (load + 1.0 - slots).max(0.0);
        let cross_domain_cost = if server.is_local { 0.0 } else { self.paths.cross_domain_cost() };
        cross_domain_cost + mean / slots * (waiting + SPREAD_FACTOR * load)
    }

    /// Estimated requests on a server: those of this instance and those of other dispatchers.
    fn load(&self, now: Micros, server: &Server) -> f32 {
        let typical_others =
            if server.is_local { self.typical_others.local } else { self.typical_others.remote };
        server.in_flight() as f32 + server.others.estimate(now, typical_others)
    }

    /// Estimates the slots that are free for this instance. The caller queues requests at zero.
    pub fn free_slots(&self, now: Micros) -> u32 {
        let exclude_unhealthy = self.excludes_unhealthy(now);
        let mut local = 0;
        let mut remote = 0;
        let mut local_in_flight = 0;
        let mut in_flight = 0;
        for server in self.servers.iter().flatten() {
            in_flight += server.in_flight();
            if !self.is_usable(now, server, exclude_unhealthy) {
                continue;
            }
            let free = self.free_slots_of(now, server);
            if server.is_local {
                local += free;
                local_in_flight += server.in_flight();
            } else {
                remote += free;
            }
        }
        let free = if self.waits_for_local(local_in_flight) { local } else { local + remote };
        if in_flight == 0 { free.max(1) } else { free }
    }

    fn free_slots_of(&self, now: Micros, server: &Server) -> u32 {
        let slots = server.usable_slots(now, self.cfg.ramp);
        let estimated = (slots - self.load(now, server)).max(0.0).round() as u32;
        estimated.max(self.guaranteed_slots(server).saturating_sub(server.in_flight()))
    }

    /// Slots of the server that this instance may use regardless of the estimated load of the other
    /// dispatchers: its equal share of the slots of a local server, and none of a remote one.
    /// Without this share, a dispatcher that holds few slots receives few answers and so few
    /// reports, and does not learn that slots have become free.
    fn guaranteed_slots(&self, server: &Server) -> u32 {
        if !server.is_local {
            return 0;
        }
        let sharers = self.cfg.dispatchers.max(1) as f32 / self.domains.max(1) as f32;
        (server.slots as f32 / sharers.max(1.0)).round() as u32
    }

    /// Chooses a server in another failure domain for a request that has just arrived, if its wait
    /// for a local slot would be longer than a cross-domain send takes. `None` if it should wait.
    pub fn choose_cross_domain(&mut self, now: Micros) -> Option<BackendHandle> {
        let local_wait = self.local_wait();
        if self.cfg.policy != ChoicePolicy::Galenapath
            || local_wait <= self.paths.cross_domain_cost()
        {
            return None;
        }
        self.record_late_requests(now);
        let exclude_unhealthy = self.excludes_unhealthy(now);
        let mut best = Best::NONE;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if server.is_local || !self.is_usable(now, server, exclude_unhealthy) {
                continue;
            }
            let cost = self.cost(now, server);
            let room = server.usable_slots(now, self.cfg.ramp) + MAX_WAITING_CROSS_DOMAIN;
            if self.load(now, server) < room && cost < local_wait {
                best.consider(index, cost);
            }
        }
        self.handle(best.index?)
    }

    /// Usable slots in the instance's failure domain, without those of slow, failing or leaving
    /// servers. Peers use the number as a weight when they choose addresses for callers.
    pub fn local_slots(&self, now: Micros) -> f32 {
        let exclude_unhealthy = self.excludes_unhealthy(now);
        let local = self.servers.iter().flatten().filter(|s| s.is_local);
        let usable = local.filter(|s| self.is_usable(now, s, exclude_unhealthy));
        usable.map(|s| s.usable_slots(now, self.cfg.ramp)).sum()
    }

    /// Expected wait of one more request for a local slot, in microseconds; zero when the number of
    /// waiting requests is not known. The rate at which slots become free is derived from this
    /// instance's requests in flight on local servers.
    fn local_wait(&self) -> f32 {
        let Some(waiting) = self.waiting else { return 0.0 };
        let local = self.servers.iter().flatten().filter(|s| s.is_local);
        let in_flight: u32 = local.map(Server::in_flight).sum();
        (waiting + 1) as f32 * self.latency.mean() / in_flight.max(1) as f32
    }

    /// Whether requests that already wait should continue to wait for a local slot.
    fn waits_for_local(&self, local_in_flight: u32) -> bool {
        let is_known = self.waiting.is_some() && local_in_flight > 0;
        is_known && self.local_wait() < self.paths.cross_domain_cost() * CROSS_DOMAIN_WAIT_FACTOR
    }

    /// Whether the slots of the server can be used; `exclude_unhealthy` is the result of
    /// [`Self::excludes_unhealthy`].
    fn is_usable(&self, now: Micros, server: &Server, exclude_unhealthy: bool) -> bool {
        let status = server.health.status(now, server.in_flight() == 0);
        let is_unhealthy = exclude_unhealthy && status != HealthStatus::Healthy;
        !is_unhealthy && server.is_open() && !server.is_backing_off(now)
    }
}
