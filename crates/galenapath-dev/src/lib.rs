//! Development package: stand-ins for the platform and backend servers, and tools around them.

pub mod store;
