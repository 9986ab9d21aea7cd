//! Open-loop load generator: callers that follow the interface for callers.
//!
//! Arrivals are drawn beforehand and do not wait for answers, and time is measured from the moment
//! a request was due, so that a stall shows in the figures of all requests that it held up.

mod arrivals;
mod attempt;
mod caller;
mod check;
mod entries;
mod options;
mod pool;
mod run;
mod tally;
mod told;
mod verify;

pub use arrivals::Arrivals;
pub use attempt::{Attempt, Request, RequestSpec};
pub use check::BodyCheck;
pub use options::{ClassLoad, Options, ParseClassError};
pub use pool::Pool;
pub use run::{Report, run};
pub use tally::{Outcome, Row, Tally, table};
pub use told::Told;
pub use verify::{problems, repeated_keys};
