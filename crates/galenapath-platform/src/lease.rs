//! Leases of the platform's key-value service.

/// A lease granted by the store. Keys claimed with it are deleted when it lapses.
///
/// Holding this value proves nothing: a lease lapses while its holder is paused, so only the store
/// can tell whether it still stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub String);
