//! Leases of the platform's key-value service.

/// A lease granted by the store. Keys claimed with it are deleted when it expires.
///
/// A `Lease` value does not mean that the lease is still valid: it can expire while the holder's
/// process is suspended, so only the store knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub String);
