//! What is let in, what waits and for how long, and what is turned away.

mod config;
mod controller;
mod decision;
mod offer;

pub use config::{AdmissionConfig, QueueOrder};
pub use controller::Admission;
pub use decision::{Decision, RejectReason, Rejection, Step};
pub use offer::{ClassIndex, ClassPolicy, Offer, Ticket, WorkLength, WorkspaceIndex};
