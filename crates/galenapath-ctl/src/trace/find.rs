//! Finding the lines that explain a request.

use super::line::LogLine;
use super::step::Step;
use serde::Serialize;

/// Seconds before the end of a request from which on what an instance believed is shown: longer than
/// any request lasts.
const BEFORE: f64 = 10.0;

/// Seconds after it: what an instance learns late explains the request as well.
const AFTER: f64 = 3.0;

/// Starts of the events that tell of a change by the operator.
const OPERATOR_EVENTS: [&str; 2] = ["configuration", "failure domain"];

/// What the logs tell of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// The request's own lines, one for each instance that saw it.
    pub requests: Vec<LogLine>,
    /// What was believed of its servers around that time, and what the operator changed.
    pub beliefs: Vec<Belief>,
}

/// What instances came to believe.
#[derive(Clone, Debug, Serialize)]
pub struct Belief {
    /// The line of the first instance.
    pub first: LogLine,
    /// Instances that have such a line.
    pub instances: usize,
    /// Seconds from the first of these lines to the last.
    pub within: f64,
}

impl Belief {
    /// Whether `line` says the same; when and from whom it was learned may differ.
    fn is_told_by(&self, line: &LogLine) -> bool {
        let without_source = |line: &LogLine| {
            let mut rest = line.rest.clone();
            rest.remove("source");
            rest.remove("told_by");
            rest
        };
        self.first.event == line.event
            && self.first.server == line.server
            && without_source(&self.first) == without_source(line)
    }
}

/// A search for what explains a request.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Invariant: not empty.
    requests: Vec<LogLine>,
    /// Servers that it was sent to.
    servers: Vec<String>,
    /// First and last moment of the lines that explain it.
    from: f64,
    to: f64,
}

impl Search {
    /// A search for what explains the request that `requests` tell of; `None` where there are none.
    pub(super) fn new(requests: Vec<LogLine>) -> Option<Self> {
        let first = requests.first()?.t;
        let last = requests.iter().map(|line| line.t).fold(first, f64::max);
        let servers = servers(&requests);
        Some(Self { requests, servers, from: first - BEFORE, to: last + AFTER })
    }

    /// Whether a line tells of the request's servers, or of what the operator wanted at its time.
    pub(super) fn explains(&self, line: &LogLine) -> bool {
        let is_server = line.server.as_ref().is_some_and(|server| self.servers.contains(server));
        let is_belief = line.request.is_none();
        let is_operator = OPERATOR_EVENTS.iter().any(|start| line.event.starts_with(start));
        let is_then = line.t >= self.from && line.t <= self.to;
        is_belief && is_then && (is_server || is_operator)
    }

    /// What was found, with the lines that explain it.
    pub(super) fn found(self, mut beliefs: Vec<LogLine>) -> Trace {
        beliefs.sort_by(|a, b| a.t.total_cmp(&b.t));
        Trace { requests: self.requests, beliefs: joined(beliefs) }
    }
}

/// Finds what `lines` tell of the request `id`; `None` where it has no line.
pub fn trace(lines: &[LogLine], id: &str) -> Option<Trace> {
    let is_own = |line: &&LogLine| line.request.as_deref() == Some(id);
    let search = Search::new(lines.iter().filter(is_own).cloned().collect())?;
    let beliefs = lines.iter().filter(|line| search.explains(line)).cloned().collect();
    Some(search.found(beliefs))
}

/// One belief for all instances that came to the same.
fn joined(lines: Vec<LogLine>) -> Vec<Belief> {
    let mut beliefs: Vec<Belief> = Vec::new();
    for line in lines {
        match beliefs.iter_mut().find(|belief| belief.is_told_by(&line)) {
            Some(belief) => {
                belief.instances += 1;
                belief.within = line.t - belief.first.t;
            }
            None => beliefs.push(Belief { first: line, instances: 1, within: 0.0 }),
        }
    }
    beliefs
}

fn servers(requests: &[LogLine]) -> Vec<String> {
    let steps = requests.iter().filter_map(|line| line.steps.as_deref());
    let steps = steps.flat_map(Step::parse_all);
    steps.filter_map(|step| step.server().map(str::to_owned)).collect()
}
