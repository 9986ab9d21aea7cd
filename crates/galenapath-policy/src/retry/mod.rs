//! Retries of failed requests, and hedges of requests that have not been answered yet.

mod attempts;
mod budget;
mod failed_requests;
mod hedge;
mod rule;
mod shared_budget;

pub use attempts::AttemptCount;
pub use budget::{CallerAttempt, RetryBudget, RetryConfig};
pub use failed_requests::FailedRequests;
pub use hedge::{HedgeConfig, HedgePolicy};
pub use rule::{MAX_ATTEMPTS, RequestKind, may_retry};
pub use shared_budget::SharedRetryBudget;
