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

/// How a request ended, as the instance saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered,
    /// The server refused the request without running it.
    Shed,
    /// The server answered an error, or closed, faster than work can be done.
    FastFailure,
    /// The connection or the answer broke off.
    Failure,
    /// The deadline passed without an answer.
    TimedOut,
    /// The caller went away, or another try answered first.
    Cancelled,
}
