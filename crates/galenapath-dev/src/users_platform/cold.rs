//! Cold state of a server, in which it can serve only a low rate of requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Multiple of its rate above which a cold server crashes.
const OVERLOAD_FACTOR: f64 = 1.5;

/// Requests allowed beyond that multiple.
const OVERLOAD_SLACK: f64 = 8.0;

/// Cold state of a server and the requests that it received in it.
#[derive(Debug, Default)]
pub(super) struct Cold {
    until: Option<Instant>,
    /// Requests per second that the server can serve while cold.
    per_second: f64,
    /// Arrival times of the requests of the last second.
    arrivals: VecDeque<Instant>,
    peak_rate: usize,
}

impl Cold {
    /// Starts the cold state, which lasts until `until`.
    pub(super) fn begin(&mut self, until: Instant, per_second: f64) {
        self.until = Some(until);
        self.per_second = per_second;
        self.arrivals.clear();
    }

    /// Returns the remaining time of the cold state.
    pub(super) fn time_left(&self) -> Duration {
        let time_left = |until: Instant| until.saturating_duration_since(Instant::now());
        self.until.map(time_left).unwrap_or_default()
    }

    /// Returns the most requests received within one second while cold.
    pub(super) fn peak_rate(&self) -> usize {
        self.peak_rate
    }

    /// Records a request; returns whether it exceeds what the server can serve.
    pub(super) fn record_request(&mut self, now: Instant) -> bool {
        if self.until.is_none_or(|until| until <= now) {
            return false;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
            self.arrivals.pop_front();
        }
        let rate = self.arrivals.len();
        self.peak_rate = self.peak_rate.max(rate);
        rate as f64 > self.per_second * OVERLOAD_FACTOR + OVERLOAD_SLACK
    }
}
