//! State of placement and its updates.

use super::config::PlaceConfig;
use super::delisted::DelistedServers;
use super::estimate::{Estimate, MAX_RATIO};
use super::observation::LoadObservation;
use super::selection::{PlacedServer, ServerSnapshot};
use super::server::Server;
use super::stale_queries::StaleQueries;
use super::warming::WarmUp;
use galenapath_protocol::{BackendId, FastMap, FastSet, Micros};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Weight of one observation in the average delay.
const DELAY_WEIGHT: f32 = 1.0 / 64.0;
/// Weight of a late answer relative to a failure.
const LATE_ANSWER_WEIGHT: f32 = 0.4;

/// Selects the servers of one service for one instance.
#[derive(Debug)]
pub struct Placement {
    pub(super) cfg: PlaceConfig,
    pub(super) servers: Vec<Server>,
    by_id: FastMap<BackendId, usize>,
    pub(super) delisted: DelistedServers,
    pub(super) rng: SmallRng,
    /// Estimates of the work time.
    estimate: Estimate,
    /// Moving average of the delay caused by slowdown, over all observations.
    pub(super) average_delay: f32,
    /// Warm-up of the service's servers, if configured.
    pub(super) warm_up: Option<WarmUp>,
    /// Results of queries to servers with stale observations.
    pub(super) stale_queries: StaleQueries,
}

impl Placement {
    /// Creates a placement without servers.
    pub fn new(cfg: PlaceConfig, seed: u64) -> Self {
        let estimate = Estimate::new(cfg.assumed_work);
        Self {
            cfg,
            servers: Vec::new(),
            by_id: FastMap::default(),
            delisted: DelistedServers::default(),
            rng: SmallRng::seed_from_u64(seed),
            estimate,
            average_delay: 0.0,
            warm_up: None,
            stale_queries: StaleQueries::default(),
        }
    }

    /// Replaces the list of servers. Servers that remain keep their state.
    pub fn set_servers(&mut self, now: Micros, list: &[PlacedServer]) {
        let listed: FastSet<&BackendId> = list.iter().map(|s| &s.id).collect();
        let mut previous = FastMap::default();
        for server in self.servers.drain(..) {
            if listed.contains(&server.id) {
                previous.insert(server.id.clone(), server);
            } else {
                self.delisted.add(now, server);
            }
        }
        for entry in list {
            let server = previous.remove(&entry.id);
            let is_new = server.is_none();
            let mut server = server.unwrap_or_else(|| self.delisted.restore(now, &entry.id));
            server.slots = if is_new { entry.slots } else { server.slots };
            server.is_local = entry.is_local;
            server.is_leaving |= entry.is_leaving;
            server.cold_until = server.cold_until.max(now + entry.cold_for);
            let is_back = server.is_withdrawn && !entry.is_withdrawn;
            server.is_withdrawn = entry.is_withdrawn;
            if is_back {
                // It may have turned cold while it got no requests.
                server.clear_observation();
                server.is_connectable = true;
                server.cold_until = server.cold_until.max(now + self.default_cold_for());
            }
            self.servers.push(server);
        }
        self.by_id =
            self.servers.iter().enumerate().map(|(at, server)| (server.id.clone(), at)).collect();
    }

    /// Sets whether an idle connection to a server is open.
    pub fn set_connected(&mut self, id: &BackendId, is_connected: bool) {
        if let Some(server) = self.server_mut(id) {
            server.is_connected = is_connected;
        }
    }

    /// Sets whether new connections to a server can be opened. A server to which none can be opened
    /// gets requests only while an idle connection is open.
    pub fn set_connectable(&mut self, id: &BackendId, is_connectable: bool) {
        if let Some(server) = self.server_mut(id) {
            server.is_connectable = is_connectable;
        }
    }

