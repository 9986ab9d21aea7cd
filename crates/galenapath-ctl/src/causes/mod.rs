//! Counts from the logs of gateway instances why requests were late, rejected or failed.

mod cause;
mod count;
mod report;
mod request_end;

pub use cause::Cause;
pub use count::{CauseCount, Causes, Counter, WindowCount, count_causes};
pub(crate) use report::run;
pub use request_end::RequestEnd;
