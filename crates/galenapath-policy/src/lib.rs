//! Decisions under load, as code without a clock, a socket, a thread or global randomness.
//!
//! Time comes in as [`Micros`](galenapath_protocol::Micros) and randomness as seeds, so that every
//! decision can be replayed.
//!
//! - [`admission`]: what is let in, what waits and what is turned away.
//! - [`balance`]: which backend server a request goes to.
//! - [`dispatch`]: which entry instances dispatch for a service, and how connections are shared.
//! - [`LineBudget`]: which log lines about requests are written.
//! - [`measure`]: when a backend server may be probed, inside a hard budget.
//! - [`place`]: placement on servers whose pace changes within a request, and who waits for them.
//! - [`retry`]: when a request may be sent again, and when a second copy may go out.

pub mod admission;
pub mod balance;
pub mod dispatch;
mod lines;
pub mod measure;
mod outcome;
pub mod place;
mod quantile;
pub mod retry;

pub use admission::{
    Admission, AdmissionConfig, ClassIndex, ClassPolicy, Decision, LimitConfig, LimitRule, Offer,
    RejectReason, Rejection, Step, Ticket, WorkLength, WorkspaceIndex,
};
pub use balance::{
    BackendHandle, BackendSpec, BackendState, Balancer, BalancerConfig, ChoicePolicy,
};
pub use lines::{LineBudget, LineKind};
pub use outcome::Outcome;
pub use retry::{
    AttemptCount, Chance, FailedRequests, HedgeConfig, HedgePolicy, MAX_ATTEMPTS, RequestKind,
    RetryBudget, RetryConfig, SharedAllowance, may_retry,
};
