//! Reads the logs of many instances line by line.
//!
//! The logs of hundreds of instances from an hour of heavy load may exceed the memory, so the lines
//! are never all held at once.

use crate::CtlError;
use crate::trace::LogLine;
use std::fs::File;
use std::io::{BufRead, BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};

/// Number of files between two progress messages.
const PROGRESS_EVERY_FILES: usize = 10;

/// Calls `handle` for each log line of an instance, in the order of the files. Prints the progress
/// if standard error is a terminal.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub(crate) fn for_each_line(
    files: &[PathBuf],
    mut handle: impl FnMut(LogLine),
) -> Result<(), CtlError> {
    for (n, file) in files.iter().enumerate() {
        print_progress(n, files.len());
        read(file, &mut handle).map_err(|e| CtlError::File {
            file: file.display().to_string(),
            reason: e.to_string(),
        })?;
    }
    print_progress(files.len(), files.len());
    Ok(())
}

fn read(file: &Path, handle: &mut impl FnMut(LogLine)) -> std::io::Result<()> {
    let mut reader = BufReader::new(File::open(file)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&bytes)) {
            handle(line);
        }
        bytes.clear();
    }
    Ok(())
}

fn print_progress(read: usize, all: usize) {
    let mut err = std::io::stderr();
    if all < PROGRESS_EVERY_FILES
        || !err.is_terminal()
        || (!read.is_multiple_of(PROGRESS_EVERY_FILES) && read != all)
    {
        return;
    }
    let end = if read == all { "\n" } else { "" };
    // The progress is optional: continue reading if the terminal cannot be written to.
    let _ = write!(err, "\rread {read} of {all} logs{end}");
}