    /// Whether a server, after a load query, still matches its state at the time of the assignment.
    pub fn is_fit(&self, now: Micros, id: &BackendId, snapshot: ServerSnapshot) -> bool {
        let Some(index) = self.by_id.get(id).copied() else { return false };
        let server = &self.servers[index];
        let is_slow = server.last_observation().is_some_and(|observation| observation.is_slow());
        let extra_delay = self.expected_delay(now, index) - snapshot.expected_delay.0 as f32;
        let is_slower = is_slow && extra_delay > self.cfg.slower_tolerance * self.work().0 as f32;
        let is_full = server.load() > server.slots;
        // It filled up since it was selected; where contention matters, servers that are not full
        // are better.
        let is_contended = self.contention() >= self.cfg.contention_limit
            && !snapshot.is_contended
            && server.load() as f32 > self.cfg.contended_from * server.slots as f32;
        let is_worse = is_slower || is_full || is_contended;
        self.may_send(now, id, snapshot) && !is_worse && server.is_reachable(now)
    }

    /// Whether a request that was assigned with `snapshot` may still be sent to the server. A
    /// server that has turned cold or stated a rate limit since may already get as much as it can
    /// take from other instances.
    pub fn may_send(&self, now: Micros, id: &BackendId, snapshot: ServerSnapshot) -> bool {
        let Some(server) = self.server(id) else { return false };
        let has_turned_cold = self.warm_up.is_some() && server.is_cold(now) && !snapshot.is_cold;
        let has_new_limit = server.is_limited() && !snapshot.is_limited;
        server.accepts_requests(now) && !has_turned_cold && !has_new_limit
    }

    /// Counts another send to a server of a request that was sent there before. Returns false if
    /// the server cannot take it.
    pub fn try_count_resend(&mut self, now: Micros, id: &BackendId) -> bool {
        let Some(index) = self.by_id.get(id).copied() else { return false };
        let can_accept = self.servers[index].accepts_requests(now) && self.can_accept(now, index);
        if can_accept {
            self.count_warming(now, index);
            self.servers[index].limited.count(now);
        }
        can_accept
    }

    /// Assigns a request to the server. Returns the known state of the server.
    pub fn start(&mut self, now: Micros, id: &BackendId) -> ServerSnapshot {
        let contended_from = self.cfg.contended_from;
        let Some(index) = self.by_id.get(id).copied() else { return ServerSnapshot::default() };
        let expected_delay = Micros(self.expected_delay(now, index) as u64);
        let is_cold = self.count_warming(now, index);
        let is_stale = !self.servers[index].is_fresh(now, &self.cfg);
        let server = &mut self.servers[index];
        let is_limited = server.limited.count(now);
        let snapshot = ServerSnapshot {
            is_contended: server.fill() > contended_from,
            is_slow: is_cold
                || server.last_observation().is_some_and(|observation| observation.is_slow()),
            is_cold,
            is_limited,
            is_stale,
            expected_delay,
        };
        server.own_requests += 1;
        server.unsent += 1;
        snapshot
    }

