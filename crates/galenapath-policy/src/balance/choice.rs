//! The choice of the backend server.
//!
//! Load pattern: many requests in the same few milliseconds, arriving at several dispatchers that
//! cannot see each other's. What goes wrong without it: they herd onto the server that looked idle
//! last, while a straggler keeps its share of the work.
//!
//! A request goes to the server with the least cost: the crossing to another failure domain, plus
//! the wait for a slot there. Suspect servers come last, ejected ones get single trials. When most
//! servers look bad, the measure is bad and none is passed over.

use super::balancer::Balancer;
use super::baseline::{self, Candidate};
use super::config::ChoicePolicy;
use super::health::Standing;
use super::server::Server;
use super::slot::Slot;
use galenapath_protocol::Micros;
use rand::RngExt;

/// Cost of a server without a free slot beside those with one. A request that waits at the instance
/// goes to the slot that comes free first; one that waits at a server waits for that server.
const FULL_COST: f32 = 1e6;
/// Cost of a suspect server beside healthy ones, in microseconds: more than any wait.
const SUSPECT_COST: f32 = 1e9;
const EJECTED_COST: f32 = 2e9;
/// Part of the mean latency by which an empty server is better than one with all but one slot
/// taken. Small, so that it orders servers of equal cost and outweighs no crossing.
const SPREAD: f32 = 0.1;
/// Part of the mean latency within which servers count as equal and chance decides.
const JITTER: f32 = 0.01;

/// Requests beyond a server's slots that may wait there after a crossing: the slot then has work
/// at once, instead of standing empty for a round trip.
const WAITING_AFTER_CROSSING: f32 = 1.0;
/// Crossings that a request would have to wait for its own failure domain before those that wait
/// longest cross too. Below that, only new ones do: one that has waited pays twice.
const LONG_WAIT: f32 = 4.0;

/// Whether a request may be the trial of an ejected server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trials {
    Allowed,
    Refused,
}

/// The best of the servers seen so far.
#[derive(Clone, Copy, Debug)]
struct Best {
    index: Option<usize>,
    cost: f32,
}

impl Best {
    const NONE: Self = Self { index: None, cost: f32::INFINITY };

    fn offer(&mut self, index: usize, cost: f32) {
        if cost < self.cost {
            *self = Self { index: Some(index), cost };
        }
    }
}

impl Balancer {
    /// Chooses a server for one request, or `None` when no server may be given work now. Servers
    /// in `exclude` (those that the request has tried) and leaving ones are never chosen.
    pub fn choose(&mut self, now: Micros, exclude: &[Slot]) -> Option<Slot> {
        self.choose_with(now, exclude, Trials::Allowed)
    }

    /// Chooses as [`Self::choose`], but never an ejected server for a trial: for a request that
    /// must not be sent again when it fails.
    pub fn choose_proven(&mut self, now: Micros, exclude: &[Slot]) -> Option<Slot> {
        self.choose_with(now, exclude, Trials::Refused)
    }

