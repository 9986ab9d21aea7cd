//! Settings of a gateway instance: reading, validation and default values.

use crate::SettingsError;
use crate::generated_gateway::{
    GatewayListenWire, GatewayRetriesWire, GatewaySettingsWire, GatewayWorkspacesWire,
};
use crate::validate::{SettingsText, malformed};
use galenapath_protocol::{DomainId, InstanceId};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub use crate::generated_gateway::GatewayLogWireLevel as GatewayLogLevel;

/// Longer than a slow store takes to answer, but shorter than callers' timeouts.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_millis(600);
const DEFAULT_APPLY_WITHIN: Duration = Duration::from_secs(2);
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
const DEFAULT_CORES: f64 = 1.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_SLACK: f64 = 60.0;
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_PROBES_PER_SECOND: f64 = 60.0;
/// Short, because a caller that has cached the address of a failed instance cannot connect for as
/// long as it keeps the address.
const DEFAULT_KEEP_ADDRESSES: Duration = Duration::from_secs(1);
const DEFAULT_CALLER_CONNECTIONS: u32 = 3_000;
const DEFAULT_QUOTA_TOLERANCE: f64 = 0.0;
const DEFAULT_GRACE: Duration = Duration::from_secs(6);
const DEFAULT_LOG_LINES: u32 = 20;

/// Settings of one gateway instance.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name; unique in the deployment and not empty.
    pub name: InstanceId,
    /// Failure domain; not empty.
    pub domain: DomainId,
    /// Number of processor cores that the instance may use; may be a fraction.
    pub cores: f64,
    /// Bandwidth of the instance's network link in Mbit/s.
    pub link_mbps: f64,
    /// Memory that the instance may use, in MB.
    pub memory_mb: f64,
    /// Addresses that the instance listens on.
    pub listen: GatewayListen,
    /// Address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Timeout of one call to the key-value service.
    pub platform_timeout: Duration,
    /// Time within which a change in the key-value service takes effect on all instances.
    pub apply_within: Duration,
    /// Limit on retries and hedges.
    pub retries: RetrySettings,
    /// Maximum rate of probes to one backend server, by all instances together.
    pub probes_per_second: f64,
    /// Keys and quotas of workspaces.
    pub workspaces: WorkspaceSettings,
    /// How long callers may cache the addresses that they are given.
    pub keep_addresses: Duration,
    /// Maximum number of connections from callers.
    pub caller_connections: usize,
    /// Time between the stop signal and the moment when the process is killed.
    pub grace: Duration,
    /// Minimum severity of logged messages.
    pub log_level: GatewayLogLevel,
    /// Maximum number of log lines per second about successful requests.
    pub log_lines: u32,
}

/// Addresses that a gateway instance listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Requests for the addresses that callers should connect to.
    pub addresses: SocketAddr,
    /// Traffic from other instances, on TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Peer addresses of the instances from which a starting instance learns the others.
    pub seeds: Vec<SocketAddr>,
}

/// Limit on retries and hedges to a service, by all instances together: sends beyond the first one
/// of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries and hedges permitted per request.
    pub ratio: f64,
    /// Retries and hedges permitted in addition in each window, regardless of the number of
    /// requests.
    pub slack: f64,
    /// Length of the window to which `slack` refers.
    pub window: Duration,
}

/// Keys and quotas of workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceSettings {
    /// Requests that all instances together may run beyond a quota, because they do not know at
    /// once of each other.
    pub quota_tolerance: f64,
    /// Time after which an instance that may have missed the removal of a key serves no request
    /// that needs one; `None` if it goes on.
    pub revoke_within: Option<Duration>,
}

/// Reads and validates the gateway settings in `file`.
///
/// # Errors
///
/// The first error found, with file, line and key.
pub fn load_gateway(file: &Path) -> Result<GatewaySettings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| SettingsError::Unreadable { file: file.to_owned(), reason: e.to_string() })?;
    parse_gateway(file, &text)
}

