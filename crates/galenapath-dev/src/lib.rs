//! Development tools: stand-ins for the systems around galenapath, a load generator, and a scenario
//! runner.
//!
//! Nothing here is part of a release: the programs are examples of this package.

pub mod backend;
pub mod link;
pub mod load;
pub mod scenario;
mod socket_owner;
pub mod store;
pub mod users_platform;
pub mod wire;
