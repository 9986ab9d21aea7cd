//! Routes: which requests each one matches and how they are served.

use std::time::Duration;

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once; never sent again once any byte of it may have been processed.
    NonIdempotent,
    /// May run more than once and has a large answer.
    Download,
    /// Runs at most once, like `NonIdempotent`, and has a large body.
    Upload,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent | Self::Upload => false,
        }
    }

    /// Whether requests or answers are so large that their transfer matters for the choice of a
    /// server.
    pub const fn is_large(self) -> bool {
        match self {
            Self::Download | Self::Upload => true,
            Self::Idempotent | Self::NonIdempotent => false,
        }
    }

    /// Short name for logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "once_only",
            Self::Download => "download",
            Self::Upload => "upload",
        }
    }
}

/// A service that a route sends requests to, with its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other services of the route; zero gets no requests.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave it.
    pub name: String,
    /// Host name of the requests, without a port, in lower case.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Services that get the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Time by which the caller gets the final answer.
    pub timeout: Duration,
    /// Latency target: the time by which the answer should come.
    pub target: Duration,
    /// Maximum number of backend servers that one request is sent to; at least one.
    pub max_attempts: u32,
    /// Priority among routes that share a service; 0 is the most urgent.
    pub rank: u32,
    /// Whether requests need no key where the configuration has workspaces.
    pub is_public: bool,
}