    /// Records that an assigned request has been sent.
    pub fn mark_sent(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.unsent = server.unsent.saturating_sub(1);
        }
    }

    /// Records whether the server of an assignment was fit when the request was about to be sent.
    pub fn record_fitness(&mut self, snapshot: ServerSnapshot, is_fit: bool) {
        if snapshot.is_stale {
            self.stale_queries.record(is_fit);
        }
    }

    /// Records that a request has left the server, whatever its outcome.
    pub fn finish(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Records that the server answered a request that was assigned with `snapshot` after
    /// `latency`.
    pub fn record_success(
        &mut self,
        now: Micros,
        id: &BackendId,
        latency: Micros,
        snapshot: ServerSnapshot,
    ) {
        let ratio = self.estimate.ratio(latency);
        let cfg = self.cfg.clone();
        let Some(server) = self.server_mut(id) else { return };
        server.mark_reachable();
        let is_slow = snapshot.is_slow
            || server.last_observation().is_some_and(|observation| observation.is_slow());
        if ratio > MAX_RATIO && !is_slow {
            server.record_failure(now, &cfg, LATE_ANSWER_WEIGHT);
        } else {
            server.record_success(now, &cfg);
        }
        if !is_slow {
            self.estimate.learn(latency, snapshot.is_contended);
        }
    }

    /// Derives the work time from the `target` of a route, as long as there was no answer.
    pub fn assume_work(&mut self, target: Micros) {
        self.estimate.assume(target);
    }

    /// Records a failed request; `weight` is one for a plain failure.
    pub fn record_failure(&mut self, now: Micros, id: &BackendId, weight: f32) {
        let cfg = self.cfg.clone();
        if let Some(server) = self.server_mut(id) {
            server.record_failure(now, &cfg, weight);
        }
    }

    /// Records that no connection to the server could be established.
    pub fn mark_unreachable(&mut self, now: Micros, id: &BackendId) {
        let until = now + self.cfg.unreachable_for;
        if let Some(server) = self.server_mut(id) {
            server.mark_unreachable(until);
        }
    }

    /// Records that a probe reached the server.
    pub fn mark_reachable(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.mark_reachable();
        }
    }

    /// Adds an observation of this or another instance; returns whether it is newer than the last
    /// one.
    pub fn observe(&mut self, id: &BackendId, observation: LoadObservation) -> bool {
        let delay = Server::observed_delay(&observation, self.work());
        let Some(server) = self.server_mut(id) else { return false };
        let is_update = server.observe(observation);
        if is_update {
            self.average_delay += DELAY_WEIGHT * (delay - self.average_delay);
        }
        is_update
    }

    /// Mean age of the last observations of all observed servers.
    pub fn mean_observation_age(&self, now: Micros) -> Micros {
        let ages = self
            .servers
            .iter()
            .filter_map(|s| s.last_observation().map(|observation| (now - observation.at).0));
        let count = self.servers.iter().filter(|s| s.last_observation().is_some()).count() as u64;
        Micros(ages.sum::<u64>() / count.max(1))
    }

    /// The newest observation of a server.
    pub fn last_observation(&self, id: &BackendId) -> Option<LoadObservation> {
        self.server(id)?.last_observation()
    }

    /// Number of requests at a server, as far as this instance knows.
    pub fn load(&self, id: &BackendId) -> u32 {
        self.by_id.get(id).map_or(0, |at| self.servers[*at].load())
    }

    /// Whether a server that was selected before may still get the request.
    pub fn takes_requests(&self, id: &BackendId) -> bool {
        self.by_id.get(id).is_some_and(|at| self.servers[*at].takes_requests())
    }

    /// Marks a server as leaving, whatever the list contains.
    pub fn mark_leaving(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.is_leaving = true;
        }
    }

    /// Whether a server is leaving.
    pub fn is_leaving(&self, id: &BackendId) -> bool {
        self.server(id).is_some_and(|server| server.is_leaving)
    }

    /// Number of leaving servers.
    pub fn leaving_count(&self) -> usize {
        self.servers.iter().filter(|server| server.is_leaving).count()
    }

    /// Mean time of an answer from a server that is neither slow nor contended.
    pub fn work(&self) -> Micros {
        self.estimate.work()
    }

    /// Number of slots in which a request is expected to be answered without slowdown: those of
    /// servers that are reachable, take requests and are not slow, as far as their rate limits
    /// allow.
    pub fn good_slots(&self, now: Micros) -> f32 {
        let part = if self.contention() < self.cfg.contention_limit {
            1.0
        } else {
            self.cfg.contended_from
        };
        let good = self.servers.iter().filter(|server| server.is_good(now));
        let slots = |server: &Server| (server.slots as f32 * part).floor();
        good.map(|server| server.slots_within_limit(slots(server), self.work())).sum()
    }

    /// Ratio of the time of an answer under contention to that of another one.
    pub fn contention(&self) -> f32 {
        self.estimate.contention()
    }

    pub(super) fn server(&self, id: &BackendId) -> Option<&Server> {
        self.servers.get(*self.by_id.get(id)?)
    }

    pub(super) fn server_mut(&mut self, id: &BackendId) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_id.get(id)?)
    }
}
