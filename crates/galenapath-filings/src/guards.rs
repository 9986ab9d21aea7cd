//! Switches for the protocol's guards, all on in the programs.
//!
//! The model tests turn one off at a time to show that the checker finds what it protects against.

/// One switch for each guard of the protocol; `true` is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Only the incarnation that an issued key names dispatches it.
    pub incarnation_binds: bool,
    /// A caller's own key is claimed in the store before it is dispatched.
    pub own_key_claimed: bool,
    /// The record is made when the key is admitted, before the dispatch; off, it counts only once
    /// the filing has ended.
    pub record_first: bool,
    /// A lost attempt is "may have run" and is not dispatched again.
    pub lost_is_final: bool,
    /// Keys of a window whose records are dropped are refused.
    pub expired_refused: bool,
    /// A full table refuses new keys; off, it drops the oldest record.
    pub full_refuses: bool,
    /// A held claim of the same incarnation counts as won only if it is not older than the record.
    pub claim_age_checked: bool,
    /// The store's word on a claim that was asked for long ago is not acted on.
    pub stale_claim_refused: bool,
    /// A record that is gone when the first byte is about to leave stops the dispatch.
    pub sent_checked: bool,
    /// A key comes with the fingerprint that it first came with.
    pub fingerprint_checked: bool,
    /// A key that is not claimed yet is not bound to a fingerprint.
    pub unclaimed_unbound: bool,
    /// A successor never dispatches keys of the incarnation it took over from.
    pub successor_replays_only: bool,
    /// An own key that cannot be claimed is not said to be "not run".
    pub unclaimed_not_denied: bool,
}

impl Guards {
    /// All guards on.
    pub const ON: Self = Self {
        incarnation_binds: true,
        own_key_claimed: true,
        record_first: true,
        lost_is_final: true,
        expired_refused: true,
        full_refuses: true,
        claim_age_checked: true,
        stale_claim_refused: true,
        sent_checked: true,
        fingerprint_checked: true,
        unclaimed_unbound: true,
        successor_replays_only: true,
        unclaimed_not_denied: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ON
    }
}
