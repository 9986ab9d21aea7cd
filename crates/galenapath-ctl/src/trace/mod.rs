//! Traces one request through the logs of gateway instances.

mod find;
mod log_line;
mod report;
mod step;

pub use find::{EventGroup, Trace, trace};
pub use log_line::LogLine;
pub(crate) use report::run;
pub use step::Step;
