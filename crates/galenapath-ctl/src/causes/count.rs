//! Counts causes by service and by time window.

use super::cause::Cause;
use super::request_end::{CutRequest, RequestEnd};
use crate::trace::LogLine;
use serde::Serialize;
use std::collections::BTreeMap;

/// Event that an instance logs first.
const STARTED: &str = "started";

/// Number of requests of one service with one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CauseCount {
    /// The service.
    pub service: String,
    /// The cause.
    pub cause: Cause,
    /// Number of requests.
    pub count: usize,
    /// Identifier of the first of them, for `galenactl trace`.
    pub first: String,
}

/// Counts of the requests that ended within one time window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowCount {
    /// Start, in seconds since the start of the first window.
    pub from_s: f64,
    /// Requests with a log line. Only some of the successful requests have one.
    pub ended: usize,
    /// Late requests.
    pub late: usize,
    /// Rejected and failed requests.
    pub lost: usize,
    /// Instances that started in the window. Requests at a new instance can arrive after their
    /// target because their callers reached no instance before.
    pub started: usize,
    /// The most frequent cause, if any.
    pub most: Option<Cause>,
}

/// Causes of late, rejected and failed requests in the logs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Causes {
    /// Requests with a log line.
    pub ended: usize,
    /// Log lines that the instances left out to stay within their log line budget.
    pub left_out: u64,
    /// Counts by service, the most frequent cause of each first.
    pub causes: Vec<CauseCount>,
    /// Counts by time window.
    pub windows: Vec<WindowCount>,
}

/// Counts why requests were late, rejected or failed, one line at a time. Its memory use grows with
/// the number of causes and the time that the logs cover, not with the number of lines.
#[derive(Clone, Debug)]
pub struct Counter {
    window_s: f64,
    ended: usize,
    left_out: u64,
    /// Counts by service and cause, with the time of the first request.
    causes: BTreeMap<(String, Cause), (CauseCount, f64)>,
    /// Windows by their index since the epoch.
    windows: BTreeMap<u64, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    started: usize,
    ended: usize,
    late: usize,
    lost: usize,
    causes: BTreeMap<Cause, usize>,
}

impl Counter {
    /// Creates a counter with time windows of `window_s` seconds.
    pub fn new(window_s: f64) -> Self {
        let (causes, windows) = (BTreeMap::new(), BTreeMap::new());
        Self { window_s, ended: 0, left_out: 0, causes, windows }
    }

    /// Counts one log line.
    pub fn record_line(&mut self, line: &LogLine) {
        let left_out = line.rest.get("lines_left_out").and_then(serde_json::Value::as_u64);
        self.left_out += left_out.unwrap_or(0);
        if line.event == STARTED {
            self.window(line.t).started += 1;
        }
        if let Some(cut) = CutRequest::parse(line) {
            self.record_cut(line, &cut);
            return;
        }
        let Some(ended) = RequestEnd::parse(line) else { return };
        self.ended += 1;
        let window = self.window(ended.t);
        window.ended += 1;
        if ended.is_in_target() {
            return;
        }
        let cause = Cause::classify(&ended);
        window.late += usize::from(ended.is_answered());
        window.lost += usize::from(!ended.is_answered());
        *window.causes.entry(cause).or_default() += 1;
        self.count_cause(&ended.fields.service, cause, line);
    }

    fn record_cut(&mut self, line: &LogLine, cut: &CutRequest) {
        self.ended += 1;
        let window = self.window(line.t);
        window.ended += 1;
        window.lost += 1;
        *window.causes.entry(Cause::CutByStop).or_default() += 1;
        self.count_cause(&cut.service, Cause::CutByStop, line);
    }

    fn window(&mut self, t: f64) -> &mut Window {
        self.windows.entry((t / self.window_s) as u64).or_default()
    }

    fn count_cause(&mut self, service: &str, cause: Cause, line: &LogLine) {
        let request = line.request.as_deref().unwrap_or_default();
        let new = || {
            let (service, first) = (service.to_owned(), request.to_owned());
            (CauseCount { service, cause, count: 0, first }, line.t)
        };
        let (count, first_at) = self.causes.entry((service.to_owned(), cause)).or_insert_with(new);
        count.count += 1;
        if line.t < *first_at {
            *first_at = line.t;
            request.clone_into(&mut count.first);
        }
    }

    /// Returns the counts.
    pub fn finish(self) -> Causes {
        let mut causes: Vec<CauseCount> =
            self.causes.into_values().map(|(count, _)| count).collect();
        causes.sort_by(|a, b| a.service.cmp(&b.service).then(b.count.cmp(&a.count)));
        let first = self.windows.keys().next().copied().unwrap_or(0);
        let windows = self.windows.into_iter().map(|(index, window)| {
            let most = window.causes.into_iter().max_by_key(|(_, count)| *count);
            WindowCount {
                from_s: (index - first) as f64 * self.window_s,
                ended: window.ended,
                late: window.late,
                lost: window.lost,
                started: window.started,
                most: most.map(|(cause, _)| cause),
            }
        });
        Causes { ended: self.ended, left_out: self.left_out, causes, windows: windows.collect() }
    }
}

/// Counts why the requests in `lines` were late, rejected or failed, in time windows of `window_s`
/// seconds.
pub fn count_causes(lines: &[LogLine], window_s: f64) -> Causes {
    let mut counter = Counter::new(window_s);
    lines.iter().for_each(|line| counter.record_line(line));
    counter.finish()
}