/// Validates gateway settings. `text` is the content of `file`.
///
/// # Errors
///
/// The first error found, with file, line and key.
pub fn parse_gateway(file: &Path, text: &str) -> Result<GatewaySettings, SettingsError> {
    let wire: GatewaySettingsWire = toml::from_str(text).map_err(|e| malformed(file, text, &e))?;
    let source = SettingsText { file, text };
    let callers = wire.callers.unwrap_or_default();
    let log = wire.log.unwrap_or_default();
    let timeout = wire.platform.timeout.as_deref();
    let apply = wire.platform.apply_within.as_deref();
    let apply_within = source.duration("platform.apply_within", apply, DEFAULT_APPLY_WITHIN)?;
    let default_timeout = DEFAULT_PLATFORM_TIMEOUT.min(apply_within * 3 / 10);
    let keep = callers.keep_addresses.as_deref();
    let grace = wire.stop.and_then(|stop| stop.grace);
    Ok(GatewaySettings {
        name: InstanceId(source.non_empty("instance.name", &wire.instance.name)?),
        domain: DomainId(source.non_empty("instance.domain", &wire.instance.domain)?.into()),
        cores: source.non_negative("instance.cores", wire.instance.cores, DEFAULT_CORES)?,
        link_mbps: source.non_negative(
            "instance.link_mbps",
            wire.instance.link_mbps,
            DEFAULT_LINK_MBPS,
        )?,
        memory_mb: source.non_negative(
            "instance.memory_mb",
            wire.instance.memory_mb,
            DEFAULT_MEMORY_MB,
        )?,
        listen: listen(&source, &wire.listen)?,
        platform: source.address("platform.address", &wire.platform.address)?,
        platform_timeout: source.duration("platform.timeout", timeout, default_timeout)?,
        apply_within,
        retries: retries(&source, &wire.retries.unwrap_or_default())?,
        probes_per_second: source.non_negative(
            "probes.per_second",
            wire.probes.and_then(|probes| probes.per_second),
            DEFAULT_PROBES_PER_SECOND,
        )?,
        workspaces: workspaces(&source, &wire.workspaces.unwrap_or_default())?,
        keep_addresses: source.duration("callers.keep_addresses", keep, DEFAULT_KEEP_ADDRESSES)?,
        caller_connections: callers
            .connections
            .map_or(DEFAULT_CALLER_CONNECTIONS, std::num::NonZeroU32::get)
            as usize,
        grace: source.duration("stop.grace", grace.as_deref(), DEFAULT_GRACE)?,
        log_level: log.level.unwrap_or(GatewayLogLevel::Info),
        log_lines: log.lines_per_second.map_or(DEFAULT_LOG_LINES, std::num::NonZeroU32::get),
    })
}

fn listen(
    source: &SettingsText<'_>,
    wire: &GatewayListenWire,
) -> Result<GatewayListen, SettingsError> {
    let callers = source.address("listen.callers", &wire.callers)?;
    let readiness = source.address("listen.readiness", &wire.readiness)?;
    let addresses = source.address("listen.addresses", &wire.addresses)?;
    let peers = source.address("listen.peers", &wire.peers)?;
    source.check_distinct("listen.readiness", readiness, &[callers])?;
    source.check_distinct("listen.addresses", addresses, &[callers, readiness])?;
    source.check_distinct("listen.peers", peers, &[callers, readiness, addresses])?;
    let metrics = wire.metrics.as_deref().map(|text| source.address("listen.metrics", text));
    let metrics = metrics.transpose()?;
    if let Some(address) = metrics {
        let others = [callers, readiness, addresses, peers];
        source.check_distinct("listen.metrics", address, &others)?;
    }
    let seeds = wire
        .seeds
        .iter()
        .map(|text| source.address("listen.seeds", text))
        .map(|seed| seed.map(|seed| SocketAddr::new(seed.ip(), peers.port())))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(GatewayListen { callers, readiness, addresses, peers, metrics, seeds })
}

fn workspaces(
    source: &SettingsText<'_>,
    wire: &GatewayWorkspacesWire,
) -> Result<WorkspaceSettings, SettingsError> {
    let revoke_within = wire
        .revoke_within
        .as_deref()
        .map(|text| source.duration("workspaces.revoke_within", Some(text), Duration::ZERO));
    Ok(WorkspaceSettings {
        quota_tolerance: source.non_negative(
            "workspaces.quota_tolerance",
            wire.quota_tolerance,
            DEFAULT_QUOTA_TOLERANCE,
        )?,
        revoke_within: revoke_within.transpose()?,
    })
}

fn retries(
    source: &SettingsText<'_>,
    wire: &GatewayRetriesWire,
) -> Result<RetrySettings, SettingsError> {
    let window = wire.window.as_deref();
    Ok(RetrySettings {
        ratio: source.non_negative("retries.ratio", wire.ratio, DEFAULT_RETRY_RATIO)?,
        slack: source.non_negative("retries.slack", wire.slack, DEFAULT_RETRY_SLACK)?,
        window: source.duration("retries.window", window, DEFAULT_RETRY_WINDOW)?,
    })
}
