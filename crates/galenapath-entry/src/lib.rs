//! The entry instance: receives callers' requests and forwards each to a backend server.

mod clock;
mod control;
mod data;
mod error;
mod fleet;
mod logging;
mod metrics;
mod run;
mod shared;
mod signals;

pub use error::EntryError;
pub use logging::start as start_logging;
pub use run::run;
