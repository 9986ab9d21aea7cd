//! The command `trace`.

use super::find::{Belief, Trace, trace};
use super::line::LogLine;
use super::step::Step;
use crate::output::{self, Table};
use crate::{CtlError, OutputFormat};
use std::path::{Path, PathBuf};

/// Reads log files and prints what they tell of a request.
pub(crate) fn run(format: OutputFormat, id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    let lines = read_all(files)?;
    let found = trace(&lines, id).ok_or_else(|| CtlError::NotInLogs { id: id.to_owned() })?;
    output::print(format, &found, table)
}

/// The lines of all files, in the order of the files.
pub(crate) fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    Ok(lines)
}

fn read(file: &Path) -> Result<Vec<LogLine>, CtlError> {
    let bytes = std::fs::read(file)
        .map_err(|e| CtlError::File { file: file.display().to_string(), reason: e.to_string() })?;
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(LogLine::parse).collect())
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
