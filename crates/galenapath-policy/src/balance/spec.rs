//! What a balancer is told about backend servers and requests.

use galenapath_protocol::{BackendId, DomainId};

/// One backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Name of the server.
    pub id: BackendId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Whether it takes new requests.
    pub state: BackendState,
    /// Most connections that this instance may hold to the server. Zero means none, so that the
    /// server is never chosen.
    pub connection_share: u32,
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It takes new requests.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}
