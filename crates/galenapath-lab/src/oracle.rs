//! A dispatcher that knows every slot, slowdown and work at all times, without network latency or
//! load queries. It is the reference for the decisions of the instances.

use crate::callers::{Arrival, arrivals, micros_from_ms};
use crate::deployment::Deployment;
use crate::report::{Outcome, Report};
use crate::servers::{ReceiveOutcome, Server, ServerRequest};
use galenapath_protocol::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Simulates the deployment with the omniscient dispatcher. It sends each request to the server
/// that would answer first, if that meets the target; otherwise the request waits, oldest first,
/// while it can still meet the target. Requests that can no longer meet it run when no request that
/// can is waiting.
pub fn simulate_oracle(deployment: &Deployment, seed: u64) -> Report {
    Oracle::new(deployment, seed).run()
}

struct Oracle<'a> {
    deployment: &'a Deployment,
    arrivals: Vec<Arrival>,
    servers: Vec<Server>,
    /// End times of running requests, with their servers.
    ends: BinaryHeap<Reverse<(Micros, usize)>>,
    /// Requests that can still meet their target, oldest first.
    waiting: Vec<usize>,
    /// Requests that can no longer meet it.
    late: Vec<usize>,
    report: Report,
}

/// Interval at which waiting requests are checked, because a slow period may have ended.
const POLL_INTERVAL: Micros = Micros::from_millis(2);

impl<'a> Oracle<'a> {
    fn new(deployment: &'a Deployment, seed: u64) -> Self {
        Self {
            deployment,
            arrivals: arrivals(deployment, seed),
            servers: Server::all_of(deployment, seed),
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
            self.start_waiting(now);
            now = now + POLL_INTERVAL;
        }
        self.report
    }

    fn start_waiting(&mut self, now: Micros) {
        let target = micros_from_ms(self.deployment.callers.target_ms);
        let caller_timeout = micros_from_ms(self.deployment.callers.patience_ms);
        for request in std::mem::take(&mut self.waiting) {
            let Arrival { at, work, .. } = self.arrivals[request];
            match self.fastest_free_server(now, work) {
                Some((server, ends)) if ends <= at + target => {
                    self.start_request(now, server, request, Outcome::InTarget);
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
            match self.fastest_free_server(now, work) {
                Some((server, ends)) if ends <= at + caller_timeout => {
                    self.start_request(now, server, request, Outcome::Late);
                }
                _ if now + work > at + caller_timeout => {
                    self.report.record(at.as_millis_f64() / 1_000.0, Outcome::Rejected);
                }
                _ => self.late.push(request),
            }
        }
    }

    /// The server with a free slot that would answer first, and the time of that answer.
    fn fastest_free_server(&self, now: Micros, work: Micros) -> Option<(usize, Micros)> {
        let free = |server: &&Server| server.running < self.deployment.servers.slots;
        let ends = |server: &Server| now + server.service_time(self.deployment, now, work);
        let servers = self.servers.iter().enumerate().filter(|(_, server)| free(server));
        servers.map(|(n, server)| (n, ends(server))).min_by_key(|(_, ends)| *ends)
    }

    fn start_request(&mut self, now: Micros, server: usize, request: usize, outcome: Outcome) {
        let Arrival { at, work, .. } = self.arrivals[request];
        let request = ServerRequest { request, work };
        if let ReceiveOutcome::Started { ends } =
            self.servers[server].receive(self.deployment, now, request)
        {
            self.ends.push(Reverse((ends, server)));
            self.report.record(at.as_millis_f64() / 1_000.0, outcome);
        }
    }
}
