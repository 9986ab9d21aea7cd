//! Stand-ins for the platform, backend servers and callers, and the scenarios that use them.
//!
//! Nothing here ships: the programs are examples of this package.

pub mod backend;
pub mod load;
pub mod wire;
