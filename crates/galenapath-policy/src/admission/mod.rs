//! What is let in, what waits and for how long, and what is turned away.

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
mod own_load;
mod recent;
mod returns;
mod turn_away;
mod workspaces;

pub use config::{AdmissionConfig, LimitConfig, LimitRule};
pub use controller::Admission;
pub use decision::{Decision, RejectReason, Rejection, Step};
pub use offer::{ClassIndex, ClassPolicy, Offer, Ticket, WorkLength, WorkspaceIndex};
