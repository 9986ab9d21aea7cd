//! Requests that crash backend servers: who may run, what each server may be running, which servers
//! have crashed, and what instances send each other. [`galenapath_filings::Suspects`] decides which requests are crash suspects.

mod check;
mod detection;
mod exchange;
mod running;

pub(crate) use check::{check_suspect, is_known_to_crash_servers, record_answer, rejected_for};
pub(crate) use exchange::run;
pub(crate) use running::{Running, RunningRequests, follow_abandoned};

use galenapath_filings::Fingerprint;

/// A fingerprint as it stands in the log.
fn hash_text(request: Fingerprint) -> String {
    format!("{:032x}", request.0)
}
