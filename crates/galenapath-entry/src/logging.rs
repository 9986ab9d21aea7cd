//! Logging to standard error, one line per record, with its fields.

use crate::EntryError;
use error_stack::{Report, ResultExt};
use fern::{Dispatch, FormatCallback};
use galenapath_settings::LogLevel;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::fmt::{Arguments, Write};

/// Writes log records of `level` and more severe ones to standard error.
///
/// # Errors
///
/// If the process already has a logger.
pub fn start(level: LogLevel) -> Result<(), Report<EntryError>> {
    Dispatch::new()
        .format(format_line)
        .level(to_filter(level))
        .level_for("tarpc", LevelFilter::Error)
        .chain(std::io::stderr())
        .apply()
        .change_context(EntryError::Start("the log"))
}

const fn to_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn format_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut fields = Fields(String::new());
    let _ = record.key_values().visit(&mut fields);
    let at = humantime::format_rfc3339_millis(std::time::SystemTime::now());
    out.finish(format_args!("{at} {} {message}{}", record.level(), fields.0));
}

/// The fields of a log record, formatted as ` key=value` pairs.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}
