//! Choice of the backend server for a request.
//!
//! Each module describes the load pattern that it handles: `choice` (selection of a server), `load`
//! (estimate of the free slots), `health` (slow and failing servers) and `path` (the cost of
//! cross-domain sends).

mod balancer;
mod baseline;
mod choice;
mod config;
mod handle;
mod health;
mod latency;
mod load;
mod path;
mod server;
mod spec;

pub use balancer::Balancer;
pub use config::{BalancerConfig, ChoicePolicy};
pub use handle::BackendHandle;
pub use spec::{BackendSpec, BackendState};
