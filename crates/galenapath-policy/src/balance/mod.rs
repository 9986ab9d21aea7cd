//! Choice of the backend server for a request.
//!
//! The load patterns that each part answers stand in the modules: `balancer` (where work goes),
//! `server` (how many slots are free), `health` (slow and failing servers).

mod balancer;
mod baseline;
mod config;
mod health;
mod latency;
mod server;
mod slot;
mod spec;

pub use balancer::Balancer;
pub use config::{BalancerConfig, ChoicePolicy};
pub use slot::Slot;
pub use spec::{BackendSpec, BackendState};
