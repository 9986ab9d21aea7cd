//! Settings of a gateway instance: read, checked and with their defaults.

use crate::SettingsError;
use crate::at::{Place, malformed};
use crate::generated_gateway::{GatewayListenWire, GatewayRetriesWire, GatewaySettingsWire};
use galenapath_protocol::{DomainId, InstanceId};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub use crate::generated_gateway::GatewayLogWireLevel as GatewayLogLevel;

/// Longer than a slow store takes for an answer, shorter than callers wait.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_millis(600);
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
const DEFAULT_CORES: f64 = 1.0;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_SLACK: f64 = 60.0;
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_PROBES_PER_SECOND: f64 = 60.0;
/// A caller that keeps an address of a dead instance fails for as long.
const DEFAULT_KEEP_ADDRESSES: Duration = Duration::from_secs(1);
const DEFAULT_CALLER_CONNECTIONS: u32 = 3_000;
const DEFAULT_GRACE: Duration = Duration::from_secs(6);
const DEFAULT_LOG_LINES: u32 = 20;

/// Settings of one gateway instance.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name, unique in the deployment; never empty.
    pub name: InstanceId,
    /// Failure domain; never empty.
    pub domain: DomainId,
    /// Processor cores, or part of one, that the instance may use.
    pub cores: f64,
    /// Bandwidth of its network link in Mbit/s.
    pub link_mbps: f64,
    /// Where it listens.
    pub listen: GatewayListen,
    /// Address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Longest wait for one call on it.
    pub platform_timeout: Duration,
    /// What may be sent more than once.
    pub retries: RetrySettings,
    /// Most probes to one backend server in a second, of all instances together.
    pub probes_per_second: f64,
    /// How long callers may keep an address answer.
    pub keep_addresses: Duration,
    /// Most connections from callers.
    pub caller_connections: usize,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Least severe level that is logged.
    pub log_level: GatewayLogLevel,
    /// Most lines in a second about requests that were answered well.
    pub log_lines: u32,
}

/// Addresses that a gateway instance listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Whether the instance is ready.
    pub readiness: SocketAddr,
    /// Where callers are to connect.
    pub addresses: SocketAddr,
    /// Other instances, TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
    /// Peers' addresses of instances that are asked who is there.
    pub seeds: Vec<SocketAddr>,
}

/// What all instances together may send to a service beyond the first send of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Share of the requests.
    pub ratio: f64,
    /// Sends in one window beyond the share.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Reads and checks the gateway settings in `file`.
///
/// # Errors
///
/// The first fault found, with file, line and key.
pub fn load_gateway(file: &Path) -> Result<GatewaySettings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| SettingsError::Unreadable { file: file.to_owned(), reason: e.to_string() })?;
    parse_gateway(file, &text)
}

/// Checks gateway settings whose text has been read from `file`.
///
/// # Errors
///
/// The first fault found, with file, line and key.
pub fn parse_gateway(file: &Path, text: &str) -> Result<GatewaySettings, SettingsError> {
    let wire: GatewaySettingsWire = toml::from_str(text).map_err(|e| malformed(file, text, &e))?;
    let at = Place { file, text };
    let callers = wire.callers.unwrap_or_default();
    let log = wire.log.unwrap_or_default();
    let timeout = wire.platform.timeout.as_deref();
    let keep = callers.keep_addresses.as_deref();
    let grace = wire.stop.and_then(|stop| stop.grace);
    Ok(GatewaySettings {
        name: InstanceId(at.filled("instance.name", &wire.instance.name)?),
        domain: DomainId(at.filled("instance.domain", &wire.instance.domain)?.into()),
        cores: at.share("instance.cores", wire.instance.cores, DEFAULT_CORES)?,
        link_mbps: at.share("instance.link_mbps", wire.instance.link_mbps, DEFAULT_LINK_MBPS)?,
        listen: listen(&at, &wire.listen)?,
        platform: at.address("platform.address", &wire.platform.address)?,
        platform_timeout: at.span("platform.timeout", timeout, DEFAULT_PLATFORM_TIMEOUT)?,
        retries: retries(&at, &wire.retries.unwrap_or_default())?,
        probes_per_second: at.share(
            "probes.per_second",
            wire.probes.and_then(|probes| probes.per_second),
            DEFAULT_PROBES_PER_SECOND,
        )?,
        keep_addresses: at.span("callers.keep_addresses", keep, DEFAULT_KEEP_ADDRESSES)?,
        caller_connections: callers
            .connections
            .map_or(DEFAULT_CALLER_CONNECTIONS, std::num::NonZeroU32::get)
            as usize,
        grace: at.span("stop.grace", grace.as_deref(), DEFAULT_GRACE)?,
        log_level: log.level.unwrap_or(GatewayLogLevel::Info),
        log_lines: log.lines_per_second.map_or(DEFAULT_LOG_LINES, std::num::NonZeroU32::get),
    })
}

fn listen(at: &Place<'_>, wire: &GatewayListenWire) -> Result<GatewayListen, SettingsError> {
    let callers = at.address("listen.callers", &wire.callers)?;
    let readiness = at.address("listen.readiness", &wire.readiness)?;
    let addresses = at.address("listen.addresses", &wire.addresses)?;
    let peers = at.address("listen.peers", &wire.peers)?;
    at.distinct("listen.readiness", readiness, &[callers])?;
    at.distinct("listen.addresses", addresses, &[callers, readiness])?;
    at.distinct("listen.peers", peers, &[callers, readiness, addresses])?;
    let metrics = wire.metrics.as_deref().map(|text| at.address("listen.metrics", text));
    let seeds = wire
        .seeds
        .iter()
        .map(|text| at.address("listen.seeds", text))
        .map(|seed| seed.map(|seed| SocketAddr::new(seed.ip(), peers.port())))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(GatewayListen { callers, readiness, addresses, peers, metrics: metrics.transpose()?, seeds })
}

fn retries(at: &Place<'_>, wire: &GatewayRetriesWire) -> Result<RetrySettings, SettingsError> {
    let window = wire.window.as_deref();
    Ok(RetrySettings {
        ratio: at.share("retries.ratio", wire.ratio, DEFAULT_RETRY_RATIO)?,
        slack: at.share("retries.slack", wire.slack, DEFAULT_RETRY_SLACK)?,
        window: at.span("retries.window", window, DEFAULT_RETRY_WINDOW)?,
    })
}
