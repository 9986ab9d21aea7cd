//! Stand-in for backend servers.
//!
//! One process serves any number of servers, each with its own address, slots, connections and
//! faults. It counts the requests that it ran, so that a test can compare them with the results
//! that callers received.

mod admin;
mod answer;
mod body;
mod connection;
mod counters;
mod faults;
mod options;
mod process;
mod registration;
mod server;
mod slots;
mod work;

pub use answer::NOT_RUN_HEADER;
pub use body::{pattern_bytes, pattern_seed};
pub use connection::PROBE_PATH;
pub use counters::{Counters, KeyCounts, PeakRate};
pub use faults::{Faults, FaultsChange, ReportFault};
pub use options::{Options, ParseSpecError, ServerSpec};
pub use process::Process;
pub use slots::{Full, SlotGuard, Slots};
pub use work::{ParseWorkError, Work};
