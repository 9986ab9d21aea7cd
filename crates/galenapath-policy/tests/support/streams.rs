//! The callers that the tests use.

use super::sim::{Stream, Work};
use super::{LOOKUP, TRANSFER};
use galenapath_protocol::Micros;

/// Lookups with exponential work of 5 ms.
pub fn lookups(workspace: &'static str, rates: Vec<(Micros, f64)>) -> Stream {
    Stream { workspace, class: LOOKUP, work: Work::Exponential(5_000.0), rates, returns: 0 }
}

/// Transfers with exponential work of 200 ms at a constant rate.
pub fn transfers(workspace: &'static str, rate: f64) -> Stream {
    let rates = vec![(Micros::ZERO, rate)];
    Stream { workspace, class: TRANSFER, work: Work::Exponential(200_000.0), rates, returns: 0 }
}
