//! Errors in settings files.

use std::path::PathBuf;
use thiserror::Error;

/// Why a settings file cannot be used. The message names the file and, where they are known, the
/// line, the key and what to write instead.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {reason}", file = file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// Message of the operating system.
        reason: String,
    },
    /// The file is not TOML, or has unknown, missing or mistyped keys.
    #[error("{file}:{line}: {message}", file = file.display())]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// Line of the error, counted from 1.
        line: usize,
        /// What is wrong, including the key.
        message: String,
    },
    /// A key has an invalid value.
    #[error("{file}:{line}: {key} = \"{value}\": {hint}", file = file.display())]
    BadValue {
        /// The settings file.
        file: PathBuf,
        /// Line of the key, counted from 1.
        line: usize,
        /// Dotted name of the key.
        key: &'static str,
        /// The invalid value.
        value: String,
        /// What to write instead.
        hint: String,
    },
}
