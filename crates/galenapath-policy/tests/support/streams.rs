//! Request streams for the tests.

use super::sim::{Stream, Work};
use super::{LOOKUP, TRANSFER};
use galenapath_protocol::Micros;

/// Lookups with exponentially distributed work, 5 ms on average.
pub fn lookups(workspace: &'static str, rates: Vec<(Micros, f64)>) -> Stream {
    Stream { workspace, class: LOOKUP, work: Work::Exponential(5_000.0), rates, caller_retries: 0 }
}

/// Transfers at a constant rate with exponentially distributed work, 200 ms on average.
pub fn transfers(workspace: &'static str, rate: f64) -> Stream {
    let rates = vec![(Micros::ZERO, rate)];
    Stream {
        workspace,
        class: TRANSFER,
        work: Work::Exponential(200_000.0),
        rates,
        caller_retries: 0,
    }
}
