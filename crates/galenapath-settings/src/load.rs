//! Reading and validating the settings file of an entry instance.

use crate::entry::{Instance, Limits, Listen, Platform, Settings};
use crate::generated::{LimitsWire, ListenWire, SettingsWire};
use crate::validate::{SettingsText, malformed};
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

/// Reads and validates the settings in `file`.
///
/// # Errors
///
/// The first error found, with file, line and key.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| SettingsError::Unreadable { file: file.to_owned(), reason: e.to_string() })?;
    parse(file, &text)
}

/// Validates settings. `text` is the content of `file`.
///
/// # Errors
///
/// The first error found, with file, line and key.
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let wire: SettingsWire = toml::from_str(text).map_err(|e| malformed(file, text, &e))?;
    let source = SettingsText { file, text };
    let settings = Settings {
        instance: Instance {
            name: InstanceId(source.non_empty("instance.name", &wire.instance.name)?),
            domain: DomainId(source.non_empty("instance.domain", &wire.instance.domain)?.into()),
        },
        listen: listen(&source, &wire.listen)?,
        platform: Platform {
            address: source.address("platform.address", &wire.platform.address)?,
            timeout: source.duration(
                "platform.timeout",
                wire.platform.timeout.as_deref(),
                DEFAULT_PLATFORM_TIMEOUT,
            )?,
        },
        token_file: PathBuf::from(
            source.non_empty("operators.token_file", &wire.operators.token_file)?,
        ),
        limits: limits(&source, &wire.limits.unwrap_or_default())?,
        log_level: wire.log.and_then(|log| log.level).unwrap_or(LogLevel::Info),
        balancing_policy: wire
            .experiment
            .and_then(|e| e.choice)
            .unwrap_or(BalancingPolicy::Galenapath),
    };
    Ok(settings)
}

fn listen(source: &SettingsText<'_>, wire: &ListenWire) -> Result<Listen, SettingsError> {
    let callers = source.address("listen.callers", &wire.callers)?;
    let peers = source.address("listen.peers", &wire.peers)?;
    let operators = source.address("listen.operators", &wire.operators)?;
    source.check_distinct("listen.peers", peers, &[callers])?;
    source.check_distinct("listen.operators", operators, &[callers, peers])?;
    let seeds = wire
        .seeds
        .iter()
        .map(|text| source.address("listen.seeds", text))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Listen { callers, peers, operators, seeds })
}

fn limits(source: &SettingsText<'_>, wire: &LimitsWire) -> Result<Limits, SettingsError> {
    let duration =
        |key, text: &Option<String>, default| source.duration(key, text.as_deref(), default);
    Ok(Limits {
        header_bytes: wire.header_bytes.unwrap_or(DEFAULT_HEADER_BYTES) as usize,
        header_timeout: duration(
            "limits.header_timeout",
            &wire.header_timeout,
            DEFAULT_HEADER_TIMEOUT,
        )?,
        idle_timeout: duration("limits.idle_timeout", &wire.idle_timeout, DEFAULT_IDLE_TIMEOUT)?,
        caller_connections: wire
            .caller_connections
            .map_or(DEFAULT_CALLER_CONNECTIONS, std::num::NonZeroU32::get)
            as usize,
        filing_bytes: wire.filing_bytes.map_or(DEFAULT_FILING_BYTES, std::num::NonZeroU32::get)
            as usize,
        drain_timeout: duration(
            "limits.drain_timeout",
            &wire.drain_timeout,
            DEFAULT_DRAIN_TIMEOUT,
        )?,
    })
}
