//! Checks of the results of a run, for scripts that need a pass or fail.

use super::tally::Row;
use crate::wire::{WireError, exchange};
use std::net::SocketAddr;

/// Returns the problems found in the rows, one line each.
pub fn problems(rows: &[Row]) -> Vec<String> {
    let mut found = Vec::new();
    for row in rows {
        let mut report_nonzero = |count: u64, what: &str| {
            if count > 0 {
                found.push(format!("{}: {count} {what}", row.class));
            }
        };
        report_nonzero(row.wrong, "wrong answers");
        report_nonzero(row.broken, "broken requests");
        report_nonzero(row.unsent, "requests that were not sent");
        report_nonzero(row.failed, "failed requests");
        report_nonzero(row.may_have_run, "requests that may have run");
        if !row.target_met {
            found.push(format!("{}: target missed", row.class));
        }
    }
    found
}

/// Returns the number of keys that ran more than once, as counted by the backend stand-ins at
/// `admins`.
///
/// # Errors
///
/// Fails if a stand-in does not answer.
pub async fn repeated_keys(admins: &[SocketAddr]) -> Result<usize, WireError> {
    let mut repeated = 0;
    for admin in admins {
        let answer = exchange(*admin, "GET", "/admin/counters", b"").await?;
        let all: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        repeated += all["repeated_keys"].as_array().map_or(0, Vec::len);
    }
    Ok(repeated)
}
