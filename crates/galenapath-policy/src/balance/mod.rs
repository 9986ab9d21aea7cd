//! Choice of the backend server for a request.
//!
//! The load patterns that each part answers stand in the modules: `choice` (where work goes),
//! `load` (how many slots are free), `health` (slow and failing servers), `path` (the cost of
//! crossing to another failure domain).

mod balancer;
mod baseline;
mod choice;
mod config;
mod health;
mod latency;
mod load;
mod path;
mod server;
mod slot;
mod spec;

pub use balancer::Balancer;
pub use config::{BalancerConfig, ChoicePolicy};
pub use slot::Slot;
pub use spec::{BackendSpec, BackendState};
