//! Why many requests were late, refused or failed: counted over the logs of gateway instances.

mod cause;
mod count;
mod ended;
mod report;

pub use cause::Cause;
pub use count::{CauseCount, Causes, Counter, WindowCount, causes};
pub use ended::Ended;
pub(crate) use report::run;
