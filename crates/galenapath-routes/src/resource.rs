//! Entries of the operator's configuration as a platform's adapter reads them.

use crate::{CallerLimits, KeyDigest, Route, ServiceSpec, Workspace};
use thiserror::Error;

/// One entry of the operator's configuration.
#[derive(Clone, Debug)]
pub enum Resource {
    /// A route. `unknown_kind` is the name of its kind if the adapter does not know that kind;
    /// `route.kind` is then replaced.
    Route {
        /// The route.
        route: Route,
        /// Name of a kind that is not known.
        unknown_kind: Option<String>,
    },
    /// A service.
    Service {
        /// Name of the service.
        name: String,
        /// Its configuration.
        spec: ServiceSpec,
    },
    /// A workspace.
    Workspace {
        /// The workspace.
        workspace: Workspace,
        /// Digests of its API keys.
        keys: Vec<KeyDigest>,
    },
    /// Limits on the requests of callers.
    Limits(CallerLimits),
    /// An entry that cannot be read.
    Unreadable(UnreadableResource),
}

/// Type of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResourceType {
    /// A route.
    Route,
    /// A service.
    Service,
    /// A workspace.
    Workspace,
    /// Limits on the requests of callers.
    Limits,
    /// A type that this version does not know.
    Unknown,
}

impl ResourceType {
    /// Short name for logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Limits => "limits",
            Self::Unknown => "unknown",
        }
    }
}

/// An entry that cannot be read.
#[derive(Clone, Debug)]
pub struct UnreadableResource {
    /// Type of the entry.
    pub resource_type: ResourceType,
    /// Name that the operator gave it; empty if it has none.
    pub name: String,
    /// What is wrong with it.
    pub reason: String,
    /// Host in lower case and path prefix, if the entry is a route and has both.
    pub location: Option<(String, String)>,
}

/// Why an entry of the configuration is not in force as the operator wrote it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ResourceFault {
    /// The entry cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// A route's kind is not known; its requests run at most once.
    #[error("unknown kind `{0}`: its requests run at most once")]
    UnknownKind(String),
    /// A route sends requests to a service that is not in the configuration.
    #[error("the service `{0}` does not exist")]
    UnknownService(String),
    /// A route has no service that could get requests.
    #[error("no service has a weight above zero")]
    NoWeightedService,
    /// A prefix that does not begin and end with a slash.
    #[error("the prefix `{0}` must begin and end with a slash")]
    BadPrefix(String),
}

/// A problem with one entry of a configuration that is in force otherwise.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{} `{name}`: {fault}", resource_type.as_str())]
pub struct ResourceProblem {
    /// Type of the entry.
    pub resource_type: ResourceType,
    /// Name that the operator gave it; empty if it has none.
    pub name: String,
    /// What is wrong with it.
    pub fault: ResourceFault,
}
