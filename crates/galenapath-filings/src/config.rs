//! Settings of the filing table.

use galenapath_protocol::Micros;

/// Limits and times of one instance's filing table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FilingConfig {
    /// Length of a key window. Shorter windows free memory in smaller steps. Never zero.
    pub window: Micros,
    /// Time for which a window's records are kept after the window has closed.
    pub lifetime: Micros,
    /// Lease of a claim in the store. Invariant: at least twice `window + lifetime`, so that no
    /// record outlives its claim.
    pub claim_lease: Micros,
    /// Age at which the store's word on a claim is too old to act on. A resend of an own key is
    /// recognised for `claim_lease - claim_patience` after the claim; without the limit a claim
    /// that waits in front of the store until an earlier one has lapsed would run the key again.
    pub claim_patience: Micros,
    /// Claims that one instance may write per second.
    pub claims_per_sec: u32,
    /// Most bytes that records and answers may take.
    pub max_bytes: usize,
    /// Largest answer that is kept whole, in bytes with its headers.
    pub max_answer_bytes: usize,
    /// Most bytes that answers taken over from stopped instances may take.
    pub max_adopted_bytes: usize,
    /// What a caller is told to wait when the store does not answer or the instance is stopping.
    pub retry_after: Micros,
}

impl Default for FilingConfig {
    fn default() -> Self {
        Self {
            window: Micros::from_secs(600),
            lifetime: Micros::from_secs(3_600),
            claim_lease: Micros::from_secs(24 * 3_600),
            claim_patience: Micros::from_secs(10),
            claims_per_sec: 20,
            max_bytes: 64 << 20,
            max_answer_bytes: 16 << 10,
            max_adopted_bytes: 32 << 20,
            retry_after: Micros::from_secs(2),
        }
    }
}
