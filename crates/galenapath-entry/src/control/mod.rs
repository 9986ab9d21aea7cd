//! The control side of an instance: the platform, the peers, the operators. One thread of its own,
//! so that nothing here delays a request.

mod claims;
mod configuration;
mod gossip;
mod lists;
mod operators;
mod plane;
mod publish;
mod start;
mod stop;

pub use plane::{ControlPlane, Wiring};
pub use start::run;
