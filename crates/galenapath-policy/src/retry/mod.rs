//! What is sent a second time: retries after a failure and hedges before an answer.

mod attempts;
mod budget;
mod hedge;
mod rule;

pub use attempts::AttemptCount;
pub use budget::{RetryBudget, RetryConfig};
pub use hedge::{HedgeConfig, HedgePolicy};
pub use rule::{MAX_ATTEMPTS, RequestKind, may_retry};
