//! Admission control: which requests start, which wait and for how long, and which are rejected.

mod admitted_load;
mod classes;
mod config;
mod controller;
mod decision;
mod drain;
mod fair_queue;
mod lane;
mod latency;
mod limit;
mod offer;
mod overload;
mod recent;
mod rejection;
mod retry_after;
mod workspaces;

pub use config::{AdmissionConfig, LimitConfig, LimitRule};
pub use controller::Admission;
pub use decision::{Decision, QueuedDecision, RejectReason, Rejection};
pub use offer::{ClassIndex, ClassPolicy, Offer, Ticket, WorkLength, WorkspaceIndex};
