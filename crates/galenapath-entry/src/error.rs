//! Errors that prevent an entry instance from starting or running.

use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why an entry instance could not start or continue.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address of `[listen]` cannot be used.
    #[error("listen.{key} = \"{address}\" cannot be used; is another process listening there?")]
    Listen {
        /// Key of the address under `[listen]`.
        key: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// The file with the operators' token cannot be read, or is empty.
    #[error("operators.token_file = {file:?} cannot be read, or its first line is empty")]
    Token {
        /// The file.
        file: PathBuf,
    },
    /// A runtime, a thread or the logger could not be started.
    #[error("cannot start {0}")]
    Start(&'static str),
}
