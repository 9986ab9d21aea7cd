//! The control side of an instance: the platform, the peers, the operators. One thread of its own,
//! so that nothing here delays a request.

mod accept;
mod backends;
mod claims;
mod configuration;
mod events;
mod gossip;
mod lists;
mod operators;
mod peer_versions;
mod plane;
mod publish;
mod spread;
mod start;
mod stop;
mod store_use;

pub use plane::{ControlPlane, Wiring};
pub use start::run;
