//! A dispatcher that sees every slot, pace and work at once, crosses nothing and asks nothing: what the
//! decisions of the instances are held against.

use crate::callers::{Arrival, arrivals, millis};
use crate::deployment::Deployment;
use crate::report::{Outcome, Report};
use crate::servers::{Reached, Run, Server};
use galenapath_protocol::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Plays the deployment with the dispatcher that sees all. A request starts at the server that answers it
/// first, and only where that is in time; it waits while that may still come, the oldest first. What can no
/// longer be in time is served late where nobody who can be in time wants the slot.
pub fn play_oracle(deployment: &Deployment, seed: u64) -> Report {
    Oracle::new(deployment, seed).run()
}

struct Oracle<'a> {
    deployment: &'a Deployment,
    arrivals: Vec<Arrival>,
    servers: Vec<Server>,
    /// Ends of requests, by time.
    ends: BinaryHeap<Reverse<(Micros, usize)>>,
    /// Requests that may still be in time, oldest first, and those that cannot.
    waiting: Vec<usize>,
    late: Vec<usize>,
    report: Report,
}

/// Time between two looks at the queue: a spell may have ended.
const LOOK: Micros = Micros::from_millis(2);

impl<'a> Oracle<'a> {
    fn new(deployment: &'a Deployment, seed: u64) -> Self {
        Self {
            deployment,
            arrivals: arrivals(deployment, seed),
            servers: Server::all(deployment, seed),
            ends: BinaryHeap::new(),
            waiting: Vec::new(),
            late: Vec::new(),
            report: Report::default(),
        }
    }

    fn run(mut self) -> Report {
        let mut next = 0;
        let mut now = Micros::ZERO;
        while next < self.arrivals.len() || !self.waiting.is_empty() || !self.late.is_empty() {
            while self.arrivals.get(next).is_some_and(|arrival| arrival.at <= now) {
                self.waiting.push(next);
                next += 1;
            }
            while self.ends.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                if let Some(Reverse((_, server))) = self.ends.pop() {
                    self.servers[server].end(self.deployment, now);
                }
            }
            self.start(now);
            now = now + LOOK;
        }
        self.report
    }

    fn start(&mut self, now: Micros) {
        let target = millis(self.deployment.callers.target_ms);
        let patience = millis(self.deployment.callers.patience_ms);
        for request in std::mem::take(&mut self.waiting) {
            let Arrival { at, work, .. } = self.arrivals[request];
            match self.best(now, work) {
                Some((server, ends)) if ends <= at + target => {
                    self.begin(now, server, request, Outcome::InTarget);
                }
                _ if now + work > at + target => self.late.push(request),
                _ => self.waiting.push(request),
            }
        }
        if !self.waiting.is_empty() {
            return;
        }
        for request in std::mem::take(&mut self.late) {
            let Arrival { at, work, .. } = self.arrivals[request];
            match self.best(now, work) {
                Some((server, ends)) if ends <= at + patience => {
                    self.begin(now, server, request, Outcome::Late);
                }
                _ if now + work > at + patience => {
                    self.report.add(at.as_millis_f64() / 1_000.0, Outcome::Refused);
                }
                _ => self.late.push(request),
            }
        }
    }

    /// The server with a free slot that would answer first, and when.
    fn best(&self, now: Micros, work: Micros) -> Option<(usize, Micros)> {
        let free = |server: &&Server| server.running < self.deployment.servers.slots;
        let ends = |server: &Server| now + server.time_of(self.deployment, now, work);
        let servers = self.servers.iter().enumerate().filter(|(_, server)| free(server));
        servers.map(|(n, server)| (n, ends(server))).min_by_key(|(_, ends)| *ends)
    }

    fn begin(&mut self, now: Micros, server: usize, request: usize, outcome: Outcome) {
        let Arrival { at, work, .. } = self.arrivals[request];
        let run = Run { request, work };
        if let Reached::Began { ends } = self.servers[server].reach(self.deployment, now, run) {
            self.ends.push(Reverse((ends, server)));
            self.report.add(at.as_millis_f64() / 1_000.0, outcome);
        }
    }
}
