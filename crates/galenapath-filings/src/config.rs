//! Settings of the filing table.

use galenapath_protocol::Micros;

/// Limits and durations of one instance's filing table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FilingConfig {
    /// Length of a key window. Shorter windows free memory in smaller steps. Must not be zero.
    pub window: Micros,
    /// How long a window's records are kept after the window has closed.
    pub lifetime: Micros,
    /// Lease of a claim in the store. Invariant: at least twice `window + lifetime`, so that no
    /// record outlives its claim.
    pub claim_lease: Micros,
    /// How long after a claim was requested the store's reply is still used. A resend of a
    /// caller-chosen key is recognized for `claim_lease - claim_timeout` after the claim. Without
    /// the limit, a claim that is delayed on its way to the store until an earlier claim's lease
    /// has expired would run the key again.
    pub claim_timeout: Micros,
    /// Claims that one instance may request from the store per second.
    pub claims_per_sec: u32,
    /// Maximum memory of records and answers, in bytes.
    pub max_bytes: usize,
    /// Largest answer that is kept completely, in bytes including headers.
    pub max_answer_bytes: usize,
    /// Maximum memory of outcomes handed over by stopped instances, in bytes.
    pub max_handed_over_bytes: usize,
    /// Retry-after time for callers when the store does not answer or the instance is stopping.
    pub retry_after: Micros,
}

impl Default for FilingConfig {
    fn default() -> Self {
        Self {
            window: Micros::from_secs(600),
            lifetime: Micros::from_secs(3_600),
            claim_lease: Micros::from_secs(24 * 3_600),
            claim_timeout: Micros::from_secs(10),
            claims_per_sec: 20,
            max_bytes: 64 << 20,
            max_answer_bytes: 16 << 10,
            max_handed_over_bytes: 32 << 20,
            retry_after: Micros::from_secs(2),
        }
    }
}
