//! Validation of single values, with errors that name file, line and key.

use crate::SettingsError;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Maximum duration in a setting. The runtime's timers do not support durations much longer than
/// this.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3_600);

/// Returns the error for a file that is not TOML or does not match the settings' schema.
pub(crate) fn malformed(file: &Path, text: &str, e: &toml::de::Error) -> SettingsError {
    let start = e.span().map_or(0, |span| span.start);
    SettingsError::Malformed {
        file: file.to_owned(),
        line: line_number(text, start),
        message: e.message().to_owned(),
    }
}

fn line_number(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|&b| b == b'\n').count() + 1
}

/// The settings file that is validated; errors refer to its lines.
pub(crate) struct SettingsText<'a> {
    pub(crate) file: &'a Path,
    pub(crate) text: &'a str,
}

impl SettingsText<'_> {
    pub(crate) fn bad_value(
        &self,
        key: &'static str,
        value: &str,
        hint: impl Into<String>,
    ) -> SettingsError {
        SettingsError::BadValue {
            file: self.file.to_owned(),
            line: self.line(key),
            key,
            value: value.to_owned(),
            hint: hint.into(),
        }
    }

    /// Returns the line of a dotted key, or 1 if the file does not contain the key.
    fn line(&self, key: &str) -> usize {
        let Ok(doc) = toml_edit::Document::parse(self.text) else { return 1 };
        let mut item = doc.as_item();
        for part in key.split('.') {
            let Some(next) = item.get(part) else { return 1 };
            item = next;
        }
        line_number(self.text, item.span().map_or(0, |span| span.start))
    }

    pub(crate) fn non_empty(
        &self,
        key: &'static str,
        value: &str,
    ) -> Result<String, SettingsError> {
        if value.trim().is_empty() {
            return Err(self.bad_value(key, value, "must not be empty"));
        }
        Ok(value.to_owned())
    }

    pub(crate) fn address(
        &self,
        key: &'static str,
        value: &str,
    ) -> Result<SocketAddr, SettingsError> {
        value
            .parse()
            .map_err(|_| self.bad_value(key, value, "expected IP:PORT, such as 10.0.0.7:8080"))
    }

    pub(crate) fn check_distinct(
        &self,
        key: &'static str,
        address: SocketAddr,
        others: &[SocketAddr],
    ) -> Result<(), SettingsError> {
        // With port 0 the operating system chooses a free port, so two of them are not equal.
        if address.port() != 0 && others.contains(&address) {
            return Err(self.bad_value(
                key,
                &address.to_string(),
                "is used by another key of [listen]",
            ));
        }
        Ok(())
    }

    pub(crate) fn duration(
        &self,
        key: &'static str,
        value: Option<&str>,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        let Some(value) = value else { return Ok(default) };
        match humantime::parse_duration(value) {
            Ok(span) if span.is_zero() => {
                Err(self.bad_value(key, value, "must be longer than zero"))
            }
            Ok(span) if span > MAX_DURATION => {
                Err(self.bad_value(key, value, "must be a day at most"))
            }
            Ok(span) => Ok(span),
            Err(_) => {
                Err(self.bad_value(key, value, "expected a number and a unit, such as 250ms or 5s"))
            }
        }
    }

    pub(crate) fn non_negative(
        &self,
        key: &'static str,
        value: Option<f64>,
        default: f64,
    ) -> Result<f64, SettingsError> {
        match value {
            None => Ok(default),
            Some(value) if value >= 0.0 && value.is_finite() => Ok(value),
            Some(value) => Err(self.bad_value(key, &value.to_string(), "must not be negative")),
        }
    }
}
