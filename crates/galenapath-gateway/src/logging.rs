//! The log: one JSON object a line on standard output.
//!
//! Writing never blocks: what a slow reader does not take is kept up to a limit and then left out,
//! and the number of lines left out is told with the next line that fits.

use crate::GatewayError;
use error_stack::{Report, ResultExt};
use fern::Dispatch;
use galenapath_settings::GatewayLogLevel;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Bytes kept for a reader that does not read: some hundred lines.
const MOST_KEPT: usize = 32 * 1024;

/// Sends the log to standard output from `level` up.
///
/// # Errors
///
/// When the process has a logger already or standard output cannot be set up.
pub fn start_logging(level: GatewayLogLevel) -> Result<(), Report<GatewayError>> {
    const WHAT: GatewayError = GatewayError::Start("the log");
    let out = std::io::stdout();
    let flags = fcntl_getfl(&out).change_context(WHAT)?;
    fcntl_setfl(&out, flags | OFlags::NONBLOCK).change_context(WHAT)?;
    let output: Box<dyn Log> = Box::new(JsonLines::default());
    Dispatch::new().level(filter(level)).chain(output).apply().change_context(WHAT)
}

const fn filter(level: GatewayLogLevel) -> LevelFilter {
    match level {
        GatewayLogLevel::Error => LevelFilter::Error,
        GatewayLogLevel::Warn => LevelFilter::Warn,
        GatewayLogLevel::Info => LevelFilter::Info,
        GatewayLogLevel::Debug => LevelFilter::Debug,
    }
}

#[derive(Default)]
struct JsonLines {
    pending: Mutex<Pending>,
}

/// Bytes that standard output has not taken yet.
#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Lines left out since the last line that was kept.
    left_out: u64,
}

impl Log for JsonLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let Ok(mut pending) = self.pending.lock() else { return };
        pending.flush();
        if pending.bytes.len() > MOST_KEPT {
            pending.left_out += 1;
            return;
        }
        let left_out = std::mem::take(&mut pending.left_out);
        pending.bytes.extend_from_slice(line(record, left_out).as_bytes());
        pending.flush();
    }

    fn flush(&self) {
        if let Ok(mut pending) = self.pending.lock() {
            pending.flush();
        }
    }
}

impl Pending {
    fn flush(&mut self) {
        while !self.bytes.is_empty() {
            match rustix::io::write(std::io::stdout(), &self.bytes) {
                Ok(n) if n > 0 => drop(self.bytes.drain(..n)),
                // A full pipe takes more later; a closed one has no reader to tell.
                _ => return,
            }
        }
    }
}

fn line(record: &Record<'_>, left_out: u64) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = String::with_capacity(192);
    let _ = write!(
        line,
        r#"{{"t":{}.{:03},"level":"{}","event":{}"#,
        since.as_secs(),
        since.subsec_millis(),
        record.level(),
        quoted(&record.args().to_string())
    );
    let _ = record.key_values().visit(&mut Fields(&mut line));
    if left_out > 0 {
        let _ = write!(line, r#","lines_left_out":{left_out}"#);
    }
    line.push_str("}\n");
    line
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Fields of an event as JSON members.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = quoted(key.as_str());
        let number = value.to_f64().filter(|n| n.is_finite());
        let text = match (value.to_bool(), value.to_u64(), number) {
            (Some(truth), _, _) => truth.to_string(),
            (_, Some(whole), _) => whole.to_string(),
            (_, _, Some(number)) => number.to_string(),
            _ => quoted(&value.to_string()),
        };
        write!(self.0, ",{key}:{text}").map_err(Error::from)
    }
}
