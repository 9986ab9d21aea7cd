//! Logging to standard output, one JSON object per line.
//!
//! Writing never blocks. Output that a slow reader has not read is buffered up to a limit; further
//! lines are dropped, and the next line that fits reports how many.

use crate::GatewayError;
use error_stack::{Report, ResultExt};
use fern::Dispatch;
use galenapath_settings::GatewayLogLevel;
use http::HeaderValue;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of buffered bytes for a stalled reader: some hundred lines.
const MAX_PENDING_BYTES: usize = 32 * 1024;

/// The identifier of a request as log lines state it.
pub(crate) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Starts logging to standard output at `level` and above.
///
/// # Errors
///
/// If the process already has a logger or standard output cannot be made non-blocking.
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

/// Bytes that standard output has not accepted yet.
#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Lines dropped since the last line that was buffered.
    dropped: u64,
}

impl Log for JsonLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let Ok(mut pending) = self.pending.lock() else { return };
        pending.flush();
        if pending.bytes.len() > MAX_PENDING_BYTES {
            pending.dropped += 1;
            return;
        }
        let dropped = std::mem::take(&mut pending.dropped);
        pending.bytes.extend_from_slice(line(record, dropped).as_bytes());
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
                // A full pipe accepts more later; a closed pipe has no reader to report the error
                // to.
                _ => return,
            }
        }
    }
}

fn line(record: &Record<'_>, dropped: u64) -> String {
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
    if dropped > 0 {
        let _ = write!(line, r#","lines_left_out":{dropped}"#);
    }
    line.push_str("}\n");
    line
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Writes the fields of an event as JSON members.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = quoted(key.as_str());
        let number = value.to_f64().filter(|n| n.is_finite());
        let text = match (value.to_bool(), value.to_u64(), number) {
            (Some(flag), _, _) => flag.to_string(),
            (_, Some(integer), _) => integer.to_string(),
            (_, _, Some(number)) => number.to_string(),
            _ => quoted(&value.to_string()),
        };
        write!(self.0, ",{key}:{text}").map_err(Error::from)
    }
}
