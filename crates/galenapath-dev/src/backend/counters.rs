//! Counters of what the servers did.

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
    /// Connections closed on accept, because the connection limit was reached.
    pub connections_refused: u64,
    /// Requests read, without load queries.
    pub requests: u64,
    /// Requests that got a slot and started to run.
    pub executions: u64,
    /// Requests that ran to completion and were answered.
    pub answered: u64,
    /// Requests rejected without running, because the queue was full.
    pub shed: u64,
    /// Requests aborted because the caller closed its connection.
    pub cancelled: u64,
    /// Requests aborted because their deadline passed.
    pub expired: u64,
    /// Load queries.
    pub probes: u64,
    /// Most load queries within one second.
    pub probes_a_second_most: u64,
    /// Crashes, by a request that matches [`crash_on`](super::Faults::crash_on) or by
    /// `PUT /admin/crash`.
    pub crashes: u64,
    /// Time from the start of leaving to the last request read after it, in milliseconds.
    pub last_request_after_leaving_ms: Option<u64>,
}

/// Counts the events of the last second.
#[derive(Default)]
pub struct PeakRate {
    /// Events of the last second, oldest first.
    recent: VecDeque<Instant>,
}

impl PeakRate {
    /// Records an event at `now` and returns the number of events in the second up to and
    /// including it.
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
    /// Records an execution of `key`.
    pub fn record(&mut self, key: &str) {
        match self.counts.get_mut(key) {
            Some(count) => *count += 1,
            None => {
                self.counts.insert(key.to_owned(), 1);
            }
        }
    }

    /// Returns the number of executions of `key`.
    pub fn executions(&self, key: &str) -> u32 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of keys that were executed.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no key was executed.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns the keys that were executed more than once, sorted.
    pub fn repeated(&self) -> Vec<String> {
        let mut keys: Vec<_> =
            self.counts.iter().filter(|(_, n)| **n > 1).map(|(key, _)| key.clone()).collect();
        keys.sort();
        keys
    }
}
