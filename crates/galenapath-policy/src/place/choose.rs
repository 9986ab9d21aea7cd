//! The choice of the server for one request.

use super::ask::{Ask, Choice};
use super::placement::Placement;
use super::server::Server;
use galenapath_protocol::Micros;
use rand::RngExt;
use rand::seq::SliceRandom;

/// The best of some servers.
#[derive(Clone, Copy, Debug)]
struct Best {
    /// Its place; `None` where no candidate has room.
    index: Option<usize>,
    /// Whether some candidate is full.
    has_full: bool,
}

impl Placement {
    /// Chooses a server.
    ///
    /// A request waits for a better server that is full where the best one with room would answer
    /// too late and the better one could still be in time.
    ///
    /// Of many servers it looks at a sample: instances that know the same would else all choose the
    /// one that was seen last, twenty requests within a tenth of a second. It looks at all of them
    /// where the sample has none whose answer would be in time.
    pub fn choose(&mut self, now: Micros, ask: &Ask<'_>) -> Choice {
        let sample = self.sample();
        let sampled = self.best(now, ask, &sample);
        if let Some(index) = sampled.index
            && !self.is_too_late(now, index, ask.left)
        {
            return Choice::Server(self.servers[index].id.clone());
        }
        let all: Vec<usize> = (0..self.servers.len()).collect();
        let best = self.best(now, ask, &all);
        match best.index {
            None if best.has_full => Choice::Wait,
            None => Choice::Nowhere,
            Some(index) if best.has_full && self.is_too_late(now, index, ask.left) => Choice::Wait,
            Some(index) => Choice::Server(self.servers[index].id.clone()),
        }
    }

    /// Some servers of the own failure domain, some that a connection is kept to, and some of the others, by
    /// chance.
    fn sample(&mut self) -> Vec<usize> {
        let size = self.cfg.sample;
        let mut taken = Vec::with_capacity(2 * size);
        for is_home in [true, false] {
            let mut side: Vec<usize> =
                (0..self.servers.len()).filter(|at| self.servers[*at].is_home == is_home).collect();
            let (chosen, _) = side.partial_shuffle(&mut self.rng, size);
            taken.extend_from_slice(chosen);
            if is_home {
                self.add_connected(&mut taken);
            }
        }
        taken
    }

    /// Adds some servers of the own failure domain that a connection is kept to.
    fn add_connected(&mut self, taken: &mut Vec<usize>) {
        let is_near = |server: &Server| server.is_home && server.is_connected;
        let mut connected: Vec<usize> =
            (0..self.servers.len()).filter(|at| is_near(&self.servers[*at])).collect();
        connected.retain(|at| !taken.contains(at));
        let (chosen, _) = connected.partial_shuffle(&mut self.rng, self.cfg.sample_connected);
        taken.extend_from_slice(chosen);
    }

    /// The best of some servers that has room.
    fn best(&mut self, now: Micros, ask: &Ask<'_>, among: &[usize]) -> Best {
        let mut least = f32::INFINITY;
        let mut best = Best { index: None, has_full: false };
        for index in among.iter().copied() {
            if !self.is_candidate(now, index, ask) {
                continue;
            }
            if !self.has_room(index) {
                best.has_full = true;
                continue;
            }
            if !self.can_take(now, index) {
                best.has_full |= self.is_worth_a_wait(now, index, ask.left);
                continue;
            }
            let chance = self.rng.random::<f32>() * self.cfg.jitter * self.work().0 as f32;
            let cost = self.cost(now, index, ask.is_large) + chance;
            if cost < least {
                least = cost;
                best.index = Some(index);
            }
        }
        best
    }

    fn is_candidate(&self, now: Micros, index: usize, ask: &Ask<'_>) -> bool {
        let server = &self.servers[index];
        server.wants_requests(now) && server.is_reachable(now) && !ask.tried.contains(&server.id)
    }

    /// Whether to wait for a server that takes few requests, since it is cold or names a limit: one that takes
    /// those of this instance, and the next one in time.
    fn is_worth_a_wait(&self, now: Micros, index: usize, left: Micros) -> bool {
        let server = &self.servers[index];
        let may_warm = !server.is_cold(now) || server.is_ours_to_warm();
        let is_in_time = !server.is_limited()
            || server.limited.room_in(now).is_some_and(|room_in| room_in + self.work() <= left);
        may_warm && is_in_time
    }

    /// Whether a slot is free, of those that are used: where crowding costs more than it brings, the
    /// last ones are not.
    fn has_room(&self, index: usize) -> bool {
        let fill = self.servers[index].fill();
        if self.crowding() < self.cfg.crowding_limit {
            fill <= 1.0
        } else {
            fill <= self.cfg.crowded_from
        }
    }

    /// Whether a server other than those tried is expected to answer soon: it has room, works at
    /// its usual pace and does not fail.
    pub fn has_good(&self, now: Micros, ask: &Ask<'_>) -> bool {
        let limit = self.cfg.good * self.work().0 as f32;
        (0..self.servers.len()).any(|index| {
            self.is_candidate(now, index, ask)
                && self.has_room(index)
                && self.can_take(now, index)
                && self.cost(now, index, false) < limit
        })
    }
}
