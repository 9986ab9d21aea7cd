//! Requests that may crash the backend server that runs them.
//!
//! Load pattern: a request crashes its backend server and its caller sends it again, under a new
//! key and through another instance. Without the suspects it takes down one server per send. The
//! state is a set of crashes, each with the requests that were in flight, so that instances merge
//! it by union and in any order.

mod crash;
mod list;
mod standing;
mod wire;

pub use list::{SuspectConfig, SuspectVerdict, Suspects};
pub use wire::SuspectReport;
