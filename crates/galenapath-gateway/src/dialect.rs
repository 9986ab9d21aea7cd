//! Names and formats of a platform: the interface that a platform adapter implements.

use bytes::Bytes;
use galenapath_protocol::LoadReport;
use galenapath_routes::{RouteTable, ServerRecord};
use http::Uri;
use http::header::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the headers between callers, instances and backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifier of one request, set by the caller and echoed by the backend server.
    pub request_id: HeaderName,
    /// Milliseconds until the sender stops waiting for the answer.
    pub time_left_ms: HeaderName,
    /// Identity of the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// The backend server's signature of its answer.
    pub signature: HeaderName,
    /// The backend server's load report.
    pub load: HeaderName,
    /// Present if the backend server did not run the request.
    pub not_run: HeaderName,
    /// Identity of the answering backend server.
    pub server_id: HeaderName,
    /// Milliseconds for which the backend server stays cold; sent with answers to load queries.
    pub cold_ms: HeaderName,
    /// The backend server's rate limit: requests per second from all instances together. Absent
    /// while it states none.
    pub rate_limit: HeaderName,
    /// Present with a value other than `0` while the backend server is leaving.
    pub leaving: HeaderName,
    /// Name of the workspace that a request belongs to, set for the backend server.
    pub workspace: HeaderName,
}

/// A caller's request for instance addresses to connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressRequest {
    /// Host that the caller will send requests to.
    pub host: String,
    /// Failure domain of the caller.
    pub domain: String,
}

/// A request that an instance answers itself instead of forwarding it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// Whether the instance is ready.
    Ready,
    /// Which instances to connect to.
    Addresses(AddressRequest),
}

/// A platform's names and formats. Implementations make no load-balancing decisions.
pub trait Dialect {
    /// Names of the headers.
    fn headers(&self) -> HeaderNames;

    /// Parses the value of the load header.
    fn parse_load(&self, text: &str) -> Option<LoadReport>;

    /// Prefix of the keys that the operator writes.
    fn operator_prefix(&self) -> &'static str;

    /// Key of the operator's configuration.
    fn config_key(&self) -> &'static str;

    /// Prefix of the keys that each name an evacuated failure domain. Its backend servers get no
    /// requests while the key exists.
    fn evacuations_prefix(&self) -> &'static str;

    /// Prefix of the keys under which backend servers are listed by identity.
    fn servers_prefix(&self) -> &'static str;

    /// Parses the operator's configuration. An entry that cannot be read costs only itself and is
    /// among the problems of the table.
    ///
    /// # Errors
    ///
    /// A description of the problem, for the log.
    fn parse_route_table(&self, value: &[u8]) -> Result<RouteTable, String>;

    /// Parses the entry of the backend server `id`.
    ///
    /// # Errors
    ///
    /// A description of the problem, for the log.
    fn parse_server(&self, id: &str, value: &[u8]) -> Result<ServerRecord, String>;

    /// Parses a request to the instance itself; `None` for an unknown path.
    fn parse_control_request(&self, uri: &Uri) -> Option<ControlRequest>;

    /// Encodes the body of the answer to an address request. Callers may use the addresses for
    /// `keep_for`.
    fn encode_addresses(&self, addresses: &[SocketAddr], keep_for: Duration) -> Bytes;
}
