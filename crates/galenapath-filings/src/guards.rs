//! Switches for the protocol's guards, all on in production.
//!
//! The model tests turn off one guard at a time, to show that the model checker finds the
//! violation that the guard prevents.

/// One switch for each guard of the protocol. `true` means on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Only the incarnation that an issued key names dispatches it.
    pub incarnation_binds: bool,
    /// A caller-chosen key is claimed in the store before it is dispatched.
    pub caller_chosen_key_claimed: bool,
    /// The record is created when the key is admitted, before the dispatch. If off, the record
    /// counts only after the filing has ended.
    pub record_first: bool,
    /// A lost attempt gives "may have run" and the filing is not dispatched again.
    pub lost_is_final: bool,
    /// Keys of a window whose records have been dropped are rejected.
    pub expired_rejected: bool,
    /// A full table rejects new keys. If off, it drops the oldest record.
    pub full_rejects: bool,
    /// A claim in the store by the same incarnation counts as won only if it is not older than the
    /// record.
    pub claim_age_checked: bool,
    /// The store's reply to a claim is ignored once `claim_timeout` has passed.
    pub stale_claim_ignored: bool,
    /// A record that no longer exists when the first byte is about to be sent stops the dispatch.
    pub sent_checked: bool,
    /// Requests with the same key must have the same fingerprint.
    pub fingerprint_checked: bool,
    /// A key that is not claimed yet is not bound to a fingerprint.
    pub unclaimed_unbound: bool,
    /// A successor never dispatches keys of the incarnation whose outcomes it received.
    pub successor_replays_only: bool,
    /// A caller-chosen key that cannot be claimed is not answered with "not run".
    pub unclaimed_not_denied: bool,
}

impl Guards {
    /// All guards on.
    pub const ON: Self = Self {
        incarnation_binds: true,
        caller_chosen_key_claimed: true,
        record_first: true,
        lost_is_final: true,
        expired_rejected: true,
        full_rejects: true,
        claim_age_checked: true,
        stale_claim_ignored: true,
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
