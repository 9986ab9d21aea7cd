//! What a platform calls things: the seam between the gateway and an adapter.

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
    /// Milliseconds that the sender goes on waiting for the answer.
    pub time_left_ms: HeaderName,
    /// Identity of the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// The backend server's signature of its answer.
    pub signature: HeaderName,
    /// The backend server's load.
    pub load: HeaderName,
    /// Present where the backend server did not run the request.
    pub not_run: HeaderName,
    /// Identity of the backend server that answers.
    pub server_id: HeaderName,
    /// Milliseconds for which the backend server stays cold, with its answers to questions.
    pub cold_ms: HeaderName,
    /// Requests a second that the backend server takes from all instances together, while it names them.
    pub rate_limit: HeaderName,
    /// Present, and not `0`, where the backend server leaves.
    pub leaving: HeaderName,
}

/// What a caller tells about itself when it asks where to connect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Host that it wants to reach.
    pub host: String,
    /// Failure domain that it is in.
    pub domain: String,
}

/// A question to an instance other than a request to be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Whether the instance is ready.
    Ready,
    /// Where to connect.
    Addresses(AddressQuery),
}

/// A platform's names and formats. It decides nothing.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> HeaderNames;

    /// Reads the value of the load header.
    fn load(&self, text: &str) -> Option<LoadReport>;

    /// Start of the keys that the operator writes.
    fn operator_prefix(&self) -> &'static str;

    /// Key of the operator's configuration.
    fn config_key(&self) -> &'static str;

    /// Start of the keys that each name a failure domain whose backend servers are to get nothing for as
    /// long as the key is there.
    fn evacuations_prefix(&self) -> &'static str;

    /// Start of the keys under which backend servers are listed by their identities.
    fn servers_prefix(&self) -> &'static str;

    /// Reads the operator's configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with it, for the log.
    fn route_table(&self, value: &[u8]) -> Result<RouteTable, String>;

    /// Reads the entry of the backend server `id`.
    ///
    /// # Errors
    ///
    /// What is wrong with it, for the log.
    fn server(&self, id: &str, value: &[u8]) -> Result<ServerRecord, String>;

    /// Reads a question; `None` where the path is no question.
    fn question(&self, uri: &Uri) -> Option<Question>;

    /// The body of the answer to the question where to connect.
    fn addresses(&self, addresses: &[SocketAddr], keep_for: Duration) -> Bytes;
}
