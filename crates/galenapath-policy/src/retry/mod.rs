//! What is sent a second time: retries after a failure and hedges before an answer.

mod allowance;
mod attempts;
mod budget;
mod callers;
mod hedge;
mod rule;

pub use allowance::SharedAllowance;
pub use attempts::AttemptCount;
pub use budget::{Chance, RetryBudget, RetryConfig};
pub use callers::FailedRequests;
pub use hedge::{HedgeConfig, HedgePolicy};
pub use rule::{MAX_ATTEMPTS, RequestKind, may_retry};
