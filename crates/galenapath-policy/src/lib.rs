//! Load-balancing decisions, as pure code without a clock, sockets, threads or global randomness.
//!
//! Callers pass the time as [`Micros`](galenapath_protocol::Micros) and randomness as seeds, so
//! that every decision can be replayed.
//!
//! - [`admission`]: which requests start, wait in a queue or are rejected.
//! - [`balance`]: which backend server a request is sent to.
//! - [`dispatch`]: which entry instances dispatch for a service, and how they share connections.
//! - [`LogLineBudget`]: which log lines about requests are written.
//! - [`measure`]: when a backend server may be probed, within a fixed budget.
//! - [`place`]: placement and queueing for servers whose speed changes within a request.
//! - [`quota`]: which requests are within the quota of their workspace.
//! - [`reach`]: which servers an instance reaches, compared with other instances.
//! - [`RepeatedNotices`]: when a notice that may be lost is sent again.
//! - [`retry`]: when a request may be retried, and when it may be hedged.
//! - [`stop`]: which requests an instance that stops still takes, and when it ends.

pub mod admission;
pub mod balance;
pub mod dispatch;
mod log_lines;
pub mod measure;
mod outcome;
pub mod place;
mod quantile;
pub mod quota;
pub mod reach;
mod repeated_notices;
pub mod retry;
pub mod stop;

pub use admission::{
    Admission, AdmissionConfig, ClassIndex, ClassPolicy, Decision, LimitConfig, LimitRule, Offer,
    QueuedDecision, RejectReason, Rejection, Ticket, WorkLength, WorkspaceIndex,
};
pub use balance::{
    BackendHandle, BackendSpec, BackendState, Balancer, BalancerConfig, ChoicePolicy,
};
pub use log_lines::{LogLineBudget, LogLineKind};
pub use outcome::Outcome;
pub use repeated_notices::RepeatedNotices;
pub use retry::{
    AttemptCount, CallerAttempt, FailedRequests, HedgeConfig, HedgePolicy, MAX_ATTEMPTS,
    RequestKind, RetryBudget, RetryConfig, SharedRetryBudget, may_retry,
};
