//! Finds the log lines that explain the outcome of a request.

use super::log_line::LogLine;
use super::step::Step;
use serde::Serialize;

/// How long before the end of a request other log lines are included, in seconds. Longer than any
/// request lasts.
const LOOKBACK_S: f64 = 10.0;

/// How long after the end of a request other log lines are included, in seconds. An event that an
/// instance logged after the request can explain it as well.
const LOOKAHEAD_S: f64 = 3.0;

/// Prefixes of the events that log a change made by an operator.
const OPERATOR_EVENTS: [&str; 2] = ["configuration", "failure domain"];

/// The log lines about one request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// The log lines of the request itself, one for each instance that processed it.
    pub requests: Vec<LogLine>,
    /// Events about its servers and changes by operators around that time, oldest first.
    #[serde(rename = "beliefs")]
    pub events: Vec<EventGroup>,
}

/// One event as logged by one or more instances.
#[derive(Clone, Debug, Serialize)]
pub struct EventGroup {
    /// The earliest of the log lines.
    pub first: LogLine,
    /// Number of log lines of this event.
    pub instances: usize,
    /// Seconds from the earliest of these lines to the latest.
    pub within: f64,
}

impl EventGroup {
    /// Whether `line` logs the same event. The time and the source of the information may differ.
    fn has_same_content(&self, line: &LogLine) -> bool {
        let without_source = |line: &LogLine| {
            let mut fields = line.rest.clone();
            fields.remove("source");
            fields.remove("told_by");
            fields
        };
        self.first.event == line.event
            && self.first.server == line.server
            && without_source(&self.first) == without_source(line)
    }
}

/// Selects the log lines that are related to a request.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Invariant: not empty.
    requests: Vec<LogLine>,
    /// Servers that the lines of the request name.
    servers: Vec<String>,
    /// Start of the time range of related lines, in seconds since the epoch.
    from_s: f64,
    /// End of the time range.
    to_s: f64,
}

impl Search {
    /// Creates a search from the log lines of a request. Returns `None` if there are no such lines.
    pub(super) fn new(requests: Vec<LogLine>) -> Option<Self> {
        let first = requests.first()?.t;
        let last = requests.iter().map(|line| line.t).fold(first, f64::max);
        let servers = servers(&requests);
        Some(Self { requests, servers, from_s: first - LOOKBACK_S, to_s: last + LOOKAHEAD_S })
    }

    /// Whether a line from the time of the request is about one of its servers or a change by an
    /// operator.
    pub(super) fn is_related(&self, line: &LogLine) -> bool {
        let is_server = line.server.as_ref().is_some_and(|server| self.servers.contains(server));
        let is_other_event = line.request.is_none();
        let is_operator = OPERATOR_EVENTS.iter().any(|start| line.event.starts_with(start));
        let is_in_range = line.t >= self.from_s && line.t <= self.to_s;
        is_other_event && is_in_range && (is_server || is_operator)
    }

    /// Combines the lines of the request with the related lines.
    pub(super) fn into_trace(self, mut events: Vec<LogLine>) -> Trace {
        events.sort_by(|a, b| a.t.total_cmp(&b.t));
        Trace { requests: self.requests, events: group_events(events) }
    }
}

/// Finds the lines about the request `id` and those related to it. Returns `None` if the request
/// has no line.
pub fn trace(lines: &[LogLine], id: &str) -> Option<Trace> {
    let is_own = |line: &&LogLine| line.request.as_deref() == Some(id);
    let search = Search::new(lines.iter().filter(is_own).cloned().collect())?;
    let events = lines.iter().filter(|line| search.is_related(line)).cloned().collect();
    Some(search.into_trace(events))
}

/// Groups lines of different instances that log the same event.
fn group_events(lines: Vec<LogLine>) -> Vec<EventGroup> {
    let mut groups: Vec<EventGroup> = Vec::new();
    for line in lines {
        match groups.iter_mut().find(|group| group.has_same_content(&line)) {
            Some(group) => {
                group.instances += 1;
                group.within = line.t - group.first.t;
            }
            None => groups.push(EventGroup { first: line, instances: 1, within: 0.0 }),
        }
    }
    groups
}

fn servers(requests: &[LogLine]) -> Vec<String> {
    let named = requests.iter().filter_map(|line| line.server.clone());
    let steps = requests.iter().filter_map(|line| line.steps.as_deref());
    let steps = steps.flat_map(Step::parse_all);
    named.chain(steps.filter_map(|step| step.server().map(str::to_owned))).collect()
}
