//! What the operator says of a service.

/// A service as the operator's configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Path that answers with the backend server's health and load.
    pub health_path: String,
    /// Most connections that one backend server accepts from all callers together.
    pub max_connections: u32,
}
