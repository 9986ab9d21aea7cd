//! Server selection for one request.

use super::placement::Placement;
use super::selection::{Choice, RequestCriteria};
use super::server::Server;
use galenapath_protocol::Micros;
use rand::RngExt;
use rand::seq::SliceRandom;

/// The best of several servers.
#[derive(Clone, Copy, Debug)]
struct BestServer {
    /// Index of the server; `None` where no candidate has a free slot.
    index: Option<usize>,
    /// Whether some candidate is full.
    has_full: bool,
}

impl Placement {
    /// Selects a server.
    ///
    /// A request waits for a better server that is full if the best one with a free slot would
    /// answer too late and the better one could still answer in time.
    ///
    /// Of many servers it considers a random sample: otherwise all instances with the same
    /// observations would select the server that was observed last, with twenty requests within a
    /// tenth of a second. It considers all servers if no server of the sample would answer in time.
    pub fn choose(&mut self, now: Micros, criteria: &RequestCriteria<'_>) -> Choice {
        let sample = self.sample();
        let sampled = self.best(now, criteria, &sample);
        if let Some(index) = sampled.index
            && !self.is_too_late(now, index, criteria.time_left)
        {
            return Choice::Server(self.servers[index].id.clone());
        }
        let all: Vec<usize> = (0..self.servers.len()).collect();
        let best = self.best(now, criteria, &all);
        match best.index {
            None if best.has_full => Choice::Wait,
            None => Choice::NoServer,
            Some(index) if best.has_full && self.is_too_late(now, index, criteria.time_left) => {
                Choice::Wait
            }
            Some(index) => Choice::Server(self.servers[index].id.clone()),
        }
    }

    /// Draws a random sample: servers of the own failure domain, servers with an open connection,
    /// and servers of other domains.
    fn sample(&mut self) -> Vec<usize> {
        let size = self.cfg.sample_size;
        let mut taken = Vec::with_capacity(2 * size);
        for is_local in [true, false] {
            let mut side: Vec<usize> = (0..self.servers.len())
                .filter(|at| self.servers[*at].is_local == is_local)
                .collect();
            let (chosen, _) = side.partial_shuffle(&mut self.rng, size);
            taken.extend_from_slice(chosen);
            if is_local {
                self.add_connected(&mut taken);
            }
        }
        taken
    }

    /// Adds a random sample of the servers of the own failure domain with an open connection.
    fn add_connected(&mut self, taken: &mut Vec<usize>) {
        let is_near = |server: &Server| server.is_local && server.is_connected;
        let mut connected: Vec<usize> =
            (0..self.servers.len()).filter(|at| is_near(&self.servers[*at])).collect();
        connected.retain(|at| !taken.contains(at));
        let (chosen, _) = connected.partial_shuffle(&mut self.rng, self.cfg.connected_sample_size);
        taken.extend_from_slice(chosen);
    }

    /// Returns the cheapest of the given servers that can take the request.
    fn best(&mut self, now: Micros, criteria: &RequestCriteria<'_>, among: &[usize]) -> BestServer {
        let mut lowest_cost = f32::INFINITY;
        let mut best = BestServer { index: None, has_full: false };
        for index in among.iter().copied() {
            if !self.is_candidate(now, index, criteria) {
                continue;
            }
            if !self.has_free_slot(index) {
                best.has_full = true;
                continue;
            }
            if !self.can_accept(now, index) {
                best.has_full |= self.is_worth_waiting_for(now, index, criteria.time_left);
                continue;
            }
            let jitter = self.rng.random::<f32>() * self.cfg.jitter * self.work().0 as f32;
            let cost = self.cost(now, index, criteria.is_large) + jitter;
            if cost < lowest_cost {
                lowest_cost = cost;
                best.index = Some(index);
            }
        }
        best
    }

    fn is_candidate(&self, now: Micros, index: usize, criteria: &RequestCriteria<'_>) -> bool {
        let server = &self.servers[index];
        server.accepts_requests(now)
            && server.is_reachable(now)
            && server.has_connection()
            && !criteria.tried.contains(&server.id)
    }

    /// Whether to wait for a server that is cold or rate-limited: it must accept requests of this
    /// instance, and the next one in time.
    fn is_worth_waiting_for(&self, now: Micros, index: usize, time_left: Micros) -> bool {
        let server = &self.servers[index];
        let can_warm = !server.is_cold(now) || server.is_assigned_to_warm();
        let is_in_time = !server.is_limited()
            || server
                .limited
                .time_until_budget(now)
                .is_some_and(|wait| wait + self.work() <= time_left);
        can_warm && is_in_time
    }

    /// Whether a slot is free. Where contention costs more than the last slots gain, these stay
    /// unused.
    fn has_free_slot(&self, index: usize) -> bool {
        let fill = self.servers[index].fill();
        if self.contention() < self.cfg.contention_limit {
            fill <= 1.0
        } else {
            fill <= self.cfg.contended_from
        }
    }

    /// Whether a server that was not tried yet is expected to answer soon: it has a free slot, is
    /// not slow and does not fail.
    pub fn has_good_server(&self, now: Micros, criteria: &RequestCriteria<'_>) -> bool {
        let limit = self.cfg.good_cost_limit * self.work().0 as f32;
        (0..self.servers.len()).any(|index| {
            self.is_candidate(now, index, criteria)
                && self.has_free_slot(index)
                && self.can_accept(now, index)
                && self.cost(now, index, false) < limit
        })
    }
}
