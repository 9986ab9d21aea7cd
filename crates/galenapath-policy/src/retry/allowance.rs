//! The retries that all instances together may send to a service, and what one of them may.
//!
//! Load pattern: a service whose servers turn half of their requests away although they have room. Each
//! further try is worth as much as the first one, and the allowance is what binds. Split evenly among a
//! fixed number of instances, most of it belonged to those that nobody asked: of 1,000 requests a second
//! for eight seconds, with 55 of 100 turned away and one return of each caller, five instances served 76.5
//! in 100, 78.7 with a split by what each of them serves, and 83.4 where part of it is left to callers who
//! have come back (tests/shedding.rs).

use super::budget::RetryConfig;
use galenapath_protocol::Micros;

/// Part of the ratio that is used; the rest is room for sends that cross a change of the instances.
const RATIO_PART: f64 = 0.9;

/// Part of the slack that is spent evenly over the window.
const EVEN_PART: f64 = 0.3;

/// Part of the slack that may be spent at once. Both parts together are half of the slack, since instances
/// know what the others serve to within a factor of two.
const BURST_PART: f64 = 0.2;

/// Retries that an instance may always save up.
const LEAST_BURST: f64 = 2.0;

/// Retries of all instances together to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedAllowance {
    /// Share of the requests.
    pub ratio: f64,
    /// Sends in one window beyond the share.
    pub slack: f64,
    /// Length of the window.
    pub window: Micros,
}

impl SharedAllowance {
    /// What an instance may send that serves `part` of all requests, from 0 to 1.
    pub fn part(&self, part: f64) -> RetryConfig {
        let window = (self.window.0 as f64 / 1e6).max(0.1);
        let slack = self.slack * part;
        RetryConfig {
            share: self.ratio * RATIO_PART,
            floor_per_second: slack * EVEN_PART / window,
            burst: (slack * BURST_PART).max(LEAST_BURST),
        }
    }
}
