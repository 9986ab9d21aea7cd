//! Log lines of gateway instances.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One log line. Every line has the first two fields; the others depend on the event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogLine {
    /// Seconds since the epoch, by the wall clock of the instance.
    pub t: f64,
    /// What happened.
    pub event: String,
    /// Identifier of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Identity of the backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// Processing steps of the request in order: [`Step`](super::Step)s separated by spaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not a log line of an instance.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text.trim()).ok()
    }

    /// Formats the fields in `rest` other than the log level as `name=value`.
    pub fn fields(&self) -> Vec<String> {
        let shown = self.rest.iter().filter(|(name, _)| name.as_str() != "level");
        shown
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect()
    }
}
