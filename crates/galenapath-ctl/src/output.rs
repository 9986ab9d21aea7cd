//! Output of tables and JSON documents on standard output.

use crate::{CtlError, OutputFormat};
use serde::Serialize;
use std::io::Write;

/// A table of text columns; the first row holds the headings.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    pub(crate) fn push_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column| {
            let cells = self.rows.iter().filter_map(|row: &Vec<String>| row.get(column));
            cells.map(|cell: &String| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Prints `document` as JSON or as the table that `table` makes of it.
pub(crate) fn print<T: Serialize>(
    format: OutputFormat,
    document: &T,
    table: impl FnOnce(&T) -> Table,
) -> Result<(), CtlError> {
    let text = match format {
        OutputFormat::Table => table(document).render(),
        OutputFormat::Json => {
            let text = serde_json::to_string_pretty(document);
            text.map_err(|e| CtlError::Output(e.to_string()))? + "\n"
        }
    };
    let result = std::io::stdout().write_all(text.as_bytes());
    result.map_err(|e| CtlError::Output(e.to_string()))
}
