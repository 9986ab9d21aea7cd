//! The command `galenactl causes`.

use super::count::{CauseCount, Causes, Counter, WindowCount};
use crate::output::{self, Table};
use crate::{CtlError, OutputFormat, logs};
use std::path::PathBuf;

/// Reads log files and prints why requests were late, rejected or failed.
pub(crate) fn run(format: OutputFormat, window_s: f64, files: &[PathBuf]) -> Result<(), CtlError> {
    let mut counter = Counter::new(window_s);
    logs::for_each_line(files, |line| counter.record_line(&line))?;
    output::print(format, &counter.finish(), table)
}

fn table(found: &Causes) -> Table {
    let mut table = Table::new(&["what", "requests", "cause", "example"]);
    let text = str::to_owned;
    table.push_row(vec![text("requests with a line"), found.ended.to_string()]);
    table.push_row(vec![text("lines left out"), found.left_out.to_string()]);
    for CauseCount { service, cause, count, first } in &found.causes {
        table.push_row(vec![service.clone(), count.to_string(), cause.to_string(), first.clone()]);
    }
    for WindowCount { from_s, ended, late, lost, started, most } in &found.windows {
        let most = most.map_or_else(String::new, |cause| format!(", most {cause}"));
        let started = match started {
            0 => String::new(),
            count => format!(", {count} instances started"),
        };
        let what = format!("from {from_s:.0} s");
        let counts = format!("{late} late, {lost} lost{most}{started}");
        table.push_row(vec![what, ended.to_string(), counts]);
    }
    table
}
