//! Following one request through the logs of gateway instances.

mod find;
mod line;
mod report;
mod step;

pub use find::{Belief, Trace, trace};
pub use line::LogLine;
pub(crate) use report::run;
pub use step::Step;
