//! One route: which requests it takes and how they are to be served.

use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most; never sent again once a byte of it may have run.
    NonIdempotent,
    /// A large answer; may run more than once.
    Download,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent => false,
        }
    }

    /// Short name for logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "once_only",
            Self::Download => "download",
        }
    }
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other parts of the route; above zero.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave it.
    pub name: String,
    /// Host that requests name, without a port, in lower case.
    pub host: String,
    /// Start of the paths that it takes; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where requests go; never empty.
    pub parts: Vec<WeightedService>,
    /// Time after which the caller gets the final answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target: Duration,
    /// Most backend servers that one request is sent to; at least one.
    pub max_attempts: u32,
    /// Rank among routes that share a service; 0 is the most urgent.
    pub rank: u32,
}
