//! Development package: stand-ins for the systems around galenapath, and the load generator.

pub mod backend;
pub mod store;
pub mod wire;
