//! Reading the logs of many instances, a line at a time.
//!
//! Hundreds of logs are more than fits into memory in a bad hour, so that nothing keeps all lines.

use crate::CtlError;
use crate::trace::LogLine;
use std::fs::File;
use std::io::{BufRead, BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};

/// Files after which the progress is told.
const TOLD_EVERY: usize = 10;

/// Gives each line that an instance wrote to `take`, in the order of the files. Tells on a terminal how far
/// it has come.
///
/// # Errors
///
/// When a file cannot be read.
pub(crate) fn for_each_line(
    files: &[PathBuf],
    mut take: impl FnMut(LogLine),
) -> Result<(), CtlError> {
    for (n, file) in files.iter().enumerate() {
        tell_progress(n, files.len());
        read(file, &mut take).map_err(|e| CtlError::File {
            file: file.display().to_string(),
            reason: e.to_string(),
        })?;
    }
    tell_progress(files.len(), files.len());
    Ok(())
}

fn read(file: &Path, take: &mut impl FnMut(LogLine)) -> std::io::Result<()> {
    let mut reader = BufReader::new(File::open(file)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&bytes)) {
            take(line);
        }
        bytes.clear();
    }
    Ok(())
}

fn tell_progress(read: usize, all: usize) {
    let mut err = std::io::stderr();
    if all < TOLD_EVERY || !err.is_terminal() || (!read.is_multiple_of(TOLD_EVERY) && read != all) {
        return;
    }
    let end = if read == all { "\n" } else { "" };
    // A terminal that cannot be written to is no reason to read no logs.
    let _ = write!(err, "\rread {read} of {all} logs{end}");
}
