//! Bounds on what a caller may send.

use std::time::Duration;

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Longest idle time of a kept connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Usual limits of an HTTP server, in force until the operator's are known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
