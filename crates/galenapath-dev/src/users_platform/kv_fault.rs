//! Faults of the key-value stand-in.

/// Fault of the service at one of its addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KvFault {
    /// No fault.
    #[default]
    None,
    /// No call is answered.
    Silent,
    /// Calls are answered with 503.
    Busy,
    /// Calls are answered with 429.
    Limited,
    /// Connections are closed.
    Reset,
    /// Watches receive no changes and are answered with 410 (history gone) at the end of their
    /// wait.
    Deaf,
    /// Watches are not answered; other calls are.
    Mute,
    /// Reads of a prefix that may be stale are answered from the copy of the state, and late.
    StaleReads,
    /// All calls are answered from the state before the service came back from a backup: a part of it
    /// that has not come back yet.
    Former,
}
