//! Limits on the requests of callers.

use std::time::Duration;

/// Limits on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Usual limits of an HTTP server, used until the operator's limits are known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
