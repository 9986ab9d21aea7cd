//! What a server did, counted where it happened.

use galenapath_protocol::FastMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Counters of one server since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Connections accepted and served.
    pub connections: u64,
    /// Connections open now.
    pub connections_open: u64,
    /// Most connections open at the same time.
    pub connections_most: u64,
    /// Connections closed at once, since the server has as many as it takes.
    pub connections_refused: u64,
    /// Requests read, probes not among them.
    pub requests: u64,
    /// Requests that got a slot and began to work.
    pub executions: u64,
    /// Requests that were answered whole.
    pub answered: u64,
    /// Requests turned away without running.
    pub shed: u64,
    /// Requests given up since the caller closed its connection.
    pub cancelled: u64,
    /// Requests given up since their deadline passed.
    pub expired: u64,
    /// Requests for a load report.
    pub probes: u64,
    /// Most requests for a load report within one second.
    pub probes_a_second_most: u64,
    /// Crashes by a marked request.
    pub crashes: u64,
    /// Time from the start of leaving to the last request read since, in milliseconds.
    pub last_request_after_leaving_ms: Option<u64>,
}

/// The most events that fell into one second.
#[derive(Default)]
pub struct PeakRate {
    /// Events of the last second, oldest first.
    recent: VecDeque<Instant>,
}

impl PeakRate {
    /// Takes an event at `now`; gives the number of events in the second before it, this one
    /// included.
    pub fn record(&mut self, now: Instant) -> u64 {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            self.recent.pop_front();
        }
        self.recent.len() as u64
    }
}

/// Executions per idempotency key, over all servers of a process.
#[derive(Default)]
pub struct KeyCounts {
    counts: FastMap<String, u32>,
}

impl KeyCounts {
    /// Counts an execution of `key`.
    pub fn record(&mut self, key: &str) {
        match self.counts.get_mut(key) {
            Some(count) => *count += 1,
            None => {
                self.counts.insert(key.to_owned(), 1);
            }
        }
    }

    /// Executions of `key`.
    pub fn executions(&self, key: &str) -> u32 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Number of keys that ran at least once.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no key ran.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Keys that ran more than once, in order.
    pub fn repeated(&self) -> Vec<String> {
        let mut keys: Vec<_> =
            self.counts.iter().filter(|(_, n)| **n > 1).map(|(key, _)| key.clone()).collect();
        keys.sort();
        keys
    }
}
