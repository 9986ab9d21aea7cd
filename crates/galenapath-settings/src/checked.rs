//! Settings after all checks.

use crate::{BalancingPolicy, LogLevel};
use galenapath_protocol::{DomainId, InstanceId};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's key-value service.
    pub platform: Platform,
    /// File whose first line is the operators' token.
    pub token_file: PathBuf,
    /// Bounds on what callers can make it hold.
    pub limits: Limits,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// How backend servers are chosen; other than by default only in comparisons.
    pub balancing_policy: BalancingPolicy,
}

/// Who an instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique in the deployment; never empty.
    pub name: InstanceId,
    /// Failure domain; never empty.
    pub domain: DomainId,
}

/// Addresses that an instance listens on. They differ from each other, so that a caller can never
/// pose as a peer or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Other entry instances.
    pub peers: SocketAddr,
    /// Operators, health and metrics.
    pub operators: SocketAddr,
    /// Peers' addresses of other instances, used when the platform's list cannot be read at start.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// Longest wait for one call.
    pub timeout: Duration,
}

/// Bounds on what callers can make an instance hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request or an answer, in bytes.
    pub header_bytes: usize,
    /// Longest time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// Longest idle time of a caller's connection.
    pub idle_timeout: Duration,
    /// Most connections from callers.
    pub caller_connections: usize,
    /// Largest body of a filing, in bytes; filings are read whole before they are dispatched.
    pub filing_bytes: usize,
    /// Longest time that a stop waits for requests in progress.
    pub drain_timeout: Duration,
}
