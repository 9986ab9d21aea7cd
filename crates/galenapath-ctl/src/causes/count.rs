//! Counting causes by service and by time.

use super::cause::Cause;
use super::ended::Ended;
use crate::trace::LogLine;
use serde::Serialize;
use std::collections::BTreeMap;

/// Requests of one service under one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CauseCount {
    /// The service.
    pub service: String,
    /// The cause.
    pub cause: Cause,
    /// Requests.
    pub count: usize,
    /// Identifier of the first of them, for `galenactl trace`.
    pub first: String,
}

/// Requests that ended within one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowCount {
    /// Start, in seconds since the first line.
    pub from_s: f64,
    /// Requests with a line. Of those that went well only a part has one.
    pub ended: usize,
    /// Late ones.
    pub late: usize,
    /// Refused and failed ones.
    pub lost: usize,
    /// The most frequent cause, where there is one.
    pub most: Option<Cause>,
}

/// What the logs tell.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Causes {
    /// Requests with a line.
    pub ended: usize,
    /// Lines that the instances left out to stay within their budget.
    pub left_out: u64,
    /// By service, the most frequent first.
    pub causes: Vec<CauseCount>,
    /// By time.
    pub windows: Vec<WindowCount>,
}

/// Counts why the requests in `lines` were late, refused or failed, by windows of `window_s` seconds.
pub fn causes(lines: &[LogLine], window_s: f64) -> Causes {
    let ended: Vec<(&LogLine, Ended)> =
        lines.iter().filter_map(|line| Some((line, Ended::read(line)?))).collect();
    let left_out = lines.iter().filter_map(|line| line.rest.get("lines_left_out")?.as_u64()).sum();
    Causes {
        ended: ended.len(),
        left_out,
        causes: by_service(&ended),
        windows: by_window(&ended, window_s),
    }
}

fn by_service(all: &[(&LogLine, Ended)]) -> Vec<CauseCount> {
    let mut counts: BTreeMap<(&str, Cause), CauseCount> = BTreeMap::new();
    for (line, ended) in all.iter().filter(|(_, ended)| !ended.is_good()) {
        let cause = Cause::of(ended);
        let service = ended.fields.service.as_str();
        let count = counts.entry((service, cause)).or_insert_with(|| CauseCount {
            service: service.to_owned(),
            cause,
            count: 0,
            first: line.request.clone().unwrap_or_default(),
        });
        count.count += 1;
    }
    let mut counts: Vec<CauseCount> = counts.into_values().collect();
    counts.sort_by(|a, b| a.service.cmp(&b.service).then(b.count.cmp(&a.count)));
    counts
}

fn by_window(all: &[(&LogLine, Ended)], window_s: f64) -> Vec<WindowCount> {
    let start = all.iter().map(|(_, ended)| ended.t).fold(f64::INFINITY, f64::min);
    let mut windows: BTreeMap<u64, Vec<&Ended>> = BTreeMap::new();
    for (_, ended) in all {
        windows.entry(((ended.t - start) / window_s) as u64).or_default().push(ended);
    }
    let windows = windows.into_iter();
    windows.map(|(index, ended)| window(index as f64 * window_s, &ended)).collect()
}

fn window(from_s: f64, all: &[&Ended]) -> WindowCount {
    let bad: Vec<&&Ended> = all.iter().filter(|ended| !ended.is_good()).collect();
    let late = bad.iter().filter(|ended| ended.is_answered()).count();
    let mut counts: BTreeMap<Cause, usize> = BTreeMap::new();
    bad.iter().for_each(|ended| *counts.entry(Cause::of(ended)).or_default() += 1);
    let most = counts.into_iter().max_by_key(|(_, count)| *count).map(|(cause, _)| cause);
    WindowCount { from_s, ended: all.len(), late, lost: bad.len() - late, most }
}
