//! Discrete-event simulation of backend servers behind the production admission code.
#![allow(dead_code, unused_imports)] // each test file uses only some of the items

mod report;
mod sim;
mod streams;

pub use report::Report;
pub use sim::{Change, End, Record, Sim, SimConfig, Stream, Work};
pub use streams::{lookups, transfers};

use galenapath_policy::{ClassIndex, ClassPolicy, WorkLength};
use galenapath_protocol::Micros;

/// Class of the short work, with a target of 50 ms.
pub const LOOKUP: ClassPolicy = ClassPolicy {
    class: ClassIndex(0),
    length: WorkLength::Short,
    target: Micros::from_millis(50),
};

/// Class of the long work, with a target of 2 s.
pub const TRANSFER: ClassPolicy =
    ClassPolicy { class: ClassIndex(1), length: WorkLength::Long, target: Micros::from_secs(2) };

/// Requests per second that 20 backend servers with 6 slots serve at 5 ms of work each.
pub const CAPACITY: f64 = 24_000.0;
