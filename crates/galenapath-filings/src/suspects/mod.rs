//! Requests that may crash the backend server that runs them.
//!
//! Load pattern: a request crashes its backend server and its caller resends it, under a new key
//! and through another instance. Without this module, each resend crashes another server. The state
//! is a set of crashes, each with the requests that were in flight, so that instances can merge it
//! by union and in any order.

mod assessment;
mod crash;
mod list;
mod recent_answers;
mod report;
mod server_runs;

pub use list::{SuspectConfig, SuspectVerdict, Suspects};
pub use recent_answers::RecentAnswers;
pub use report::SuspectReport;
pub use server_runs::{RunId, ServerRuns};
