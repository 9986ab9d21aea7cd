//! What placement knows, and what it is told.

use super::absent::Absent;
use super::ask::{PlacedServer, Started};
use super::config::PlaceConfig;
use super::estimate::{Estimate, LATE};
use super::guess::Guesses;
use super::known::Sighting;
use super::server::Server;
use super::warming::WarmUp;
use galenapath_protocol::{BackendId, FastMap, FastSet, Micros};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Weight of one sighting in the average delay.
const USUAL_WEIGHT: f32 = 1.0 / 64.0;
/// Weight of a late answer beside a failure.
const LATE_WEIGHT: f32 = 0.4;

/// Chooses servers of one service for one instance.
#[derive(Debug)]
pub struct Placement {
    pub(super) cfg: PlaceConfig,
    pub(super) servers: Vec<Server>,
    by_id: FastMap<BackendId, usize>,
    pub(super) absent: Absent,
    pub(super) rng: SmallRng,
    /// How long a request takes.
    estimate: Estimate,
    /// Average delay that the pace costs, over all sightings.
    pub(super) usual: f32,
    /// How the servers warm up.
    pub(super) warm_up: Option<WarmUp>,
    /// What came of requests to servers that nobody had seen lately.
    pub(super) guesses: Guesses,
}

impl Placement {
    /// Placement without servers.
    pub fn new(cfg: PlaceConfig, seed: u64) -> Self {
        let estimate = Estimate::new(cfg.assumed_work);
        Self {
            cfg,
            servers: Vec::new(),
            by_id: FastMap::default(),
            absent: Absent::default(),
            rng: SmallRng::seed_from_u64(seed),
            estimate,
            usual: 0.0,
            warm_up: None,
            guesses: Guesses::default(),
        }
    }

    /// Takes a new list. Servers that stay keep what is known of them.
    pub fn set_servers(&mut self, now: Micros, list: &[PlacedServer]) {
        let listed: FastSet<&BackendId> = list.iter().map(|s| &s.id).collect();
        let mut known = FastMap::default();
        for server in self.servers.drain(..) {
            if listed.contains(&server.id) {
                known.insert(server.id.clone(), server);
            } else {
                self.absent.remember(now, server);
            }
        }
        for entry in list {
            let server = known.remove(&entry.id);
            let is_new = server.is_none();
            let mut server = server.unwrap_or_else(|| self.absent.recall(now, &entry.id));
            server.slots = if is_new { entry.slots } else { server.slots };
            server.is_home = entry.is_home;
            server.is_leaving |= entry.is_leaving;
            server.cold_until = server.cold_until.max(now + entry.cold_for);
            let is_back = server.is_withdrawn && !entry.is_withdrawn;
            server.is_withdrawn = entry.is_withdrawn;
            if is_back {
                // It may have turned cold while nobody asked it.
                server.forget();
                server.cold_until = server.cold_until.max(now + self.unknown_cold_for());
            }
            self.servers.push(server);
        }
        self.by_id =
            self.servers.iter().enumerate().map(|(at, server)| (server.id.clone(), at)).collect();
    }

    /// Whether an idle connection to a server is kept.
    pub fn set_connected(&mut self, id: &BackendId, is_connected: bool) {
        if let Some(server) = self.server_mut(id) {
            server.is_connected = is_connected;
        }
    }

    /// Whether a server that has just been asked is still what it was taken for when the request was
    /// counted there.
    pub fn is_fit(&self, now: Micros, id: &BackendId, started: Started) -> bool {
        let Some(index) = self.by_id.get(id).copied() else { return false };
        let server = &self.servers[index];
        let is_slow = server.seen().is_some_and(|seen| seen.is_slow());
        let more = self.lateness(now, index) - started.expected_delay.0 as f32;
        let is_slower = is_slow && more > self.cfg.slower * self.work().0 as f32;
        let is_full = server.load() > server.slots;
        // It filled up since it was chosen: where crowding costs, others that are not full do better.
        let is_crowded = self.crowding() >= self.cfg.crowding_limit
            && !started.is_crowded
            && server.load() as f32 > self.cfg.crowded_from * server.slots as f32;
        let is_worse = is_slower || is_full || is_crowded;
        self.may_send(now, id, started) && !is_worse && server.is_reachable(now)
    }

    /// Whether a request that was given to a server as `started` says may still be sent there. One that has
    /// turned cold or named a limit since may be getting as much as it can take from others.
    pub fn may_send(&self, now: Micros, id: &BackendId, started: Started) -> bool {
        let Some(server) = self.server(id) else { return false };
        let has_turned_cold = self.warm_up.is_some() && server.is_cold(now) && !started.is_cold;
        let has_named_limit = server.is_limited() && !started.is_limited;
        server.wants_requests(now) && !has_turned_cold && !has_named_limit
    }

    /// Counts one more send to a server of a request that was sent there before; false where the server
    /// cannot take it.
    pub fn send_again(&mut self, now: Micros, id: &BackendId) -> bool {
        let Some(index) = self.by_id.get(id).copied() else { return false };
        let can_take = self.servers[index].wants_requests(now) && self.can_take(now, index);
        if can_take {
            self.count_warming(now, index);
            self.servers[index].limited.count(now);
        }
        can_take
    }

