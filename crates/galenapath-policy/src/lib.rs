//! Decisions under load, as code without a clock, a socket, a thread or global randomness.
//!
//! Time comes in as [`Micros`](galenapath_protocol::Micros) and randomness as seeds, so that every
//! decision can be replayed.

mod admission;
mod outcome;
mod quantile;
mod retry;

pub use admission::{
    Admission, AdmissionConfig, ClassIndex, ClassPolicy, Decision, LimitConfig, LimitRule, Offer,
    RejectReason, Rejection, Step, Ticket, WorkLength, WorkspaceIndex,
};
pub use outcome::Outcome;
pub use retry::{
    AttemptCount, HedgeConfig, HedgePolicy, MAX_ATTEMPTS, RequestKind, RetryBudget, RetryConfig,
    may_retry,
};
