//! Services as the operator configures them.

use std::time::Duration;

/// How the backend servers of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long a server stays cold if it reports no time of its own.
    pub duration: Duration,
    /// Requests per second that a cold server can handle; one that gets many more crashes.
    pub per_second: f64,
}

/// A service of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Path that returns the health and load of a backend server.
    pub health_path: String,
    /// Maximum number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// How its servers warm up; `None` if they accept any number of requests from their start.
    pub warm_up: Option<WarmUp>,
}
