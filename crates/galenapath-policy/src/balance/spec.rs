//! Descriptions of the backend servers that a balancer chooses among.

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
    /// Maximum number of connections from this instance to the server. A server with zero is never
    /// chosen.
    pub connection_share: u32,
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It takes new requests.
    Live,
    /// It finishes its running requests and takes no new ones.
    Leaving,
}
