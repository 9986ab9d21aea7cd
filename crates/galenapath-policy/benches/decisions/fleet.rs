//! Simulated backend servers with slots, a queue and the faults of the load patterns.

use super::scenario::{MEASURED_FROM, MS, Pattern, SECOND, SERVERS, SLOTS, Time};
use galenapath_protocol::LoadReport;
use std::collections::VecDeque;

const STRAGGLER_FACTOR: f64 = 10.0;
const COLD_FACTOR: f64 = 4.0;
const COLD_TIME: Time = 500 * MS;
/// Time for which a leaving server still accepts requests before it rejects them.
const ACCEPTS_WHILE_LEAVING: Time = 2 * SECOND;
const MAX_QUEUE: usize = 64;
const REPLACED: usize = 10;
const REPLACE_EVERY: Time = 100 * MS;
/// Time from the listing of a replacement until the old server starts leaving.
const SURGE: Time = 800 * MS;
const STALE_REPORT: Time = 100 * MS;

/// Reaction of a server to a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    Started,
    Queued,
    Refused,
    FailedFast,
}

#[derive(Debug)]
pub struct Server {
    pub domain: usize,
    pub listed_from: Time,
    pub leaving_from: Time,
    running: u32,
    queue: VecDeque<usize>,
    pattern: Pattern,
    index: usize,
    /// Outdated report of `BadReports`, with the time at which it was written.
    stale: (Time, LoadReport),
}

/// Returns all servers of the pattern, including replacements.
pub fn servers(pattern: Pattern, domains: usize) -> Vec<Server> {
    let replaced = if pattern == Pattern::RollingServers { REPLACED } else { 0 };
    let new = |index: usize| Server {
        domain: index % domains,
        listed_from: 0,
        leaving_from: Time::MAX,
        running: 0,
        queue: VecDeque::new(),
        pattern,
        index,
        stale: (0, LoadReport::default()),
    };
    let mut all: Vec<_> = (0..SERVERS + replaced).map(new).collect();
    for old in 0..replaced {
        let at = MEASURED_FROM + old as Time * REPLACE_EVERY;
        all[old].leaving_from = at + SURGE;
        all[SERVERS + old].listed_from = at;
        all[SERVERS + old].domain = all[old].domain;
    }
    all
}

impl Server {
    pub fn accepts_requests(&self, at: Time) -> bool {
        at < self.leaving_from.saturating_add(ACCEPTS_WHILE_LEAVING)
    }

    pub fn is_healthy(&self, at: Time) -> bool {
        let is_up = self.listed_from <= at && at < self.leaving_from;
        is_up && self.factor(at) < 2.0 && !self.fails(at)
    }

    fn fails(&self, at: Time) -> bool {
        self.pattern == Pattern::FastFailure && self.index == 0 && at >= MEASURED_FROM
    }

    /// Slowdown of the server: the time that work takes relative to full speed.
    pub fn factor(&self, at: Time) -> f64 {
        let is_straggler = self.pattern == Pattern::Straggler && self.index == 0;
        if is_straggler && at >= MEASURED_FROM {
            return STRAGGLER_FACTOR;
        }
        let age = at.saturating_sub(self.listed_from);
        if self.listed_from > 0 && age < COLD_TIME {
            let warm = age as f64 / COLD_TIME as f64;
            return COLD_FACTOR + (1.0 - COLD_FACTOR) * warm;
        }
        1.0
    }

    pub fn receive(&mut self, at: Time, req: usize) -> Reception {
        if self.fails(at) {
            return Reception::FailedFast;
        }
        if !self.accepts_requests(at) || self.queue.len() >= MAX_QUEUE {
            return Reception::Refused;
        }
        if self.running < SLOTS {
            self.running += 1;
            return Reception::Started;
        }
        self.queue.push_back(req);
        Reception::Queued
    }

    /// Ends a running request; returns the queued request that starts in its slot.
    pub fn finish_request(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    pub fn report(&mut self, at: Time) -> LoadReport {
        let honest = LoadReport {
            in_flight: self.running,
            waiting: self.queue.len() as u32,
            slots: SLOTS,
            leaving: at >= self.leaving_from,
            pace: 0,
        };
        if self.pattern != Pattern::BadReports || at < MEASURED_FROM {
            return honest;
        }
        match self.index {
            0..5 => LoadReport { in_flight: 0, waiting: 0, ..honest },
            5..10 => LoadReport { in_flight: SLOTS, waiting: 10, ..honest },
            _ => {
                if at >= self.stale.0 + STALE_REPORT {
                    self.stale = (at, honest);
                }
                self.stale.1
            }
        }
    }
}