    fn choose_with(&mut self, now: Micros, exclude: &[Slot], trials: Trials) -> Option<Slot> {
        self.note_late(now);
        let index = match self.cfg.policy {
            ChoicePolicy::Galenapath => self.choose_least_cost(now, exclude, trials),
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

    fn choose_least_cost(
        &mut self,
        now: Micros,
        exclude: &[Slot],
        trials: Trials,
    ) -> Option<usize> {
        let heed = self.heeds_health(now);
        let jitter = JITTER * self.latency.mean();
        let mut best = Best::NONE;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if !server.is_open() || exclude.contains(&Slot::new(index, server.generation)) {
                continue;
            }
            let standing = server.health.standing(now, server.in_flight() == 0);
            if standing == Standing::TrialDue && trials == Trials::Allowed {
                return Some(index);
            }
            let full = if self.free(now, server) == 0 { FULL_COST } else { 0.0 };
            let penalty = match standing {
                Standing::Ejected | Standing::TrialDue if heed => EJECTED_COST,
                Standing::Suspect if heed => SUSPECT_COST,
                _ if server.is_paused(now) => EJECTED_COST,
                _ => 0.0,
            };
            let chance = jitter * self.rng.random::<f32>();
            best.offer(index, self.cost(now, server) + full + penalty + chance);
        }
        best.index
    }

    /// Whether slow and failing servers are passed over: only while at most half are.
    fn heeds_health(&self, now: Micros) -> bool {
        let open = self.servers.iter().flatten().filter(|s| !s.leaving);
        let is_bad = |s: &&Server| s.health.standing(now, s.in_flight() == 0) != Standing::Healthy;
        open.clone().filter(is_bad).count() * 2 <= open.count()
    }

    /// Expected cost of a request in microseconds, beside its work.
    fn cost(&self, now: Micros, server: &Server) -> f32 {
        let mean = self.latency.mean().max(1.0);
        let slots = server.usable_slots(now, self.cfg.ramp);
        let load = self.load(now, server);
        let waiting = (load + 1.0 - slots).max(0.0);
        let crossing = if server.home { 0.0 } else { self.paths.crossing() };
        crossing + mean / slots * (waiting + SPREAD * load)
    }

    /// Requests on a server: the own ones and an estimate of the others'.
    fn load(&self, now: Micros, server: &Server) -> f32 {
        let typical = if server.home { self.typical.home } else { self.typical.foreign };
        server.in_flight() as f32 + server.others.estimate(now, typical)
    }

    /// Estimate of the slots that are free for this instance. The caller queues when it is zero.
    pub fn free_slots(&self, now: Micros) -> u32 {
        let heed = self.heeds_health(now);
        let mut home = 0;
        let mut foreign = 0;
        let mut home_in_flight = 0;
        let mut in_flight = 0;
        for server in self.servers.iter().flatten() {
            in_flight += server.in_flight();
            if !self.is_usable(now, server, heed) {
                continue;
            }
            let free = self.free(now, server);
            if server.home {
                home += free;
                home_in_flight += server.in_flight();
            } else {
                foreign += free;
            }
        }
        let free = if self.waits_for_home(home_in_flight) { home } else { home + foreign };
        if in_flight == 0 { free.max(1) } else { free }
    }

    fn free(&self, now: Micros, server: &Server) -> u32 {
        let slots = server.usable_slots(now, self.cfg.ramp);
        let estimated = (slots - self.load(now, server)).max(0.0).round() as u32;
        estimated.max(self.guaranteed(server).saturating_sub(server.in_flight()))
    }

    /// Slots of the server that this instance may use whatever the estimate of the others says: in
    /// its own failure domain, its part of all of them. Without that, a dispatcher that holds few
    /// slots gets few answers, so few reports, and never learns that slots have come free.
    fn guaranteed(&self, server: &Server) -> u32 {
        if !server.home {
            return 0;
        }
        let sharers = self.cfg.dispatchers.max(1) as f32 / self.domains.max(1) as f32;
        (server.slots as f32 / sharers.max(1.0)).round() as u32
    }

    /// Chooses a server in another failure domain for a request that has just come and would wait
    /// longer for a slot of its own domain than the crossing takes. `None` when it had better wait.
    pub fn choose_crossing(&mut self, now: Micros) -> Option<Slot> {
        let home_wait = self.home_wait();
        if self.cfg.policy != ChoicePolicy::Galenapath || home_wait <= self.paths.crossing() {
            return None;
        }
        self.note_late(now);
        let heed = self.heeds_health(now);
        let mut best = Best::NONE;
        for (index, server) in self.servers.iter().enumerate() {
            let Some(server) = server else { continue };
            if server.home || !self.is_usable(now, server, heed) {
                continue;
            }
            let cost = self.cost(now, server);
            let room = server.usable_slots(now, self.cfg.ramp) + WAITING_AFTER_CROSSING;
            if self.load(now, server) < room && cost < home_wait {
                best.offer(index, cost);
            }
        }
        self.slot(best.index?)
    }

    /// Slots of the own failure domain that can be used now: those of slow, failing or leaving
    /// servers do not count. Peers weigh the addresses that they give to callers by it.
    pub fn home_slots(&self, now: Micros) -> f32 {
        let heed = self.heeds_health(now);
        let home = self.servers.iter().flatten().filter(|s| s.home);
        let usable = home.filter(|s| self.is_usable(now, s, heed));
        usable.map(|s| s.usable_slots(now, self.cfg.ramp)).sum()
    }

    /// Expected wait of one more request for a slot of the own failure domain, in microseconds;
    /// zero when the instance does not tell how many wait. The own requests in flight there tell
    /// how fast slots come free.
    fn home_wait(&self) -> f32 {
        let Some(waiting) = self.waiting else { return 0.0 };
        let home = self.servers.iter().flatten().filter(|s| s.home);
        let in_flight: u32 = home.map(Server::in_flight).sum();
        (waiting + 1) as f32 * self.latency.mean() / in_flight.max(1) as f32
    }

    /// Whether the requests that wait are better off with the next free slots of the own failure
    /// domain than with a crossing.
    fn waits_for_home(&self, home_in_flight: u32) -> bool {
        let is_told = self.waiting.is_some() && home_in_flight > 0;
        is_told && self.home_wait() < self.paths.crossing() * LONG_WAIT
    }

    /// Whether the server counts for the free slots; `heed` as [`Self::heeds_health`] tells.
    fn is_usable(&self, now: Micros, server: &Server, heed: bool) -> bool {
        let standing = server.health.standing(now, server.in_flight() == 0);
        let is_bad = heed && standing != Standing::Healthy;
        !is_bad && server.is_open() && !server.is_paused(now)
    }
}
