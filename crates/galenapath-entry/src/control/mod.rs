//! The control side of an instance: communication with the platform, peers and operators. It runs
//! on a separate thread, so that it does not delay requests.

mod accept;
mod backends;
mod broadcast;
mod claims;
mod configuration;
mod events;
mod gossip;
mod hand_over;
mod lists;
mod operators;
mod peer_versions;
mod plane;
mod publish;
mod start;
mod stop;
mod store_usage;

pub use plane::{ControlPlane, Wiring};
pub use start::run;
