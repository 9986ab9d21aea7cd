//! Settings of admission control.

use galenapath_protocol::Micros;

/// How the limit on requests in flight is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRule {
    /// The number of slots that the balancer states, unchanged.
    Fixed,
    /// The number of slots that the balancer states, within bounds that the instance learns from
    /// its own requests.
    Adaptive,
}

/// Settings of the concurrency limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// How the limit is determined.
    pub rule: LimitRule,
    /// Ratio of latency to baseline up to which no queue at the backend servers is assumed. Above
    /// one.
    pub tolerated_inflation: f64,
    /// Factor on the learned limit when latency is inflated; 0 to 1.
    pub decrease: f64,
    /// Fraction of the learned limit that is added when it is used up and latency is not inflated;
    /// above 0.
    pub increase: f64,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self { rule: LimitRule::Adaptive, tolerated_inflation: 1.3, decrease: 0.9, increase: 0.2 }
    }
}

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Number of slots assumed at the start. At least one.
    pub initial_slots: u32,
    /// Settings of the limit on requests in flight.
    pub limit: LimitConfig,
    /// Maximum number of queued requests per work length, over all workspaces. At least one.
    pub max_waiting: usize,
    /// Maximum number of workspaces with a queue of their own; all others share one queue.
    pub max_workspaces: usize,
    /// Whether workspaces are served round robin; otherwise all share one queue.
    pub fair_shares: bool,
    /// Whether a request is rejected as soon as its predicted wait is too long; otherwise requests
    /// are rejected only because of a full queue or the caller's deadline.
    pub early_rejection: bool,
    /// Fraction of a class's target that a request may always wait, however long its work takes; 0
    /// to 1.
    pub min_wait_share: f64,
    /// Fraction of the allowed wait up to which new requests are queued; 0 to 1. The rest covers
    /// prediction errors.
    pub prediction_margin: f64,
    /// How long the wait has to stay above the overload limit (see `overload_wait_share`) before
    /// the service counts as overloaded, and below it before it no longer does.
    pub overload_after: Micros,
    /// Overload limit of the wait: the fraction of the allowed wait that remains for workspaces
    /// over their share while the service is overloaded; 0 to 1.
    pub overload_wait_share: f64,
    /// Fraction of the known slots that long work must leave free when it starts, at least one
    /// slot, in a service that also has short work; 0 to 1. With zero, long work starts like short
    /// work.
    pub short_reserve: f64,
    /// Maximum fraction of the known slots that long work may occupy in such a service; 0 to 1.
    pub long_share: f64,
    /// Fraction of the limit up to which long work need not leave slots free and alternates with
    /// short work, so that it is not starved; 0 to 1.
    pub long_floor: f64,
    /// Minimum retry-after time of a rejection.
    pub min_retry_after: Micros,
    /// Maximum retry-after time of a rejection, before jitter.
    pub max_retry_after: Micros,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            initial_slots: 8,
            limit: LimitConfig::default(),
            max_waiting: 256,
            max_workspaces: 256,
            fair_shares: true,
            early_rejection: true,
            min_wait_share: 0.1,
            prediction_margin: 0.8,
            overload_after: Micros::from_millis(30),
            overload_wait_share: 0.25,
            short_reserve: 0.1,
            long_share: 0.7,
            long_floor: 0.25,
            min_retry_after: Micros::from_millis(20),
            max_retry_after: Micros::from_secs(10),
        }
    }
}
