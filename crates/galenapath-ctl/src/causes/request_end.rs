//! The end of one request, parsed from its log line.

use crate::trace::{LogLine, Step};
use serde::Deserialize;
use serde_json::Value;

/// Event of the log line that ends a request.
const REQUEST_ENDED: &str = "request ended";

/// Event of the log line about a request that was open when its instance ended.
const REQUEST_CUT: &str = "request cut by the end of the process";

/// Phase of such a request whose answer the kernel has taken. It has a line about its end as well.
const DELIVERING: &str = "delivering";

/// Slowdown (`pace`) from which a server counts as slow; 100 is its usual speed.
const SLOW_PERCENT: u64 = 150;

/// Fields of the log line other than the steps.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(super) struct RequestEndFields {
    pub(super) service: String,
    pub(super) status: u16,
    pub(super) outcome: String,
    /// Time that the request spent at the instance.
    pub(super) took_ms: u64,
    /// Part of that time spent waiting for a server.
    pub(super) waited_ms: u64,
    /// Time from its arrival to its target; zero if the target had already passed.
    pub(super) target_ms: u64,
}

/// The last known load of a server when a request was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownLoad {
    pub(super) load: u64,
    pub(super) slots: u64,
    pub(super) pace: u64,
}

impl KnownLoad {
    /// Parses the detail of a step such as `load2/3:pace100:known3ms`.
    fn parse(detail: &str) -> Option<Self> {
        let mut parts = detail.split(':');
        let (load, slots) = parts.next()?.strip_prefix("load")?.split_once('/')?;
        let pace = parts.next()?.strip_prefix("pace")?;
        Some(Self {
            load: load.parse().ok()?,
            slots: slots.parse().ok()?,
            pace: pace.parse().ok()?,
        })
    }

    pub(super) fn is_slow(self) -> bool {
        self.pace >= SLOW_PERCENT
    }

    /// Whether the request occupied the last slot or had to wait at the server.
    pub(super) fn is_last_slot(self) -> bool {
        self.load + 1 >= self.slots
    }
}

/// The end of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestEnd {
    /// Seconds since the epoch.
    pub t: f64,
    pub(super) fields: RequestEndFields,
    pub(super) steps: Vec<Step>,
}

impl RequestEnd {
    /// Parses a log line. Returns `None` if it is about another event or lacks a required field.
    pub fn parse(line: &LogLine) -> Option<Self> {
        if line.event != REQUEST_ENDED {
            return None;
        }
        let fields = serde_json::from_value(Value::Object(line.rest.clone())).ok()?;
        let steps = Step::parse_all(line.steps.as_deref().unwrap_or_default());
        Some(Self { t: line.t, fields, steps })
    }

    /// Whether it was answered within its target.
    pub fn is_in_target(&self) -> bool {
        self.is_answered() && self.fields.took_ms <= self.fields.target_ms
    }

    pub(super) fn is_answered(&self) -> bool {
        (200..300).contains(&self.fields.status)
    }

    /// Whether its target had passed when it arrived.
    pub(super) fn arrived_late(&self) -> bool {
        self.fields.target_ms == 0
    }

    /// Number of steps with this name.
    pub(super) fn count_steps(&self, name: &str) -> usize {
        let has_name = |step: &&Step| match step {
            Step::AtServer { event, .. } => event == name,
            Step::Other(word) => word == name,
            Step::Rejected { .. } => false,
        };
        self.steps.iter().filter(has_name).count()
    }

    /// Milliseconds spent on servers that the request was then not sent to.
    pub(super) fn passed_over_ms(&self) -> u64 {
        let time = |step: &Step| match step {
            Step::AtServer { event, detail, .. } if event == "unfit" || event == "not_asked" => {
                detail.trim_end_matches("ms").parse::<u64>().ok()
            }
            _ => None,
        };
        self.steps.iter().filter_map(time).sum::<u64>()
    }

    /// The load of the server of the last send, as known at that time.
    pub(super) fn load_at_last_send(&self) -> Option<KnownLoad> {
        self.steps.iter().rev().find_map(|step| match step {
            Step::AtServer { event, detail, .. } if event == "sent" => KnownLoad::parse(detail),
            _ => None,
        })
    }
}

/// A request that had no answer when its instance ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub(super) struct CutRequest {
    /// Its service; `-` if none had been selected.
    pub(super) service: String,
    phase: String,
}

impl CutRequest {
    /// Parses a log line. Returns `None` if it is about another event.
    pub(super) fn parse(line: &LogLine) -> Option<Self> {
        if line.event != REQUEST_CUT {
            return None;
        }
        let cut: Self = serde_json::from_value(Value::Object(line.rest.clone())).ok()?;
        (cut.phase != DELIVERING).then_some(cut)
    }
}
