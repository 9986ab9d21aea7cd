//! The choice of the server for one request.

use super::config::PlaceConfig;
use super::known::Sighting;
use super::server::Server;
use galenapath_protocol::{BackendId, FastMap, FastSet, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Weight of one answer in the measured work time.
const WORK_WEIGHT: f32 = 1.0 / 32.0;
/// Weight of one sighting in the average delay.
const USUAL_WEIGHT: f32 = 1.0 / 64.0;
/// Latency over the measured work time from which an answer counts as late.
const LATE: f32 = 4.0;
/// Weight of a late answer beside a failure.
const LATE_WEIGHT: f32 = 0.4;

/// Handle of a server; stays valid for as long as the server is listed.
pub type ServerKey = BackendId;

/// A server as the list tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedServer {
    /// Its identity.
    pub id: BackendId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the own failure domain.
    pub is_home: bool,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
    /// How much longer it works slowly after its start.
    pub cold_for: Micros,
}

/// What a request asks of placement.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Servers that it has been sent to already.
    pub tried: &'a [BackendId],
    /// Whether its answer is large.
    pub is_large: bool,
    /// Whether it takes a bad server rather than wait on.
    pub is_urgent: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this server, now.
    Server(BackendId),
    /// Every server worth going to is full; wait.
    Wait,
    /// There is no server that could take it.
    Nowhere,
}

/// Chooses servers of one service for one instance.
#[derive(Debug)]
pub struct Placement {
    cfg: PlaceConfig,
    servers: Vec<Server>,
    by_id: FastMap<BackendId, usize>,
    rng: SmallRng,
    /// Measured time of an answer, mean.
    work: Micros,
    /// Average delay that the pace costs, over all sightings.
    usual: f32,
}

impl Placement {
    /// Placement without servers.
    pub fn new(cfg: PlaceConfig, seed: u64) -> Self {
        let work = cfg.assumed_work;
        Self {
            cfg,
            servers: Vec::new(),
            by_id: FastMap::default(),
            rng: SmallRng::seed_from_u64(seed),
            work,
            usual: 0.0,
        }
    }

    /// Takes a new list. Servers that stay keep what is known of them.
    pub fn set_servers(&mut self, now: Micros, list: &[PlacedServer]) {
        let listed: FastSet<&BackendId> = list.iter().map(|s| &s.id).collect();
        self.servers.retain(|server| listed.contains(&server.id));
        let mut known: FastMap<BackendId, Server> =
            self.servers.drain(..).map(|server| (server.id.clone(), server)).collect();
        for entry in list {
            let server = known.remove(&entry.id);
            let is_new = server.is_none();
            let mut server = server.unwrap_or_else(|| Server::new(entry.id.clone()));
            server.slots = if is_new { entry.slots } else { server.slots };
            server.is_home = entry.is_home;
            server.is_leaving |= entry.is_leaving;
            server.cold_until = if is_new { now + entry.cold_for } else { server.cold_until };
            self.servers.push(server);
        }
        self.by_id =
            self.servers.iter().enumerate().map(|(at, server)| (server.id.clone(), at)).collect();
    }

    /// Chooses a server.
    pub fn choose(&mut self, now: Micros, ask: &Ask<'_>) -> Choice {
        let mut best: Option<(f32, usize)> = None;
        let mut has_full = false;
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if server.is_leaving || ask.tried.contains(&server.id) {
                continue;
            }
            if !server.is_reachable(now) {
                continue;
            }
            if !server.has_room() {
                has_full = true;
                continue;
            }
            let cost = self.cost(now, index, ask.is_large);
            let chance = self.rng.random::<f32>() * self.cfg.jitter * self.work.0 as f32;
            if best.is_none_or(|(least, _)| cost + chance < least) {
                best = Some((cost + chance, index));
            }
        }
        let limit = self.cfg.worth_waiting.0 as f32 + self.usual;
        match best {
            Some((cost, _)) if has_full && !ask.is_urgent && cost > limit => Choice::Wait,
            Some((_, index)) => Choice::Server(self.servers[index].id.clone()),
            None if has_full => Choice::Wait,
            None => Choice::Nowhere,
        }
    }

    /// Whether a server other than those tried is expected to answer soon: it has room, works at
    /// its usual pace and does not fail.
    pub fn has_good(&self, now: Micros, ask: &Ask<'_>) -> bool {
        let limit = self.cfg.worth_waiting.0 as f32;
        (0..self.servers.len()).any(|index| {
            let server = &self.servers[index];
            !server.is_leaving
                && !ask.tried.contains(&server.id)
                && server.is_reachable(now)
                && server.has_room()
                && self.cost(now, index, false) < limit
        })
    }

    fn cost(&self, now: Micros, index: usize, is_large: bool) -> f32 {
        let cfg = &self.cfg;
        let server = &self.servers[index];
        let work = self.work.0 as f32;
        let fill = (server.load() + 1) as f32 / server.slots as f32;
        let crossing = if is_large { cfg.crossing_large } else { cfg.crossing };
        let mut cost = server.delay(now, self.work, self.usual, cfg);
        cost += fill * fill * cfg.fill_cost * work;
        cost += server.trouble(now, cfg) * cfg.failure.0 as f32;
        cost += if server.is_home { 0.0 } else { crossing.0 as f32 };
        cost += if server.cold_until > now { work } else { 0.0 };
        cost
    }

    /// A request is sent to the server.
    pub fn start(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.own += 1;
        }
    }

    /// A request has left the server, however it ended.
    pub fn finish(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// The server answered after `latency`.
    pub fn served(&mut self, now: Micros, id: &BackendId, latency: Micros) {
        let work = self.work.0 as f32;
        let over = latency.0 as f32 / work.max(1.0);
        let cfg = self.cfg.clone();
        let Some(server) = self.server_mut(id) else { return };
        server.reached();
        let is_slow = server.seen().is_some_and(|seen| seen.is_slow());
        if over > LATE && !is_slow {
            server.failed(now, &cfg, LATE_WEIGHT);
        } else {
            server.served(now, &cfg);
        }
        // Slow spells are told by the pace, and must not stretch what a request usually takes.
        if !is_slow && over < LATE {
            self.work = Micros((work + WORK_WEIGHT * (latency.0 as f32 - work)) as u64);
        }
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
        let delay = Server::delay_when_seen(&sighting, self.work, &self.cfg);
        let Some(server) = self.server_mut(id) else { return false };
        let is_news = server.see(sighting);
        if is_news {
            self.usual += USUAL_WEIGHT * (delay - self.usual);
        }
        is_news
    }

    /// The newest sighting of a server.
    pub fn seen(&self, id: &BackendId) -> Option<Sighting> {
        self.servers.get(*self.by_id.get(id)?)?.seen()
    }

    /// The server takes no new requests, whatever the list says.
    pub fn mark_leaving(&mut self, id: &BackendId) {
        if let Some(server) = self.server_mut(id) {
            server.is_leaving = true;
        }
    }

    /// Mean time of an answer at the usual pace.
    pub fn work(&self) -> Micros {
        self.work
    }

    /// Slots of servers that can be reached and take requests.
    pub fn slots(&self, now: Micros) -> u32 {
        let usable = |s: &&Server| !s.is_leaving && s.is_reachable(now);
        self.servers.iter().filter(usable).map(|s| s.slots).sum()
    }

    /// Requests at the servers, of all instances, as far as known.
    pub fn load(&self) -> u32 {
        self.servers.iter().map(Server::load).sum()
    }

    fn server_mut(&mut self, id: &BackendId) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_id.get(id)?)
    }
}
