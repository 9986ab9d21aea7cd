//! The end of one request, as its log line tells it.

use crate::trace::{LogLine, Step};
use serde::Deserialize;
use serde_json::Value;

/// Event of the lines that are counted.
const EVENT: &str = "request ended";

/// Pace in percent from which a server works clearly slower than usual.
const SLOW_PACE: u64 = 150;

/// What the line says beside its steps.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(super) struct Fields {
    pub(super) service: String,
    pub(super) status: u16,
    pub(super) outcome: String,
    /// Time at the instance.
    pub(super) took_ms: u64,
    /// Part of it that was spent waiting for a server.
    pub(super) waited_ms: u64,
    /// Time from its arrival within which an answer was worth most; zero where that had passed.
    pub(super) target_ms: u64,
}

/// A server as it was known when the request was sent there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) load: u64,
    pub(super) slots: u64,
    pub(super) pace: u64,
}

impl Known {
    /// Reads the detail of a step such as `load2/3:pace100:known3ms`.
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
        self.pace >= SLOW_PACE
    }

    /// Whether the request took the last slot or waited at the server.
    pub(super) fn is_last_slot(self) -> bool {
        self.load + 1 >= self.slots
    }
}

/// The end of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Seconds since the epoch.
    pub t: f64,
    pub(super) fields: Fields,
    pub(super) steps: Vec<Step>,
}

impl Ended {
    /// Reads a line; `None` for one of another event or without the fields that it takes.
    pub fn read(line: &LogLine) -> Option<Self> {
        if line.event != EVENT {
            return None;
        }
        let fields = serde_json::from_value(Value::Object(line.rest.clone())).ok()?;
        let steps = Step::parse_all(line.steps.as_deref().unwrap_or_default());
        Some(Self { t: line.t, fields, steps })
    }

    /// Whether it was answered within its target.
    pub fn is_good(&self) -> bool {
        self.is_answered() && self.fields.took_ms <= self.fields.target_ms
    }

    pub(super) fn is_answered(&self) -> bool {
        (200..300).contains(&self.fields.status)
    }

    /// Whether its target had passed when it came.
    pub(super) fn came_late(&self) -> bool {
        self.fields.target_ms == 0
    }

    /// How often a step of that name stands in it.
    pub(super) fn count(&self, name: &str) -> usize {
        let is = |step: &&Step| match step {
            Step::AtServer { what, .. } => what == name,
            Step::Word(word) => word == name,
            Step::Refused { .. } => false,
        };
        self.steps.iter().filter(is).count()
    }

    /// Milliseconds that passed at servers which it then was not sent to.
    pub(super) fn passed_over_ms(&self) -> u64 {
        let time = |step: &Step| match step {
            Step::AtServer { what, detail, .. } if what == "unfit" || what == "not_asked" => {
                detail.trim_end_matches("ms").parse::<u64>().ok()
            }
            _ => None,
        };
        self.steps.iter().filter_map(time).sum::<u64>()
    }

    /// The server of the last send, as it was known then.
    pub(super) fn known(&self) -> Option<Known> {
        self.steps.iter().rev().find_map(|step| match step {
            Step::AtServer { what, detail, .. } if what == "sent" => Known::parse(detail),
            _ => None,
        })
    }
}
