//! Whether a run is a good one: for scripts that need a yes or no.

use super::tally::Row;
use crate::wire::{WireError, exchange};
use std::net::SocketAddr;

/// What is wrong with the rows, one line for each finding.
pub fn problems(rows: &[Row]) -> Vec<String> {
    let mut found = Vec::new();
    for row in rows {
        let mut none_of = |count: u64, what: &str| {
            if count > 0 {
                found.push(format!("{}: {count} {what}", row.class));
            }
        };
        none_of(row.wrong, "wrong answers");
        none_of(row.broken, "broken requests");
        none_of(row.unsent, "requests that were not sent");
        none_of(row.failed, "failed requests");
        none_of(row.may_have_run, "requests that may have run");
        if !row.target_met {
            found.push(format!("{}: target missed", row.class));
        }
    }
    found
}

/// Keys that ran more than once, as the backend stand-ins at `admins` count them.
///
/// # Errors
///
/// A stand-in does not answer.
pub async fn repeated_keys(admins: &[SocketAddr]) -> Result<usize, WireError> {
    let mut repeated = 0;
    for admin in admins {
        let answer = exchange(*admin, "GET", "/admin/counters", b"").await?;
        let all: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        repeated += all["repeated_keys"].as_array().map_or(0, Vec::len);
    }
    Ok(repeated)
}
