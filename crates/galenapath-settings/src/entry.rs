//! Validated settings of an entry instance.

use crate::{BalancingPolicy, LogLevel};
use galenapath_protocol::{DomainId, InstanceId};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: Instance,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// The platform's key-value service.
    pub platform: Platform,
    /// File with the operators' token on its first line.
    pub token_file: PathBuf,
    /// Limits on the resources that callers can use.
    pub limits: Limits,
    /// Minimum severity of logged messages.
    pub log_level: LogLevel,
    /// How backend servers are chosen. Policies other than the default one are for comparison only.
    pub balancing_policy: BalancingPolicy,
}

/// Identity of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name; unique in the deployment and not empty.
    pub name: InstanceId,
    /// Failure domain; not empty.
    pub domain: DomainId,
}

/// Addresses that an instance listens on. No two are equal, so that a caller's request is never
/// handled as one from a peer or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Traffic from other entry instances.
    pub peers: SocketAddr,
    /// Operators' requests, health checks and metrics.
    pub operators: SocketAddr,
    /// Peer addresses of other instances, used if the platform's list cannot be read at startup.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the service.
    pub address: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
}

/// Limits on the resources that callers can use on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the head of a request or an answer, in bytes.
    pub header_bytes: usize,
    /// Maximum time between the first and the last byte of a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a caller's connection.
    pub idle_timeout: Duration,
    /// Maximum number of connections from callers.
    pub caller_connections: usize,
    /// Maximum size of the body of a filing, in bytes. A filing is read completely before it is
    /// dispatched.
    pub filing_bytes: usize,
    /// Maximum time from the stop signal to the end of the process.
    pub drain_timeout: Duration,
}
