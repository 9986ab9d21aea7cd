//! Decisions under load, without clock, socket or thread.
//!
//! - [`balance`]: which backend server a request goes to.
//! - [`dispatch`]: which entry instances dispatch for a service, and how connections are shared.
//! - [`measure`]: when a backend server may be probed, inside a hard budget.

pub mod balance;
pub mod dispatch;
pub mod measure;

pub use balance::{
    BackendSpec, BackendState, Balancer, BalancerConfig, ChoicePolicy, Outcome, Slot,
};
