//! Errors of the settings file.

use std::path::PathBuf;
use thiserror::Error;

/// Why a settings file cannot be used. Each says where to look and what to write instead.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {reason}", file = file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// What the operating system said.
        reason: String,
    },
    /// The file is not TOML, or has unknown, missing or mistyped keys.
    #[error("{file}:{line}: {message}", file = file.display())]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// Line of the fault, from 1.
        line: usize,
        /// What is wrong, naming the key.
        message: String,
    },
    /// A key has a value that cannot be used.
    #[error("{file}:{line}: {key} = \"{value}\": {hint}", file = file.display())]
    BadValue {
        /// The settings file.
        file: PathBuf,
        /// Line of the key, from 1.
        line: usize,
        /// Dotted name of the key.
        key: &'static str,
        /// The value found.
        value: String,
        /// What to write instead.
        hint: String,
    },
}
