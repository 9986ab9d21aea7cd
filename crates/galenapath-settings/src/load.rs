//! Reading and checking a settings file.

use crate::checked::{Instance, Limits, Listen, Platform, Settings};
use crate::generated::{LimitsWire, ListenWire, SettingsWire};
use crate::{Choice, LogLevel, SettingsError};
use galenapath_protocol::{DomainId, InstanceId};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest duration that a setting may have; the runtime's timers end not far beyond it.
const LONGEST_SPAN: Duration = Duration::from_secs(24 * 3_600);

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
            domain: DomainId(at.filled("instance.domain", &wire.instance.domain)?),
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
        choice: wire.experiment.and_then(|e| e.choice).unwrap_or(Choice::Galenapath),
    };
    Ok(settings)
}

fn malformed(file: &Path, text: &str, e: &toml::de::Error) -> SettingsError {
    let start = e.span().map_or(0, |span| span.start);
    SettingsError::Malformed {
        file: file.to_owned(),
        line: line_of(text, start),
        message: e.message().to_owned(),
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|&b| b == b'\n').count() + 1
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

/// The file under check, for errors that name a line.
struct Place<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Place<'_> {
    fn bad(&self, key: &'static str, value: &str, hint: impl Into<String>) -> SettingsError {
        SettingsError::BadValue {
            file: self.file.to_owned(),
            line: self.line(key),
            key,
            value: value.to_owned(),
            hint: hint.into(),
        }
    }

    /// Line of a dotted key, or 1 when the file does not hold it.
    fn line(&self, key: &str) -> usize {
        let Ok(doc) = toml_edit::Document::parse(self.text) else { return 1 };
        let mut item = doc.as_item();
        for part in key.split('.') {
            let Some(next) = item.get(part) else { return 1 };
            item = next;
        }
        line_of(self.text, item.span().map_or(0, |span| span.start))
    }

    fn filled(&self, key: &'static str, value: &str) -> Result<String, SettingsError> {
        if value.trim().is_empty() {
            return Err(self.bad(key, value, "must not be empty"));
        }
        Ok(value.to_owned())
    }

    fn address(&self, key: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
        value.parse().map_err(|_| self.bad(key, value, "expected IP:PORT, such as 10.0.0.7:8080"))
    }

    fn distinct(
        &self,
        key: &'static str,
        address: SocketAddr,
        others: &[SocketAddr],
    ) -> Result<(), SettingsError> {
        // Port 0 lets the system choose, so two of them do not collide.
        if address.port() != 0 && others.contains(&address) {
            return Err(self.bad(key, &address.to_string(), "is used by another key of [listen]"));
        }
        Ok(())
    }

    fn span(
        &self,
        key: &'static str,
        value: Option<&str>,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        let Some(value) = value else { return Ok(default) };
        match humantime::parse_duration(value) {
            Ok(span) if span.is_zero() => Err(self.bad(key, value, "must be longer than zero")),
            Ok(span) if span > LONGEST_SPAN => Err(self.bad(key, value, "must be a day at most")),
            Ok(span) => Ok(span),
            Err(_) => {
                Err(self.bad(key, value, "expected a number and a unit, such as 250ms or 5s"))
            }
        }
    }
}
