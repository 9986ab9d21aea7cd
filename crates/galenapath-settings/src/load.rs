//! Reading and checking a settings file.

use crate::at::{Place, malformed};
use crate::checked::{Instance, Limits, Listen, Platform, Settings};
use crate::generated::{LimitsWire, ListenWire, SettingsWire};
use crate::{BalancingPolicy, LogLevel, SettingsError};
use galenapath_protocol::{DomainId, InstanceId};
use std::path::{Path, PathBuf};
use std::time::Duration;

const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_HEADER_BYTES: u32 = 16 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_CALLER_CONNECTIONS: u32 = 12_000;
const DEFAULT_FILING_BYTES: u32 = 1024 * 1024;
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// The first fault found, with file, line and key.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| SettingsError::Unreadable { file: file.to_owned(), reason: e.to_string() })?;
    parse(file, &text)
}

/// Checks settings whose text has been read from `file`.
///
/// # Errors
///
/// The first fault found, with file, line and key.
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let wire: SettingsWire = toml::from_str(text).map_err(|e| malformed(file, text, &e))?;
    let at = Place { file, text };
    let settings = Settings {
        instance: Instance {
            name: InstanceId(at.filled("instance.name", &wire.instance.name)?),
            domain: DomainId(at.filled("instance.domain", &wire.instance.domain)?.into()),
        },
        listen: listen(&at, &wire.listen)?,
        platform: Platform {
            address: at.address("platform.address", &wire.platform.address)?,
            timeout: at.span(
                "platform.timeout",
                wire.platform.timeout.as_deref(),
                DEFAULT_PLATFORM_TIMEOUT,
            )?,
        },
        token_file: PathBuf::from(at.filled("operators.token_file", &wire.operators.token_file)?),
        limits: limits(&at, &wire.limits.unwrap_or_default())?,
        log_level: wire.log.and_then(|log| log.level).unwrap_or(LogLevel::Info),
        balancing_policy: wire
            .experiment
            .and_then(|e| e.choice)
            .unwrap_or(BalancingPolicy::Galenapath),
    };
    Ok(settings)
}

fn listen(at: &Place<'_>, wire: &ListenWire) -> Result<Listen, SettingsError> {
    let callers = at.address("listen.callers", &wire.callers)?;
    let peers = at.address("listen.peers", &wire.peers)?;
    let operators = at.address("listen.operators", &wire.operators)?;
    at.distinct("listen.peers", peers, &[callers])?;
    at.distinct("listen.operators", operators, &[callers, peers])?;
    let seeds = wire
        .seeds
        .iter()
        .map(|text| at.address("listen.seeds", text))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Listen { callers, peers, operators, seeds })
}

fn limits(at: &Place<'_>, wire: &LimitsWire) -> Result<Limits, SettingsError> {
    let span = |key, text: &Option<String>, default| at.span(key, text.as_deref(), default);
    Ok(Limits {
        header_bytes: wire.header_bytes.unwrap_or(DEFAULT_HEADER_BYTES) as usize,
        header_timeout: span(
            "limits.header_timeout",
            &wire.header_timeout,
            DEFAULT_HEADER_TIMEOUT,
        )?,
        idle_timeout: span("limits.idle_timeout", &wire.idle_timeout, DEFAULT_IDLE_TIMEOUT)?,
        caller_connections: wire
            .caller_connections
            .map_or(DEFAULT_CALLER_CONNECTIONS, std::num::NonZeroU32::get)
            as usize,
        filing_bytes: wire.filing_bytes.map_or(DEFAULT_FILING_BYTES, std::num::NonZeroU32::get)
            as usize,
        drain_timeout: span("limits.drain_timeout", &wire.drain_timeout, DEFAULT_DRAIN_TIMEOUT)?,
    })
}
