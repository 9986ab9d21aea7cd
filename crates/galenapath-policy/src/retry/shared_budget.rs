//! Splits the retry budget of a service between the instances that send to it.
//!
//! Load pattern: the servers of a service reject half of their requests although they have free
//! capacity. Each retry is then as likely to succeed as the first attempt, and the retry budget
//! limits how many requests are served. An even split over a fixed number of instances leaves most
//! of the budget with instances that get no requests. At 1,000 requests per second for eight
//! seconds, with 55 of 100 sends rejected and each caller sending a failed request once more, five
//! instances served 76.5 of 100 requests with the even split, 78.7 with a split by each instance's
//! share of the requests, and 83.4 when part of the budget is also reserved for repeated requests
//! (tests/shedding.rs).

use super::budget::RetryConfig;
use galenapath_protocol::Micros;

/// Fraction of the ratio that is used. The rest covers requests that are sent while the set of
/// instances changes.
const USED_RATIO: f64 = 0.9;

/// Fraction of the slack that is granted at a constant rate over the window.
const STEADY_SLACK: f64 = 0.3;

/// Fraction of the slack that may be spent at once. Together with [`STEADY_SLACK`] this is half of
/// the slack, because instances know each other's share of the requests only to within a factor of
/// two.
const BURST_SLACK: f64 = 0.2;

/// Lower bound of an instance's burst, in retries.
const MIN_BURST: f64 = 2.0;

/// Retry budget of one service over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in one window in addition to the ratio.
    pub slack: f64,
    /// Length of the window for the slack.
    pub window: Micros,
}

impl SharedRetryBudget {
    /// Returns the budget of an instance that serves `share` of all requests, from 0 to 1.
    pub fn for_share(&self, share: f64) -> RetryConfig {
        let window = (self.window.0 as f64 / 1e6).max(0.1);
        let slack = self.slack * share;
        RetryConfig {
            ratio: self.ratio * USED_RATIO,
            floor_per_second: slack * STEADY_SLACK / window,
            burst: (slack * BURST_SLACK).max(MIN_BURST),
        }
    }
}
