//! The command `galenactl trace`.

use super::find::{EventGroup, Search, Trace};
use super::log_line::LogLine;
use super::step::Step;
use crate::output::{self, Table};
use crate::{CtlError, OutputFormat, logs};
use std::path::PathBuf;

/// Reads log files and prints the lines about a request. The files are read twice, so that only the
/// lines that belong to the request are held in memory.
pub(crate) fn run(format: OutputFormat, id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    let mut requests = Vec::new();
    logs::for_each_line(files, |line| {
        if line.request.as_deref() == Some(id) {
            requests.push(line);
        }
    })?;
    let search =
        Search::new(requests).ok_or_else(|| CtlError::RequestNotLogged { id: id.to_owned() })?;
    let mut events = Vec::new();
    logs::for_each_line(files, |line| {
        if search.is_related(&line) {
            events.push(line);
        }
    })?;
    output::print(format, &search.into_trace(events), table)
}

fn table(trace: &Trace) -> Table {
    let mut table = Table::new(&["time", "what", "details"]);
    for line in &trace.requests {
        let row = |what: String, details| vec![format!("{:.3}", line.t), what, details];
        table.push_row(row(line.event.clone(), details(line).join(" ")));
        for step in Step::parse_all(line.steps.as_deref().unwrap_or_default()) {
            table.push_row(row(String::new(), step.to_string()));
        }
    }
    for EventGroup { first: line, instances, within } in &trace.events {
        let mut details = details(line);
        if *instances > 1 {
            details.push(format!("({instances} lines within {within:.3} s)"));
        }
        table.push_row(vec![format!("{:.3}", line.t), line.event.clone(), details.join(" ")]);
    }
    table
}

/// The fields of a line, its server first.
fn details(line: &LogLine) -> Vec<String> {
    let server = line.server.iter().map(|server| format!("server={server}"));
    server.chain(line.fields()).collect()
}
