//! Rate limit that a server states, and the requests that it received under it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Multiple of its limit above which a server receives too many requests.
const OVERRUN_FACTOR: f64 = 1.5;

/// Requests allowed beyond that multiple.
const OVERRUN_SLACK: f64 = 5.0;

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the limit is set until requests are counted, so that requests already on their way do
/// not count.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// The limit that a server states, and the requests received while it is in force.
#[derive(Debug, Default)]
pub(super) struct Limit {
    per_second: Option<f64>,
    counts_from: Option<Instant>,
    /// Arrival times of the requests in the window.
    arrivals: VecDeque<Instant>,
    peak_requests: usize,
    overruns: usize,
}

impl Limit {
    /// Sets the limit in requests per second; `None` removes it.
    pub(super) fn set(&mut self, per_second: Option<f64>) {
        self.per_second = per_second;
        self.counts_from = per_second.map(|_| Instant::now() + SETTLING_TIME);
        self.arrivals.clear();
    }

    /// Returns the limit as the header value that the server sends.
    pub(super) fn header_value(&self) -> Option<String> {
        self.per_second.map(|limit| limit.to_string())
    }

    /// Returns the most requests received within the window.
    pub(super) fn peak_requests(&self) -> usize {
        self.peak_requests
    }

    /// Returns the number of requests received beyond what the limit allowed.
    pub(super) fn overruns(&self) -> usize {
        self.overruns
    }

    /// Records a request.
    pub(super) fn record_request(&mut self, now: Instant) {
        let Some(per_second) = self.per_second else { return };
        if self.counts_from.is_none_or(|from| now < from) {
            return;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - *at > WINDOW) {
            self.arrivals.pop_front();
        }
        self.peak_requests = self.peak_requests.max(self.arrivals.len());
        let allowed = per_second * WINDOW.as_secs_f64() * OVERRUN_FACTOR + OVERRUN_SLACK;
        self.overruns += usize::from(self.arrivals.len() as f64 > allowed);
    }
}
