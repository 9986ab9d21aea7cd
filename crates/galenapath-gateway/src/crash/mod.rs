//! Requests that crash backend servers: who may run, which servers have crashed, and what instances
//! send each other. [`galenapath_filings::Suspects`] decides which requests are crash suspects.

mod check;
mod detection;
mod exchange;

pub(crate) use check::{check_suspect, is_known_to_crash_servers, record_answer, rejected_for};
pub(crate) use detection::check_for_crash;
pub(crate) use exchange::run;

use galenapath_filings::Fingerprint;

/// A fingerprint as it stands in the log.
fn hash_text(request: Fingerprint) -> String {
    format!("{:032x}", request.0)
}
