//! Upper limit of any policy: one central queue with full knowledge of the free slots, which sends
//! nothing to servers that are slow, cold, failing or leaving. There are no cross-domain sends; the
//! network delays are those to the caller and to a local server.

use super::fleet::{self, Server};
use super::scenario::{Arrival, SLOTS, Scenario, Time};
use super::sim::{LOCAL_DELAY, MAX_WAIT};
use super::stats::Stats;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Runs the scenario under the limit.
pub fn run(scenario: &Scenario, domains: usize) -> Stats {
    let servers = fleet::servers(scenario.pattern, domains);
    let mut limit = Limit::new(*scenario, servers);
    for arrival in scenario.arrivals() {
        limit.run_until(arrival.at);
        limit.stats.offer(arrival.at, arrival.caller);
        limit.queue.push_back(arrival);
        limit.start_waiting(arrival.at);
    }
    limit.run_until(Time::MAX);
    limit.stats
}

struct Limit {
    scenario: Scenario,
    servers: Vec<Server>,
    busy: Vec<u32>,
    queue: VecDeque<Arrival>,
    /// End time and server of each running request.
    running: BinaryHeap<Reverse<(Time, usize)>>,
    stats: Stats,
}

impl Limit {
    fn new(scenario: Scenario, servers: Vec<Server>) -> Self {
        Self {
            scenario,
            busy: vec![0; servers.len()],
            servers,
            queue: VecDeque::new(),
            running: BinaryHeap::new(),
            stats: Stats::new(),
        }
    }

    fn run_until(&mut self, at: Time) {
        while let Some(&Reverse((end, server))) = self.running.peek() {
            if end > at {
                return;
            }
            self.running.pop();
            self.busy[server] -= 1;
            self.start_waiting(end);
        }
    }

    fn start_waiting(&mut self, now: Time) {
        while let Some(&arrival) = self.queue.front() {
            if now - arrival.at > MAX_WAIT {
                self.queue.pop_front();
                self.stats.reject(arrival.at);
                continue;
            }
            let is_free = |i: &usize| self.busy[*i] < SLOTS && self.servers[*i].is_healthy(now);
            let Some(server) = (0..self.servers.len()).find(is_free) else { return };
            self.queue.pop_front();
            self.busy[server] += 1;
            let work = (arrival.work as f64 * self.servers[server].factor(now)) as Time;
            self.running.push(Reverse((now + work, server)));
            let wait = now + work - arrival.at - arrival.work + 2 * LOCAL_DELAY;
            let latency = wait + arrival.work + 2 * self.scenario.deployment.client_delay;
            self.stats.answer(&arrival, latency, wait);
        }
    }
}
