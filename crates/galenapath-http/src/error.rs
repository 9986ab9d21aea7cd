//! Errors of reading and writing HTTP.

use std::io;
use thiserror::Error;

/// Why a head or a body could not be read or written.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The peer closed before the first byte of a head; the usual end of a kept-alive connection.
    #[error("the connection was closed between messages")]
    Closed,
    /// The peer closed inside a head or a body.
    #[error("the connection was closed in the middle of a message")]
    Truncated,
    /// The head is larger than the limit.
    #[error("the head is larger than {limit} bytes")]
    HeadTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The head breaks the grammar of HTTP/1.1.
    #[error("bad head: {0}")]
    BadHead(&'static str),
    /// The head does not say unambiguously where its body ends.
    #[error("bad framing: {0}")]
    BadFraming(&'static str),
    /// The head did not arrive in time.
    #[error("the head did not arrive in time")]
    HeadTimeout,
    /// The socket failed.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
}
