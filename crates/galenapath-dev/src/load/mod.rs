//! Open-loop load generator, whose callers follow the protocol for callers.
//!
//! Arrival times do not depend on answers, and latency is measured from the time at which a request
//! was due, so that a stall shows in the latency of every request that it delayed.

mod arrivals;
mod attempt;
mod caller;
mod caller_result;
mod check;
mod entries;
mod options;
mod pool;
mod run;
mod tally;
mod verify;

pub use arrivals::Arrivals;
pub use attempt::{Attempt, Request, RequestSpec};
pub use caller_result::CallerResult;
pub use check::BodyCheck;
pub use options::{ClassLoad, Options, ParseClassError};
pub use pool::Pool;
pub use run::{Report, run};
pub use tally::{Outcome, Row, Tally, table};
pub use verify::{problems, repeated_keys};
