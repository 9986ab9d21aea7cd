//! The command `trace`.

use super::find::{Belief, Search, Trace};
use super::step::Step;
use crate::output::{self, Table};
use crate::{CtlError, OutputFormat, logs};
use std::path::PathBuf;

/// Reads log files and prints what they tell of a request. They are read twice, so that only the lines that
/// belong to it are kept.
pub(crate) fn run(format: OutputFormat, id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    let mut requests = Vec::new();
    logs::for_each_line(files, |line| {
        if line.request.as_deref() == Some(id) {
            requests.push(line);
        }
    })?;
    let search = Search::new(requests).ok_or_else(|| CtlError::NotInLogs { id: id.to_owned() })?;
    let mut beliefs = Vec::new();
    logs::for_each_line(files, |line| {
        if search.explains(&line) {
            beliefs.push(line);
        }
    })?;
    output::print(format, &search.found(beliefs), table)
}

fn table(trace: &Trace) -> Table {
    let mut table = Table::new(&["time", "what", "details"]);
    for line in &trace.requests {
        let row = |what: String, details| vec![format!("{:.3}", line.t), what, details];
        table.row(row(line.event.clone(), line.fields().join(" ")));
        for step in Step::parse_all(line.steps.as_deref().unwrap_or_default()) {
            table.row(row(String::new(), step.to_string()));
        }
    }
    for Belief { first: line, instances, within } in &trace.beliefs {
        let server = line.server.iter().map(|server| format!("server={server}"));
        let mut details: Vec<String> = server.chain(line.fields()).collect();
        if *instances > 1 {
            details.push(format!("({instances} lines within {within:.3} s)"));
        }
        table.row(vec![format!("{:.3}", line.t), line.event.clone(), details.join(" ")]);
    }
    table
}