    /// A request is sent to the server. Returns how it looks.
    pub fn start(&mut self, now: Micros, id: &BackendId) -> Started {
        let crowded_from = self.cfg.crowded_from;
        let Some(index) = self.by_id.get(id).copied() else { return Started::default() };
        let expected_delay = Micros(self.lateness(now, index) as u64);
        let is_cold = self.count_warming(now, index);
        let is_guess = !self.servers[index].is_known(now, &self.cfg);
        let server = &mut self.servers[index];
        let is_limited = server.limited.count(now);
        let started = Started {
            is_crowded: server.fill() > crowded_from,
            is_slow: is_cold || server.seen().is_some_and(|seen| seen.is_slow()),
            is_cold,
            is_limited,
            is_guess,
            expected_delay,
        };
        server.own += 1;
        server.unsent += 1;
        started
    }

    /// A request that was started is on its way.
    pub fn sent(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.unsent = server.unsent.saturating_sub(1);
        }
    }

    /// A request that went to a server as `started` says was sent there, or was not because the server turned out
    /// unfit.
    pub fn found(&mut self, started: Started, is_fit: bool) {
        if started.is_guess {
            self.guesses.came_out(is_fit);
        }
    }

    /// A request has left the server, however it ended.
    pub fn finish(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// The server answered a request that was sent there as `started` says after `latency`.
    pub fn served(&mut self, now: Micros, id: &BackendId, latency: Micros, started: Started) {
        let over = self.estimate.over(latency);
        let cfg = self.cfg.clone();
        let Some(server) = self.server_mut(id) else { return };
        server.reached();
        let is_slow = started.is_slow || server.seen().is_some_and(|seen| seen.is_slow());
        if over > LATE && !is_slow {
            server.failed(now, &cfg, LATE_WEIGHT);
        } else {
            server.served(now, &cfg);
        }
        if !is_slow {
            self.estimate.learn(latency, started.is_crowded);
        }
    }

    /// Takes the time of a request from the `target` of its route, as long as none was measured.
    pub fn assume_work(&mut self, target: Micros) {
        self.estimate.assume(target);
    }

    /// The server failed a request; `weight` is one for a plain failure.
    pub fn failed(&mut self, now: Micros, id: &BackendId, weight: f32) {
        let cfg = self.cfg.clone();
        if let Some(server) = self.server_mut(id) {
            server.failed(now, &cfg, weight);
        }
    }

    /// No connection to the server could be had.
    pub fn not_reached(&mut self, now: Micros, id: &BackendId) {
        let until = now + self.cfg.unreachable_for;
        if let Some(server) = self.server_mut(id) {
            server.not_reached(until);
        }
    }

    /// A probe reached the server.
    pub fn reached(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.reached();
        }
    }

    /// Takes in what this or another instance saw; returns whether it was news.
    pub fn see(&mut self, id: &BackendId, sighting: Sighting) -> bool {
        let delay = Server::delay_when_seen(&sighting, self.work());
        let Some(server) = self.server_mut(id) else { return false };
        let is_news = server.see(sighting);
        if is_news {
            self.usual += USUAL_WEIGHT * (delay - self.usual);
        }
        is_news
    }

    /// Mean age of the sightings of the servers that were seen.
    pub fn mean_age(&self, now: Micros) -> Micros {
        let ages = self.servers.iter().filter_map(|s| s.seen().map(|seen| (now - seen.at).0));
        let count = self.servers.iter().filter(|s| s.seen().is_some()).count() as u64;
        Micros(ages.sum::<u64>() / count.max(1))
    }

    /// The newest sighting of a server.
    pub fn seen(&self, id: &BackendId) -> Option<Sighting> {
        self.server(id)?.seen()
    }

    /// Requests at a server, as far as this instance knows.
    pub fn load(&self, id: &BackendId) -> u32 {
        self.by_id.get(id).map_or(0, |at| self.servers[*at].load())
    }

    /// Whether a server that was chosen before may still get the request.
    pub fn takes_requests(&self, id: &BackendId) -> bool {
        self.by_id.get(id).is_some_and(|at| self.servers[*at].takes_requests())
    }

    /// The server takes no new requests, whatever the list says.
    pub fn mark_leaving(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.is_leaving = true;
        }
    }

    /// Servers that leave.
    pub fn leaving_count(&self) -> usize {
        self.servers.iter().filter(|server| server.is_leaving).count()
    }

    /// Mean time of an answer at the usual pace.
    pub fn work(&self) -> Micros {
        self.estimate.work()
    }

    /// Slots in which a request is expected to be answered at the usual pace: those of servers that
    /// can be reached, take requests and are not slow, as far as the limits that they name let them be used.
    pub fn good_slots(&self, now: Micros) -> f32 {
        let part =
            if self.crowding() < self.cfg.crowding_limit { 1.0 } else { self.cfg.crowded_from };
        let good = self.servers.iter().filter(|server| server.is_good(now));
        let slots = |server: &Server| (server.slots as f32 * part).floor();
        good.map(|server| server.slots_within_limit(slots(server), self.work())).sum()
    }

    /// Time of an answer from a crowded server over that from another one.
    pub fn crowding(&self) -> f32 {
        self.estimate.crowding()
    }

    pub(super) fn server(&self, id: &BackendId) -> Option<&Server> {
        self.servers.get(*self.by_id.get(id)?)
    }

    pub(super) fn server_mut(&mut self, id: &BackendId) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_id.get(id)?)
    }
}
