//! Scenarios: a small text language that runs the real programs as separate processes, injects
//! faults, and checks the answers that callers receive.
//!
//! The language is described in `docs/design/scenarios.md`.

mod backend;
mod cluster;
mod condition;
mod error;
mod execution_check;
mod expect;
mod idle;
mod instance;
mod line;
mod metric;
mod net;
mod operator;
mod preset;
mod process;
mod programs;
mod run;
mod send;
mod store;
mod users;

pub use crate::link::{LinkFault, Relay};
pub use condition::{Compare, Condition};
pub use error::ScenarioError;
pub use execution_check::{Executions, check};
pub use line::{Line, ParseError, Word, parse};
pub use net::Net;
pub use programs::Programs;
pub use run::run_file;
